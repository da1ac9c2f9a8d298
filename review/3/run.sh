#!/usr/bin/env bash
# Runs the case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
if [ ! -x target/aspenstall ] || [ ! -x target/review/standins ]; then
  echo "build first: the build of deploy/service.toml, then review/build.sh" >&2
  exit 2
fi
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
TROUBLE="${TROUBLE:-1}" LOG_LEVEL=info timeout -k 1 119 target/review/standins replay target/aspenstall "$dir" "$here/record.txt"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
