#!/usr/bin/env bash
# Plays days on a site of the users' bench and prints a line for each: the score, and
# what was broken. BENCH is the bench's program; SMALL=1 plays small twins of large sites.
#
# Usage: BENCH=path [SMALL=1] play-days.sh SITE FOLDER [JOBS]
set -euo pipefail
bench=${BENCH:?the path of the bench}
site=$1 folder=$2 jobs=${3:-4}
play() {
  local day=$1 out
  out=$("$BENCH" run "$SITE" "$day" ${SMALL:+--small} --why "days of our own: every kind, alone and in pairs" 2>&1 || true)
  line=$(grep -E '^[^ ]+ +[0-9]+/[0-9]+ ' <<<"$out" | head -1)
  printf '%s | %s | %s\n' "$(basename "$day" .toml)" \
    "$(awk '{print $3, $4, $5, $6, $7}' <<<"$line")" \
    "$(grep -oE 'BROKEN.*|fault:.*' <<<"$out" | head -1)"
}
export -f play
export BENCH="$bench" SITE="$site" SMALL="${SMALL:-}"
find "$folder" -name '*.toml' | sort | xargs -P "$jobs" -I{} bash -c 'play {}'
