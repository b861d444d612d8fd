#!/usr/bin/env bash
# Measures what state costs a daemon in memory, at three points each: hosts on the
# list, calls held, once-only operations remembered. Prints lines of JSON.
#
# Usage: scripts/measure-state.sh
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/fleet.sh
export THREADS=1

build
start_platform "$(sed -e 's/"slots": 12/"slots": 12, "once_memory_entries": 1000000/' \
  -e 's/"hold_limit": [0-9]*/"hold_limit": 60000/' \
  -e 's/"deadline_ms": 800/"deadline_ms": 30000/' examples/kolkata.json)"
ip=127.0.3.1
start_target "$ip" 12 1000
start_daemon 1 pricebook "$ip" "$ip"
wait_ready "$ip" 1
daemon=${daemon_pids[0]}
line() { echo "{\"what\": \"$1\", \"count\": $2, \"rss_kib\": $(rss_kib "$daemon")${3:-}}"; }
load() { "$bin/lynxcleat-load" --to "$ip:8080" --service pricebook "$@" >/dev/null; }

load --rate 500 --seconds 2
line hosts 1
known=1
for hosts in 200 400 800; do
  for n in $(seq "$known" $((hosts - 1))); do
    echo "{\"host\": \"other-$n\", \"place\": \"howrah\", \"zone\": \"howrah\",
      \"service\": \"service-$((n % 59))\", \"mesh\": \"127.0.9.9:$((1000 + n))\",
      \"ops\": \"127.0.9.9:$((3000 + n))\", \"state\": \"live\"}"
  done | while read -r a && read -r b && read -r c; do
    curl -sf -X POST "$platform/standin/hosts" -d "$a$b$c"
  done
  known=$hosts
  begun=$(date +%s.%N)
  wait_ready "$ip" "$hosts"
  line hosts "$hosts" ", \"seconds_until_known\": $(echo "$(date +%s.%N) $begun" | awk '{printf "%.1f", $1 - $2}')"
done

for seconds in 5 10 15; do
  load --rate 2000 --seconds 5 --tickets 100 --first $((seconds * 1000000))
  line once "$(metric "$ip" lynxcleat_once_records)"
done

curl -sf -X POST "http://$ip:8001/standin/faults" -d '{"frozen": true}'
for round in 1 2 3; do
  "$bin/lynxcleat-load" --to "$ip:8080" --service pricebook --rate 1000 --seconds 1 \
    --deadline-ms 30000 >/dev/null &
  standin_pids+=($!)
  sleep 2
  line held "$(curl -s "http://$ip:9000/status" | sed 's/.*"held":\([0-9]*\).*/\1/')"
done
curl -sf -X POST "http://$ip:8001/standin/faults" -d '{}'
