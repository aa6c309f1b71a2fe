#!/usr/bin/env bash
# Formats, vets, lints, builds and tests the tree, and checks benchmark bounds.
set -euo pipefail
cd "$(dirname "$0")/.."

linter_version=v2.15.0
tools=$PWD/.tools
linter=$tools/golangci-lint-$linter_version

# build_linter builds the pinned linter once into a folder that git ignores.
build_linter() {
  [ -x "$linter" ] && return
  mkdir -p "$tools"
  GOBIN="$tools" go install "github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$linter_version"
  mv "$tools/golangci-lint" "$linter"
}

step() { printf '== %s\n' "$1"; }

step "format"
unformatted=$(git ls-files --cached --others --exclude-standard '*.go' | grep -v '^gen/' | xargs gofmt -l)
if [ -n "$unformatted" ]; then
  printf 'not formatted:\n%s\n' "$unformatted"
  exit 1
fi

step "vet"
go vet ./...

step "lint"
build_linter
"$linter" run ./...

step "build"
mkdir -p bin
go build -o bin/ ./cmd/...

step "test"
go test -race ./...

step "known red"
if [ -s KNOWN-RED.txt ]; then
  cat KNOWN-RED.txt
else
  echo "none"
fi
