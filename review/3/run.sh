#!/bin/sh
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the
# disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
REVIEW_ROOT=$(cd "$here/../.." && pwd) || exit 2
export REVIEW_ROOT
program="$REVIEW_ROOT/target/review/stand-ins"
[ -x "$program" ] || { echo "review/build.sh comes first"; exit 2; }
RECORD="$here/record.txt" exec "$program" drain
