#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into review/bin. It needs
# only the Go toolchain; the module has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/rig"
go build -o ../bin/rig .
