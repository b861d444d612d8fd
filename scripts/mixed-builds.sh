#!/usr/bin/env bash
# Runs a fleet in which every second daemon is of another build, and checks that the two
# builds work together: each reads what the other stored, links form, callers get answers
# to their own calls, and no once-only operation runs twice. For use before a release.
#
# Usage: scripts/mixed-builds.sh OLD NEW [SOAK_SEEDS]
# OLD and NEW are folders with the binaries of a build. Afterwards SOAK_SEEDS seeds
# (default 2) of the soak run with daemons that change build with each restart.
set -euo pipefail
old=$(cd "$1" && pwd) new=$(cd "$2" && pwd) seeds=${3:-2}
cd "$(dirname "$0")/.."
LYNXCLEAT_BIN=$old
source scripts/fleet.sh

hosts=6
failed=0
check() { # check TEXT COMMAND...: prints whether the command succeeds
  local text=$1
  shift
  if "$@"; then echo "ok      $text"; else
    echo "FAILED  $text"
    failed=1
  fi
}
soon() { # soon COMMAND...: whether the command succeeds within 20 s
  local tries=0
  until "$@"; do
    tries=$((tries + 1))
    [ "$tries" -lt 100 ] || return 1
    sleep 0.2
  done
}
has() { grep -qiE "$1" <<<"$2"; }
ip() { echo "127.0.4.$1"; }
build_of() { if [ $(($1 % 2)) = 0 ]; then echo "$new"; else echo "$old"; fi; }
start() { bin=$2 start_daemon "$1" godown "$(ip "$1")" "$(ip "$1")"; } # start N BUILD
call() { # call N PATH [CURL_OPTION...]: headers and body of the answer of daemon N
  local host=$1 path=$2
  shift 2
  curl -s -i -m 5 -H 'Host: godown' "$@" "http://$(ip "$host"):8080$path" | tr -d '\r' || true
}
is() { # is STATUS N PATH [CURL_OPTION...]
  local wanted=$1
  shift
  [ "$(call "$@" | awk 'NR == 1 {print $2}')" = "$wanted" ]
}
ticket() { # ticket N: a fresh ticket minted by daemon N
  curl -s -H 'Host: godown' "http://$(ip "$1"):8080/.lynxcleat/tickets?count=1" |
    sed 's/.*\["\([^"]*\)"\].*/\1/'
}
runs_of() { # runs_of OP: how many times the targets ran an operation
  local sum=0 n count
  for n in $(seq "$hosts"); do
    count=$(curl -s "http://$(ip "$n"):8001/standin/ledger" | grep -oE "\"$1\":[0-9]+" | sed 's/.*://' || true)
    sum=$((sum + ${count:-0}))
  done
  echo "$sum"
}
ran_once() { [ "$(runs_of "$1")" = 1 ]; }
linked() { # whether every daemon has a link to every other one
  local n
  for n in $(seq "$hosts"); do
    [ "$(metric "$(ip "$n")" lynxcleat_links)" -ge $((hosts - 1)) ] || return 1
  done
}
in_force() { # in_force GENERATION: whether both programs say that all daemons have it
  local program
  for program in "$old" "$new"; do
    "$program/lynxcleat" settings status --platform "$platform" >"$work/status" || return 1
    [ "$(grep -cE " $1  in force" "$work/status")" = "$hosts" ] || return 1
  done
}
lookups() { # lookups FIRST: load at all daemons, from call number FIRST on
  local to=() n line
  for n in $(seq "$hosts"); do to+=(--to "$(ip "$n"):8080"); done
  line=$("$new/lynxcleat-load" "${to[@]}" --service godown --rate 300 --seconds 4 \
    --first "$1" --repeats 2 --tickets 30 --keys 10)
  echo "        $line"
  has '"wrong_answers":0[,}]' "$line" && has '"failed":0[,}]' "$line" && ! has '"answered":0[,}]' "$line"
}
repeats() { # repeats N M HEADER OP: an operation at daemon N, repeated at daemon M
  local first second
  first=$(call "$1" /order -X POST -H "$3" -H "X-Op: $4" -H "X-Echo: $4" -d ordered)
  second=$(call "$2" /order -X POST -H "$3" -H "X-Op: $4" -H "X-Echo: $4" -d ordered)
  has '^lynxcleat-outcome: run' "$first" && has '^lynxcleat-replayed: 1' "$second" &&
    [ "$(tail -1 <<<"$first")" = "$(tail -1 <<<"$second")" ] && ran_once "$4"
}
upload() { # upload N: a body of 300 kB reaches the target and comes back whole
  head -c 300000 /dev/zero | tr '\0' "$1" >"$work/body"
  call "$1" /upload -X POST -H "Lynxcleat-Ticket: $(ticket "$1")" --data-binary "@$work/body" >"$work/answer"
  [ "$(tail -1 "$work/answer" | grep -oE "\"body\":\"$1*\"" | wc -c)" = 300010 ]
}

start_platform "$(cat examples/kolkata.json)"
for n in $(seq "$hosts"); do
  start_target "$(ip "$n")" 12 2000
  start "$n" "$(build_of "$n")"
