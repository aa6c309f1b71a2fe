#!/usr/bin/env bash
# Builds, vets, checks the format of, lints and tests the module. Limits on
# benchmark results are checked by tests. Tests listed in KNOWN-RED.txt run
# separately, and only their failures are ignored.
set -euo pipefail
cd "$(dirname "$0")/.."

linter_version=v2.15.0
tools=$PWD/.tools
linter=$tools/golangci-lint-$linter_version
known_red=KNOWN-RED.txt

# build_linter builds the pinned linter once, into a directory ignored by git.
build_linter() {
  [ -x "$linter" ] && return
  mkdir -p "$tools"
  GOBIN="$tools" go install "github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$linter_version"
  mv "$tools/golangci-lint" "$linter"
}

step() { printf '== %s\n' "$1"; }

# entries prints the test and the package of each known failing test. A line of
# the file has the format
# "TestName ./package | command and seed | what was seen | issue".
entries() {
  [ -f "$known_red" ] || return 0
  sed -e 's/[[:space:]]*|.*//' -e '/^[[:space:]]*#/d' -e '/^[[:space:]]*$/d' "$known_red"
}

# race_for prints the flag of the race detector for a package.
race_for() {
  [ "$1" = "$pool" ] || echo "$race"
}

# process_packages hold the process tests, which need the tag e2e. Those of crowd
# load the machine and run after the others, alone.
process_packages='./internal/e2e ./internal/soak ./internal/crowd'

# is_process_package tells whether a package holds process tests.
is_process_package() { [[ " $process_packages " == *" $1 "* ]]; }

# skip_for prints the pattern of the known failing tests of the given packages.
skip_for() {
  entries | awk -v p=" $* " 'index(p, " " $2 " ") {print "^" $1 "$"}' | paste -sd '|' -
}

# flags_for prints the flags with which the tests of a package run.
flags_for() {
  if is_process_package "$1"; then
    echo '-tags e2e'
  else
    race_for "$1"
  fi
}

# run_known_red runs one listed test. It fails only if the test does not exist.
run_known_red() {
  local test=$1 package=$2 output
  if ! output=$(go test $(flags_for "$package") -count=1 -v -run "^$test\$" "$package" 2>&1); then
    printf '%s\nknown red, passed over: %s %s\n' "$output" "$test" "$package"
  elif grep -q 'no tests to run' <<<"$output"; then
    echo "$known_red lists $test in $package, which does not exist"
    return 1
  else
    echo "$test in $package passes now: remove it from $known_red"
  fi
}

# check_generated compares the generated code in gen with newly generated code, if
# the generators are installed.
check_generated() {
  local tool fresh
  for tool in buf protoc-gen-go protoc-gen-connect-go; do
    if ! command -v "$tool" >/dev/null; then
      echo "not checked: $tool is not installed"
      return
    fi
  done
  fresh=$(mktemp -d)
  buf generate --output "$fresh"
  diff -r gen "$fresh/gen"
  rm -rf "$fresh"
}

step "build"
mkdir -p bin
go build -o bin/ ./cmd/...

step "vet"
go vet ./...
go vet -tags e2e ./...

step "format and lint"
build_linter
"$linter" fmt --diff
"$linter" run --build-tags e2e ./...

step "generated code"
check_generated

# The race detector needs a C compiler.
race=
if [ "$(go env CGO_ENABLED)" = 1 ]; then
  race=-race
else
  echo "no C compiler: the tests run without the race detector"
fi

step "test"
# The routing benchmark and the models of the worker pool are pure computation on a
# single goroutine. They run without the race detector, which makes them ten times
# slower and has nothing to detect there.
bench=./internal/decide/routebench
pool=./internal/decide/workerpool
if grep -rnE --include='*.go' '^[[:space:]]*go ' "$pool"; then
  echo "$pool starts a goroutine: it has to run with the race detector"
  exit 1
fi
red_packages=$(entries | awk '{print $2}' | sort -u)
for package in $red_packages; do
  is_process_package "$package" && continue
  go test $(race_for "$package") -skip "$(skip_for "$package")" "$package"
done
# On arm64 the race detector itself crashes now and then in these packages
# ("ThreadSanitizer: CHECK failed: tsan_rtl.cpp:346").
race_crashes=
if [ "$(go env GOARCH)" = arm64 ]; then
  race_crashes=./internal/daemon/dispatch
fi
# All other packages run together, those without the race detector in parallel.
others=$(go list -f '.{{slice .ImportPath (len .Module.Path)}}' ./... |
  grep -vxF -e "${red_packages:-none}" -e "$bench" -e "$pool" -e "${race_crashes:-none}")
single="$bench/... $race_crashes"
grep -qxF "$pool" <<<"$red_packages" || single+=" $pool"
go test $single &
single_run=$!
# On a busy machine the fleets of decide/host take more than go test's ten minutes with
# the race detector.
go test -timeout 30m $race $others
wait "$single_run"

step "process tests"
go test -tags e2e -count=1 -parallel 4 -skip "$(skip_for ./internal/e2e ./internal/soak)" ./internal/e2e ./internal/soak
go test -tags e2e -count=1 -p 1 -skip "$(skip_for ./internal/crowd)" ./internal/crowd

step "benchmarks, once each"
go test -run '^$' -bench . -benchtime 1x ./... >/dev/null

step "known red"
if [ -z "$red_packages" ]; then
  echo "none"
fi
entries | while read -r test package; do
  run_known_red "$test" "$package"
done

step "passed"
