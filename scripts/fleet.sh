# Functions for scripts that run a fleet as separate processes; to be sourced.
# Every process started is ended, by its id, when the script ends.

bin=${LYNXCLEAT_BIN:-target/release}
work=$(mktemp -d)
platform=http://127.0.0.1:6000
standin_pids=()
daemon_pids=()
places=(salt-lake howrah behala)

# Daemons first, as a planned stop; then the stand-ins.
finish() {
  for pid in "${daemon_pids[@]:-}"; do [ -n "$pid" ] && kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${daemon_pids[@]:-}"; do [ -n "$pid" ] && wait "$pid" 2>/dev/null || true; done
  for pid in "${standin_pids[@]:-}"; do [ -n "$pid" ] && kill "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap finish EXIT

build() {
  cargo build --release --workspace --quiet
}

# start_platform TREE: the platform's stand-in, with a first tree accepted.
start_platform() {
  if curl -sf "$platform/standin/counts" >/dev/null; then
    echo "another platform runs at $platform; wait until it has ended" >&2
    exit 1
  fi
  "$bin/lynxcleat-standin" platform --listen 127.0.0.1:6000 >"$work/platform.log" 2>&1 &
  standin_pids+=($!)
  until curl -sf "$platform/standin/counts" >/dev/null; do sleep 0.05; done
  printf '{"base": 0, "tree": %s}' "$1" >"$work/tree.json"
  "$bin/lynxcleat" settings accept --platform "$platform" --who script "$work/tree.json" >/dev/null
}

# start_target IP SLOTS SERVICE_US
start_target() {
  "$bin/lynxcleat-standin" target --listen "$1:8000" --control "$1:8001" \
    --slots "$2" --service-us "$3" >"$work/target-$1.log" 2>&1 &
  standin_pids+=($!)
}

# start_daemon N SERVICE IP TARGET_IP: a daemon on IP in front of the target at
# TARGET_IP, listed by the platform.
start_daemon() {
  local n=$1 service=$2 ip=$3 target=$4
  local place=${places[$(((n - 1) % 3))]}
  cat >"$work/daemon-$n.json" <<JSON
{
  "deployment": "separate", "host": "host-$n", "place": "$place", "zone": "$place",
  "service": "$service", "callers": "$ip:8080", "mesh": "$ip:7000", "ops": "$ip:9000",
  "target": "$target:8000", "target_health": "$target:8001", "platform": "$platform",
  "shared_key": "a key for runs on one machine", "log_level": "error", "threads": ${THREADS:-2}
}
JSON
  "$bin/lynxcleatd" --config "$work/daemon-$n.json" &
  daemon_pids+=($!)
  curl -sf -X POST "$platform/standin/hosts" -d "{\"host\": \"host-$n\",
    \"place\": \"$place\", \"zone\": \"$place\", \"service\": \"$service\",
    \"mesh\": \"$ip:7000\", \"ops\": \"$ip:9000\", \"state\": \"live\"}"
}

# wait_ready IP HOSTS: until a daemon has settings and knows every host.
wait_ready() {
  until curl -sf "http://$1:9000/health" >/dev/null; do sleep 0.05; done
  until curl -s "http://$1:9000/status" | grep -q "\"hosts\":$2[,}]"; do sleep 0.1; done
}

# processor time of processes, in hundredths of a second
cpu_ticks() {
  local sum=0 pid
  for pid in "$@"; do
    set -- $(cut -d')' -f2 "/proc/$pid/stat")
    sum=$((sum + ${12} + ${13}))
  done
  echo "$sum"
}

# resident memory of processes, in KiB
rss_kib() {
  local sum=0 pid
  for pid in "$@"; do
    sum=$((sum + $(awk '/^VmRSS/ {print $2}' "/proc/$pid/status")))
  done
  echo "$sum"
}

# metric IP NAME: value of a counter or gauge
metric() {
  curl -s "http://$1:9000/metrics" | awk -v name="$2" 'index($1, name) == 1 {sum += $2} END {printf "%.0f\n", sum}'
}