done
for n in $(seq "$hosts"); do wait_ready "$(ip "$n")" "$hosts"; done
check "settings that the old build accepted are in force at both" soon in_force 1
check "calls through all daemons" lookups 1
check "links between all daemons of both builds" soon linked
check "a ticket of the old build, repeated at the new" repeats 1 2 "Lynxcleat-Ticket: $(ticket 1)" ticket-old
check "a ticket of the new build, repeated at the old" repeats 2 1 "Lynxcleat-Ticket: $(ticket 2)" ticket-new
check "a key claimed at the old build, repeated at the new" repeats 3 4 "Idempotency-Key: key-old" key-old
check "a key claimed at the new build, repeated at the old" repeats 4 3 "Idempotency-Key: key-new" key-new
check "a large body through the old build" upload 1
check "a large body through the new build" upload 2

# A change of settings by the new program, read by the old one and by all daemons.
"$new/lynxcleat" settings pull --platform "$platform" "$work/edit.json" >/dev/null
"$new/lynxcleat" settings set --file "$work/edit.json" root.hold_limit 47 >/dev/null
"$new/lynxcleat" settings accept --platform "$platform" --who script "$work/edit.json" >/dev/null
check "settings that the new build accepted are in force at both" soon in_force 2
"$old/lynxcleat" settings pull --platform "$platform" "$work/old.json" >/dev/null
"$new/lynxcleat" settings pull --platform "$platform" "$work/new.json" >/dev/null
check "both programs read the same tree" cmp -s "$work/old.json" "$work/new.json"
check "both programs read the same audit trail" cmp -s \
  <("$old/lynxcleat" audit --platform "$platform") <("$new/lynxcleat" audit --platform "$platform")

# Daemons 1 and 2 leave by their targets' word, then return.
for n in 1 2; do curl -sf -X POST "http://$(ip "$n"):8001/standin/faults" -d '{"draining": true}'; done
sleep 2
ledger() { curl -s "http://$(ip "$1"):8001/standin/ledger" | wc -c; }
before=("$(ledger 1)" "$(ledger 2)" "$(ledger 3)")
check "calls while one target of each build drains" lookups 10000000
check "a draining target of the old build is given no operations" [ "${before[0]}" = "$(ledger 1)" ]
check "a draining target of the new build is given no operations" [ "${before[1]}" = "$(ledger 2)" ]
check "another target is given operations meanwhile" [ "${before[2]}" -lt "$(ledger 3)" ]
for n in 1 2; do curl -sf -X POST "http://$(ip "$n"):8001/standin/faults" -d '{}'; done

# A daemon of each build is killed and starts again on the other build.
for n in 3 4; do
  kill -KILL "${daemon_pids[$((n - 1))]}"
  wait "${daemon_pids[$((n - 1))]}" 2>/dev/null || true
done
start 3 "$new"
start 4 "$old"
for n in 3 4; do wait_ready "$(ip "$n")" "$hosts"; done
check "the settings are in force after the restarts" soon in_force 2
check "calls after the restarts" lookups 20000000
check "links after the restarts on the other build" soon linked
for op in key-old key-new; do
  call 4 /order -X POST -H "Idempotency-Key: $op" -H "X-Op: $op" -d ordered >/dev/null
  check "$op is not run again after the restarts" ran_once "$op"
done

# An organisation whose quota all daemons count together.
"$new/lynxcleat" settings pull --platform "$platform" "$work/edit.json" >/dev/null
digest=$(printf %s "key of the guild" | sha256sum | cut -d' ' -f1)
python3 - "$work/edit.json" "$digest" <<'PY'
import json, sys
file, digest = sys.argv[1:]
edit = json.load(open(file))
tree = edit["tree"]
tree["settings"]["caller_keys"] = "required"
tree["organisations"] = {"guild": {"key_digests": [digest], "rate_per_1000_s": 10000, "burst": 10, "priority": 1}}
json.dump(edit, open(file, "w"))
PY
"$new/lynxcleat" settings accept --platform "$platform" --who script "$work/edit.json" >/dev/null
check "an organisation that the new build accepted is in force at both" soon in_force 3
check "a call without a key is refused by the old build" is 401 1 /items/1
check "a call without a key is refused by the new build" is 401 2 /items/1
served=0 limited=0 begun=$(date +%s%N)
for i in $(seq 200); do
  case $(call $((i % hosts + 1)) /items/1 -H 'Lynxcleat-Key: key of the guild' | awk 'NR == 1 {print $2}') in
    200) served=$((served + 1)) ;;
    429) limited=$((limited + 1)) ;;
  esac
done
ms=$((($(date +%s%N) - begun) / 1000000))
echo "        $served served, $limited limited in $ms ms; rate 10 a second, burst 10"
# Beyond rate and burst, each daemon may hold a lease of a second.
check "the quota holds over both builds" [ "$served" -le $((20 + ms / 100)) ]
check "calls beyond the quota get 429" [ "$limited" -gt 0 ]

# The soak, with a build drawn at each start of a daemon.
if [ "$seeds" -gt 0 ]; then
  cat >"$work/daemon" <<SH
#!/bin/sh
if [ \$((\$\$ % 2)) = 0 ]; then exec "$old/lynxcleatd" "\$@"; else exec "$new/lynxcleatd" "\$@"; fi
SH
  chmod +x "$work/daemon"
  check "soak of both builds together" "$new/lynxcleat-soak" --seed 9001 --seeds "$seeds" \
    --daemon "$work/daemon" --output "$work/soak"
fi
exit $failed
