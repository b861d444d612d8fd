#!/usr/bin/env bash
# Load cases with separate processes: 4 targets with 12 slots behind 4 daemons, open
# loop. Prints one line of JSON a case. POLICY chooses the policy.
#
# Usage: scripts/measure-cases.sh [SECONDS [SERVICE_US]]
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/fleet.sh

seconds=${1:-6}
service_us=${2:-10000}
export THREADS=${THREADS:-2}

build
start_platform "$(sed "s/expected-finish/${POLICY:-expected-finish}/" examples/kolkata.json)"
through=()
for n in 1 2 3 4; do
  start_target "127.0.1.$n" 12 "$service_us"
  start_daemon "$n" pricebook "127.0.1.$n" "127.0.1.$n"
  through+=(--to "127.0.1.$n:8080")
done
for n in 1 2 3 4; do wait_ready "127.0.1.$n" 4; done
capacity=$((4 * 12 * 1000000 / service_us))
first=1

# run NAME SHARE SECONDS [OPTIONS]: a share of the capacity in percent
run() {
  local name=$1 share=$2 time=$3 line
  shift 3
  first=$((first + 10000000))
  line=$("$bin/lynxcleat-load" "${through[@]}" --service pricebook --deadline-ms 800 \
    --rate $((capacity * share / 100)) --seconds "$time" --first "$first" "$@")
  awk -v c="$name" -v p="${POLICY:-expected-finish}" -v l="$line" -v s="$time" -v cap="$capacity" 'BEGIN {
    match(l, /"in_time":[0-9]+/); t = substr(l, RSTART + 10, RLENGTH - 10)
    printf "{\"case\": \"%s\", \"policy\": \"%s\", \"in_time_of_capacity\": %.3f, \"run\": %s}\n", c, p, t / s / cap, l}'
}
fault() { curl -sf -X POST "http://127.0.1.1:8001/standin/faults" -d "$1"; }

run warm-up 20 2 >/dev/null
run steady-50 50 "$seconds"
fault '{"slow_factor": 5}'
run crowded 50 "$seconds"
fault '{"fail_fast": true}'
sleep 1
run fail-fast 50 "$seconds"
fault '{}'
sleep 2
run burst 150 2
sleep 1
run overload-2x 200 "$seconds" --repeats 8
