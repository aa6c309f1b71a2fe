#!/bin/bash
# Plays the case once: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. The first argument is a seed, if given.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/rig2 ] && [ -x target/parsleyhilld ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 2 117 target/rig2 handover "$folder" review/8/record.txt "$@"
status=$?
[ $status -le 2 ] || status=2
exit $status
