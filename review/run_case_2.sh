#!/usr/bin/env bash
# Runs one scripted case: run_case_2.sh PROGRAM RECORD. The program serves the
# store, the servers and the clients, writes the daemons' settings and judges;
# this script starts the daemons with the command of the deploy file.
set -uo pipefail
program=$1 record=$2
cd "$(dirname "$0")/.."
directory=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$directory"
}
trap cleanup EXIT
[[ -x target/lacewingknotd && -x $program ]] || exit 2
"$program" "$directory" "$record" &
judge=$!
pids+=("$judge")
for _ in $(seq 50); do
  [[ -e $directory/written ]] && break
  sleep 0.1
done
[[ -e $directory/written ]] || exit 2
for settings in "$directory"/d*.toml; do
  target/lacewingknotd --edge --settings "$settings" \
    >"${settings%.toml}.log" 2>&1 &
  pids+=("$!")
done
wait "$judge"
exit $?
