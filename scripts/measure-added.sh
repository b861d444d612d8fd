#!/usr/bin/env bash
# Measures what the daemons add to a call, at shares of the capacity of 4 targets
# with 12 slots, with separate processes: direct and through the daemons in
# alternating slices of one run, open loop. Also the daemons' processor time a call.
# Prints one line of JSON a share.
#
# Usage: scripts/measure-added.sh [SECONDS [SERVICE_US [SHARE ...]]]
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/fleet.sh

seconds=${1:-10}
service_us=${2:-5000}
shift $(($# > 2 ? 2 : $#))
[ $# -gt 0 ] || set -- 10 50 80
export THREADS=${THREADS:-2}

build
start_platform "$(sed "s/expected-finish/${POLICY:-expected-finish}/" examples/kolkata.json)"
through=() direct=()
for n in 1 2 3 4; do
  start_target "127.0.1.$n" 12 "$service_us"
  start_daemon "$n" pricebook "127.0.1.$n" "127.0.1.$n"
  through+=(--to "127.0.1.$n:8080")
  direct+=(--direct "127.0.1.$n:8000")
done
for n in 1 2 3 4; do wait_ready "127.0.1.$n" 4; done
capacity=$((4 * 12 * 1000000 / service_us))
first=1
"$bin/lynxcleat-load" "${through[@]}" "${direct[@]}" --service pricebook --rate 200 --seconds 2 >/dev/null
for share in "$@"; do
  rate=$((capacity * share / 100))
  first=$((first + 10000000))
  ticks=$(cpu_ticks "${daemon_pids[@]}")
  line=$("$bin/lynxcleat-load" "${through[@]}" "${direct[@]}" --service pricebook \
    --rate "$rate" --seconds "$seconds" --first "$first")
  ticks=$(($(cpu_ticks "${daemon_pids[@]}") - ticks))
  calls=$(echo "$line" | sed 's/.*"calls":\([0-9]*\).*/\1/')
  awk -v line="$line" -v share="$share" -v rate="$rate" -v t="$ticks" -v c="$calls" \
    'BEGIN {printf "{\"share_percent\": %d, \"rate\": %d, \"daemons_cpu_us_per_call\": %.0f, \"run\": %s}\n", share, rate, t * 10000 / c, line}'
done
