#!/usr/bin/env bash
# Runs the whole path as separate processes on loopback addresses: stand-ins
# for the platform, backend servers and workers, four entry hosts in three
# zones, one request, one job, one plan, and an explanation of each.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/ ./cmd/...

run=$(mktemp -d)
pids=()

# stop ends the processes of this script, entry hosts first.
stop() {
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    kill "${pids[i]}" 2>/dev/null || true
    wait "${pids[i]}" 2>/dev/null || true
  done
  rm -rf "$run"
}
trap stop EXIT

platform=http://127.0.0.1:7001
zones=(westlands embakasi karen westlands)

say() { printf '\n== %s\n' "$1"; }

# site lists the hosts as the platform knows them.
site() {
  local sep=""
  printf '{"platform":"127.0.0.1:7001","hosts":['
  for i in 1 2 3 4; do
    printf '%s{"name":"entry-%d","role":"entry","zone":"%s","address":"127.0.0.1:730%d","state":"live"}' "$sep" "$i" "${zones[i - 1]}" "$i"
    sep=,
  done
  for i in 1 2 3 4 5 6; do
    printf ',{"name":"backend-%d","role":"backend","zone":"%s","address":"127.0.0.1:740%d","state":"live","customer":"tamarind","slots":8}' "$i" "${zones[(i - 1) % 3]}" "$i"
  done
  for i in 1 2 3; do
    printf ',{"name":"worker-%d","role":"worker","zone":"%s","rack":"rack-%d","address":"127.0.0.1:750%d","state":"live","cores":32,"memory_mb":131072}' "$i" "${zones[i - 1]}" "$i" "$i"
  done
  printf ']}\n'
}

entry_settings() {
  cat <<JSON
{
  // One entry host of the demonstration.
  "host": "entry-$1", "region": "nairobi", "zone": "${zones[$1 - 1]}",
  "listen": {"callers": "127.0.0.1:710$1", "operators": "127.0.0.1:720$1", "peers": "127.0.0.1:730$1"},
  "platform": {"log": "$platform", "host_list": "$platform"},
  "stop": {"drain_ms": 200},
}
JSON
}

# ready waits until a URL answers.
ready() {
  for _ in $(seq 100); do
    if curl -fs "$1" >/dev/null 2>&1; then return; fi
    sleep 0.1
  done
  echo "no answer from $1" >&2
  exit 1
}

say "start the stand-ins and four entry hosts in three zones"
site >"$run/site.json"
bin/standin -site "$run/site.json" 2>"$run/standin.log" &
pids+=($!)
ready "$platform/v1/hosts"
for i in 1 2 3 4; do
  entry_settings "$i" >"$run/entry-$i.json"
  bin/parsleyhilld -settings "$run/entry-$i.json" 2>"$run/entry-$i.log" &
  pids+=($!)
done
for i in 1 2 3 4; do ready "http://127.0.0.1:710$i/v1/ready"; done

say "an operator's intent becomes a plan, the plan is confirmed"
cat >"$run/intent.json" <<'JSON'
{"operator": "wanjiru", "reason": "open the matching service", "verb": "set_customer",
 "customer": "tamarind", "rules": {"policy": "least", "queue_limit": 200}}
JSON
bin/parsleyhill plan <"$run/intent.json" >"$run/plan.json"
bin/parsleyhill confirm <"$run/plan.json"
sleep 2
bin/parsleyhill status

say "a request is answered"
bin/parsleyhill request -url http://127.0.0.1:7102 -customer tamarind -id valve-pair-1 '{"run_ms": 80}'
bin/parsleyhill explain valve-pair-1

say "a job of twelve tasks completes"
{
  printf '{"submission":"batch-1","customer":"tamarind","tasks":['
  for i in $(seq 12); do
    [ "$i" = 1 ] || printf ,
    printf '{"name":"task-%d","cores":2,"memory_mb":1024}' "$i"
  done
  printf ']}'
} | bin/parsleyhill job submit -url http://127.0.0.1:7103
bin/parsleyhill job status -url http://127.0.0.1:7101 -customer tamarind batch-1
bin/parsleyhill explain batch-1 | tail -4

say "the plan explained"
plan_id=$(sed -E 's/.*"id":"(plan-[^"]*)".*/\1/' "$run/plan.json")
bin/parsleyhill explain -url http://127.0.0.1:7204 "$plan_id"

say "planned stop"
