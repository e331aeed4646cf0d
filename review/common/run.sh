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
  # Only processes that this case started: the program lists each of them, and ends them itself
  # unless it was ended.
  if [ -f "$temp/processes" ] && [ -n "${pid:-}" ] && kill -0 "$pid" 2>/dev/null; then
    kill -9 "$pid" 2>/dev/null
    xargs -r kill -9 <"$temp/processes" 2>/dev/null
  fi
  [ -n "${KEEP_TEMP:-}" ] || rm -rf "$temp"
}
trap cleanup EXIT
trap 'exit 2' INT TERM
export CASE_DIR=$case_dir CASE_TEMP=$temp TROUBLE=${TROUBLE:-1}
"$program" &
pid=$!
(sleep 115; kill -9 "$pid" 2>/dev/null) >/dev/null 2>&1 &
guard=$!
wait "$pid"
status=$?
kill "$guard" 2>/dev/null
if [ "$status" -gt 2 ]; then
  xargs -r kill -9 <"$temp/processes" 2>/dev/null
  status=2
fi
exit "$status"
