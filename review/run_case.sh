#!/usr/bin/env bash
# Runs one stand-in: run_case.sh NUMBER PROGRAM [ARGUMENT]. Exit status: 1 if the rule was
# broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the
# disruption. Needs the build of the deploy file and review/build.sh.
set -u
cd "$(dirname "$0")/.."
program=target/review/$2
daemon=target/lacewingknotd
if [ ! -x "$program" ] || [ ! -x "$daemon" ]; then
  echo "$program or $daemon is missing"
  exit 2
fi
directory=$(mktemp -d) || exit 2
trap 'rm -rf "$directory"' EXIT
timeout 110 "$program" "$daemon" "$directory" "review/$1/record.txt" "${@:3}"
status=$?
tail -n 12 "review/$1/record.txt"
[ "$status" -le 1 ] || exit 2
exit "$status"
