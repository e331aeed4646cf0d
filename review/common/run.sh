#!/usr/bin/env bash
# Runs the case of a folder: common/run.sh FOLDER. Exits with 1 if the rule was broken, with 0 if it held,
# and with 2 if the case could not run. With TROUBLE=0 the same is done without the disruption.
set -u
case_dir=$(cd "$1" && pwd)
cd "$case_dir/../.." || exit 2
program="target/review/case$(basename "$case_dir")"
if [ ! -x target/release/toucand ] || [ ! -x "$program" ]; then
  echo "build first: the command of deploy/system.toml, then review/build.sh" >&2
  exit 2
fi
temp=$(mktemp -d) || exit 2
cleanup() {
  [ -n "${pid:-}" ] && kill -9 "$pid" 2>/dev/null
  # The program lists each process that it starts and ends it itself, unless it was ended before.
  while read -r started; do
    if grep -qsaE "$temp|review/case" "/proc/$started/cmdline"; then
      kill -9 "$started" 2>/dev/null
    fi
  done < <(cat "$temp/processes" 2>/dev/null)
  [ -n "${KEEP_TEMP:-}" ] || rm -rf "$temp"
}
trap cleanup EXIT
trap 'exit 2' INT TERM
export CASE_DIR=$case_dir CASE_TEMP=$temp TROUBLE=${TROUBLE:-1}
"$program" &
pid=$!
wait "$pid"
status=$?
pid=
[ "$status" -gt 2 ] && status=2
exit "$status"
