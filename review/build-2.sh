#!/bin/bash
# Builds the stand-ins that the scripts of cases 6 to 10 start.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/rig2 ./review/rig2
