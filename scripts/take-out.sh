#!/usr/bin/env bash
# Shows that the proofs can fail: each mechanism named below is taken out of a
# copy of the tree, and the test that proves it must then fail. Prints one line a
# mechanism and ends with a failure if some test passes without its mechanism.
#
# Usage: scripts/take-out.sh [NAME ...]     (all of them where none is named)
#        scripts/take-out.sh --check        (only whether each change still applies)
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git ls-files -z --cached --others --exclude-standard | xargs -0 cp --parents -t "$copy"
export CARGO_TARGET_DIR=${TAKE_OUT_TARGET:-$root/target/take-out}
cd "$copy"
failed=0
check_only=
if [ "${1:-}" = --check ]; then check_only=1; shift; fi

# name ~ file ~ perl substitution ~ package ~ test file ~ test (may be empty)
while IFS='~' read -r name file change package test only; do
  [ -n "$name" ] || continue
  case "$name" in \#*) continue ;; esac
  if [ $# -gt 0 ] && [[ " $* " != *" $name "* ]]; then continue; fi
  cp "$file" "$file.kept"
  perl -0pi -e "$change" "$file"
  if cmp -s "$file" "$file.kept"; then
    echo "$name: the change does not apply"; failed=1
  elif [ -n "$check_only" ]; then
    :
  elif cargo test -q --locked -p "$package" --test "$test" $only >"$copy/out" 2>&1; then
    echo "$name: PASSES without its mechanism"; failed=1
  elif grep -q 'error\[E\|error: could not compile' "$copy/out"; then
    echo "$name: does not compile"; grep -m3 -A6 '^error' "$copy/out"; failed=1
  else
    echo "$name: fails as it should ($package $test $only)"
  fi
  mv "$file.kept" "$file"
  # Cargo goes by times: what was built without the mechanism must not pass for the whole.
  touch "$file" "$root/$file"
done < scripts/take-out.list
exit $failed
