#!/usr/bin/env bash
# Measures the resource usage of an entry host: when idle, per request and per
# task. It runs the example site of deploy/tamarind with four entry hosts. Needs
# Linux, for the counters under /proc.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/ ./cmd/...

export PATH=$PWD/bin:$PATH
site=$PWD/deploy/tamarind
run=$(mktemp -d)
pids=()
entries=()
hosts=4
idle_seconds=10
tick_ms=$((1000 / $(getconf CLK_TCK)))
all=http://127.0.0.1:7101,http://127.0.0.1:7102,http://127.0.0.1:7103,http://127.0.0.1:7104

stop() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait
  rm -rf "$run"
}
trap stop EXIT

# cpu prints the total CPU time of all entry hosts in milliseconds.
cpu() {
  local total=0 ticks
  for pid in "${entries[@]}"; do
    ticks=$(awk '{print $14 + $15}' "/proc/$pid/stat")
    total=$((total + ticks * tick_ms))
  done
  echo "$total"
}

# resident prints the largest resident set size of an entry host in MB.
resident() {
  for pid in "${entries[@]}"; do awk '/VmRSS/ {print int($2 / 1024)}' "/proc/$pid/status"; done | sort -n | tail -1
}

# loopback prints the bytes sent over the loopback interface.
loopback() { awk '/lo:/ {print $10}' /proc/net/dev; }

per() { awk -v a="$1" -v b="$2" 'BEGIN {printf "%.3f", a / b}'; }

standin -site "$site/site.json" 2>"$run/standin.log" &
pids+=($!)
for host in westlands-1 embakasi-1 karen-1 westlands-2; do
  parsleyhilld -settings "$site/entry-$host.json" 2>"$run/entry-$host.log" &
  pids+=($!)
  entries+=($!)
done
parsleyhill ready -url "$all" -wait 20s >/dev/null
parsleyhill plan intent "$site/customer.json" -out "$run/plan.json" >/dev/null 2>&1
parsleyhill confirm "$run/plan.json" >/dev/null
sleep 5

echo "idle, $idle_seconds s, $hosts entry hosts:"
before=$(cpu) bytes=$(loopback)
sleep "$idle_seconds"
spent=$(($(cpu) - before)) sent=$(($(loopback) - bytes))
echo "  processor: $(per "$spent" $((idle_seconds * hosts * 10))) % of a core a host"
echo "  network: $(per "$sent" $((idle_seconds * hosts * 1000))) KB/s a host, headers of TCP and IP included"
echo "  resident memory: $(resident) MB"

for rate in 20 60; do
  before=$(cpu)
  parsleyhill load -customer tamarind -url "$all" -rate "$rate" -duration 20s -long 0 -seed 1 -json >"$run/load.json"
  spent=$(($(cpu) - before))
  requests=$((rate * 20))
  echo "requests at $rate/s: $(per "$spent" "$requests") ms a request, resident $(resident) MB"
done

# job prints a job with submission id $1 and $2 tasks.
job() {
  printf '{"submission":"%s","customer":"tamarind","attempt":1,"tasks":[' "$1"
  for ((i = 0; i < $2; i++)); do
    [ "$i" = 0 ] || printf ,
    printf '{"name":"t%d","cores":1,"memory_mb":64}' "$i"
  done
  printf ']}'
}

for tasks in 50 500; do
  job "warm-$tasks" "$tasks" | parsleyhill job submit -url "$all" - >/dev/null
  before=$(cpu)
  for n in 1 2 3 4 5 6 7 8 9 10; do
    job "job-$tasks-$n" "$tasks" | parsleyhill job submit -url "$all" - >/dev/null
  done
  spent=$(($(cpu) - before))
  echo "jobs of $tasks tasks: $(per "$spent" $((10 * tasks))) ms a task, resident $(resident) MB"
done
echo "log lines: $(cat "$run"/entry-*.log | wc -l), $(cat "$run"/entry-*.log | wc -c) bytes"
