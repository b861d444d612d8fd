#!/usr/bin/env bash
# Runs lynxcleat as separate processes on this machine: a platform, and for each
# worker of one service a target and a daemon on an address of its own. Every
# process it starts is ended, by its id, when the script ends.
#
# Usage: scripts/separate.sh [WORKERS [SERVICE [SECONDS]]]
# Without SECONDS it runs until interrupted.
set -euo pipefail
cd "$(dirname "$0")/.."

workers=${1:-4}
service=${2:-pricebook}
seconds=${3:-}
bin=${LYNXCLEAT_BIN:-target/release}
work=$(mktemp -d)
pids=()

finish() {
  # Daemons first, as a planned stop; then the stand-ins.
  for pid in "${daemon_pids[@]:-}"; do [ -n "$pid" ] && kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${daemon_pids[@]:-}"; do [ -n "$pid" ] && wait "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]:-}"; do [ -n "$pid" ] && kill "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
daemon_pids=()
trap finish EXIT

[ -x "$bin/lynxcleatd" ] || cargo build --release --workspace
platform=http://127.0.0.1:6000
"$bin/lynxcleat-standin" platform --listen 127.0.0.1:6000 >"$work/platform.log" 2>&1 &
pids+=($!)
until curl -sf "$platform/standin/counts" >/dev/null; do sleep 0.05; done

printf '{"base": 0, "tree": %s}' "$(cat examples/kolkata.json)" >"$work/tree.json"
"$bin/lynxcleat" settings accept --platform "$platform" --who script "$work/tree.json" >/dev/null

places=(salt-lake howrah behala)
for n in $(seq 1 "$workers"); do
  ip=127.0.1.$n
  place=${places[$(((n - 1) % 3))]}
  "$bin/lynxcleat-standin" target --listen "$ip:8000" --control "$ip:8001" \
    --slots 12 --service-us "${SERVICE_US:-2000}" >"$work/target-$n.log" 2>&1 &
  pids+=($!)
  cat >"$work/daemon-$n.json" <<JSON
{
  "deployment": "separate", "host": "$service-$n", "place": "$place", "zone": "$place",
  "service": "$service", "callers": "$ip:8080", "mesh": "$ip:7000", "ops": "$ip:9000",
  "target": "$ip:8000", "target_health": "$ip:8001", "platform": "$platform",
  "shared_key": "a key for runs on one machine", "log_level": "warn"
}
JSON
  "$bin/lynxcleatd" --config "$work/daemon-$n.json" &
  daemon_pids+=($!)
  curl -sf -X POST "$platform/standin/hosts" -d "{\"host\": \"$service-$n\",
    \"place\": \"$place\", \"zone\": \"$place\", \"service\": \"$service\",
    \"mesh\": \"$ip:7000\", \"ops\": \"$ip:9000\", \"state\": \"live\"}"
done
for n in $(seq 1 "$workers"); do
  until curl -sf "http://127.0.1.$n:9000/health" >/dev/null; do sleep 0.05; done
  until curl -s "http://127.0.1.$n:9000/status" | grep -q "\"hosts\":$workers"; do sleep 0.05; done
done

echo "platform $platform"
echo "daemons  ${daemon_pids[*]}"
echo "call     curl -i -H 'Host: $service' http://127.0.1.1:8080/items/1"
echo "status   $bin/lynxcleat settings status --platform $platform"
if [ -n "$seconds" ]; then sleep "$seconds"; else sleep infinity; fi
