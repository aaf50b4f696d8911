#!/usr/bin/env bash
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
stand=$here/../stand/target/release/stand
[ -x "$stand" ] || { echo "run review/build.sh first" >&2; exit 2; }
exec "$stand" dark-crash "$here"
