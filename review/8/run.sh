#!/bin/bash
# Plays the case once: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Three fleets, which know nothing of each other, are
# played at once; when the rule is broken in one, the others end.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/rig2 ] && [ -x target/parsleyhilld ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
fleets="1 2 3"
pids=()
for n in $fleets; do
  mkdir "$folder/$n"
  timeout -k 2 115 target/rig2 handover "$folder/$n" "$folder/record-$n.txt" &
  pids+=($!)
  sleep 0.2
done
status=0 running=${#pids[@]}
while [ "$running" -gt 0 ]; do
  wait -n "${pids[@]}"
  ended=$?
  running=$((running - 1))
  if [ $ended -eq 1 ]; then
    status=1
    kill "${pids[@]}" 2>/dev/null
    wait
    break
  fi
  [ $ended -eq 0 ] || status=2
done
for n in $fleets; do
  echo "fleet $n"
  cat "$folder/record-$n.txt"
done > review/8/record.txt
exit $status
