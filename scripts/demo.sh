#!/usr/bin/env bash
# Demonstrates the whole system as separate processes on loopback addresses. It
# starts stand-ins for the platform, backend servers and workers, and four entry
# hosts in three zones; then it runs a plan, a request and a job, explains each of
# them, and stops one entry host as planned.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/ ./cmd/...

export PATH=$PWD/bin:$PATH
site=$PWD/deploy/tamarind
run=$(mktemp -d)
pids=()

# stop terminates the processes of this script, entry hosts first.
stop() {
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    kill "${pids[i]}" 2>/dev/null || true
  done
  wait
  rm -rf "$run"
}
trap stop EXIT

# failed prints the last lines of every log.
failed() {
  echo "the demonstration failed; the last lines of the logs:" >&2
  tail -n 5 "$run"/*.log >&2
}
trap failed ERR

# require_free fails if a process listens on one of the site's ports.
require_free() {
  local port
  for port in 7001 710{1..4} 720{1..4} 730{1..4} 740{1..6} 750{1..3}; do
    if (: </dev/tcp/127.0.0.1/"$port") 2>/dev/null; then
      echo "port $port is in use; does another demonstration run?" >&2
      exit 1
    fi
  done
}

say() { printf '\n== %s\n' "$1"; }

# show prints a command and runs it.
show() {
  printf '$ %s\n' "$*"
  "$@"
}

require_free

say "start the stand-ins and four entry hosts in three zones"
standin -site "$site/site.json" 2>"$run/standin.log" &
pids+=($!)
for host in westlands-1 embakasi-1 karen-1 westlands-2; do
  parsleyhilld -settings "$site/entry-$host.json" 2>"$run/entry-$host.log" &
  pids+=($!)
done
stopped=${pids[1]}
all=http://127.0.0.1:7101,http://127.0.0.1:7102,http://127.0.0.1:7103,http://127.0.0.1:7104
show parsleyhill ready -url "$all" -wait 20s
for pid in "${pids[@]}"; do kill -0 "$pid"; done

say "an operator's intent becomes a plan; nothing happens until it is confirmed"
show parsleyhill plan intent "$site/customer.json" -out "$run/plan.json"
plan=$(sed -E 's/^\{"id":"([^"]*)".*/\1/' "$run/plan.json")
show parsleyhill confirm "$run/plan.json" | tee "$run/confirmed"
version=$(sed -nE 's/.*version ([0-9]+)$/\1/p' "$run/confirmed")

say "the plan is in force on all entry hosts"
show parsleyhill status -wait-version "$version" -wait-hosts 4

say "a request is answered"
show parsleyhill request -url http://127.0.0.1:7102 -customer tamarind -id valve-pair-1 '{"run_ms": 80}'

say "a job of twelve tasks completes"
{
  printf '{"submission": "batch-1", "customer": "tamarind", "tasks": ['
  for i in $(seq 12); do
    printf '{"name": "task-%d", "cores": 2, "memory_mb": 1024},' "$i"
  done
  printf ']}'
} >"$run/job.json"
show parsleyhill job submit -url http://127.0.0.1:7103 "$run/job.json"

say "each of them explained, by an entry host that had no part in it"
show parsleyhill explain -url http://127.0.0.1:7204 "$plan"
show parsleyhill explain -url http://127.0.0.1:7204 valve-pair-1
show parsleyhill explain -url http://127.0.0.1:7204 -last 4 batch-1

say "a planned stop of one entry host cuts off no request in flight"
show parsleyhill request -customer tamarind -id valve-pair-2 '{"run_ms": 1500}' &
slow=$!
until parsleyhill explain -json valve-pair-2 | grep -q '"action":"send"'; do :; done
kill "$stopped"
wait "$slow"
wait "$stopped"
echo "the entry host has ended; another one answers"
show parsleyhill request -url "$all" -customer tamarind -id valve-pair-3 '{"run_ms": 80}'

say "done"
