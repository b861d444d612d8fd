#!/usr/bin/env bash
# Runs lynxcleat as separate processes on this machine: a platform, and for each
# worker of one service a target and a daemon on an address of its own.
#
# Usage: scripts/separate.sh [WORKERS [SERVICE [SECONDS]]]
# Without SECONDS it runs until interrupted. SERVICE_US sets the service time.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/fleet.sh

workers=${1:-4}
service=${2:-pricebook}
seconds=${3:-infinity}

build
start_platform "$(cat examples/kolkata.json)"
for n in $(seq 1 "$workers"); do
  start_target "127.0.1.$n" 12 "${SERVICE_US:-2000}"
  start_daemon "$n" "$service" "127.0.1.$n" "127.0.1.$n"
done
for n in $(seq 1 "$workers"); do wait_ready "127.0.1.$n" "$workers"; done

echo "platform $platform"
echo "daemons  ${daemon_pids[*]}"
echo "call     curl -i -H 'Host: $service' http://127.0.1.1:8080/items/1"
echo "status   $bin/lynxcleat settings status --platform $platform"
sleep "$seconds"
