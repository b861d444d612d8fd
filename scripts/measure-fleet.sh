#!/usr/bin/env bash
# Measures what N daemons in separate processes cost, idle and linked each to all.
# Prints one line of JSON; docs/CAPACITY.md is worked out from such lines.
#
# Usage: scripts/measure-fleet.sh N [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/fleet.sh

count=$1
seconds=${2:-15}
export THREADS=1

build
start_platform "$(sed 's/"slots": 12/"slots": 2, "subset_size": 1024/' examples/kolkata.json)"
start_target 127.0.2.254 200 1000
for n in $(seq 1 "$count"); do start_daemon "$n" pricebook "127.0.2.$n" 127.0.2.254; done
for n in $(seq 1 "$count"); do wait_ready "127.0.2.$n" "$count"; done
sleep 3

# window: processor time, memory and control bytes over SECONDS
window() {
  local ticks reads bytes
  ticks=$(cpu_ticks "${daemon_pids[@]}")
  bytes=$(metric 127.0.2.1 lynxcleat_measure_bytes_total)
  reads=$(curl -s "$platform/standin/counts" | sed 's/.*"reads":\([0-9]*\).*/\1/')
  sleep "$seconds"
  ticks=$(($(cpu_ticks "${daemon_pids[@]}") - ticks))
  bytes=$(($(metric 127.0.2.1 lynxcleat_measure_bytes_total) - bytes))
  reads=$(($(curl -s "$platform/standin/counts" | sed 's/.*"reads":\([0-9]*\).*/\1/') - reads))
  awk -v n="$count" -v s="$seconds" -v t="$ticks" -v b="$bytes" -v r="$reads" \
    -v m="$(rss_kib "${daemon_pids[@]}")" -v l="$(metric 127.0.2.1 lynxcleat_links)" \
    'BEGIN {printf "{\"links\": %d, \"core_percent\": %.3f, \"rss_mib\": %.2f, \"control_bytes_s\": %.0f, \"platform_reads_s\": %.2f}", l, t / s / n, m / n / 1024, b / s, r / s / n}'
}

idle=$(window)
for n in $(seq 1 "$count"); do
  curl -s -o /dev/null -H 'Host: pricebook' "http://127.0.2.$n:8080/" &
done
for _ in $(seq 1 100); do
  [ "$(metric 127.0.2.1 lynxcleat_links)" -ge $((2 * count)) ] && break
  sleep 0.2
done
sleep 3
linked=$(window)
echo "{\"daemons\": $count, \"idle\": $idle, \"linked\": $linked}"
