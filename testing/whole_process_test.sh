#!/usr/bin/env bash
# Tests real processes under faults that tests in virtual time cannot cover, such
# as stopped processes and signals. Checks compare the counts of the fake
# upstreams and the answers, never durations.
#
# Usage: whole_process_test.sh BUILD_DIR CASE
set -uo pipefail
BIN=$(cd "$1" && pwd)
case=$2
cd "$(dirname "$0")/.."
MAKE_SHAPE_ARGS=(--only availability --drain-notice 500ms)
source scripts/fleet.sh
trap fleet_stop EXIT

failures=0
expect() {  # NAME ACTUAL OPERATOR EXPECTED
  if [ "$2" "$3" "$4" ]; then
    echo "ok: $1: $2"
  else
    echo "FAILED: $1: $2, expected $3 $4"
    failures=$((failures + 1))
  fi
}
# Prints the sum of a counter over all upstreams.
sum_counter() { fleet_stats | jq "[.upstreams[] | .$1 | numbers] | add"; }
# The same over the upstreams of one data centre.
sum_counter_in() {  # DATA_CENTRE COUNTER
  local names
  names=$(awk -v c="$1" '/^\[upstream/ {n = $0; gsub(/\[upstream\.|\]/, "", n)}
    /^data_centre/ && $0 ~ c {print n}' "$FLEET_DIR/settings.toml" | jq -R . | jq -s .)
  fleet_stats | jq --argjson names "$names" \
    "[.upstreams | to_entries[] | select(.key as \$k | \$names | index(\$k)) | .value.$2] | add"
}
load() {  # SECONDS RATE [options...]
  local seconds=$1 rate=$2
  shift 2
  "$BIN/lacewingknot_load" --daemons "$(fleet_daemon_list)" --service availability \
    --rate "$rate" --seconds "$seconds" "$@"
}
expect_consistent_answers() {  # JSON of a load run
  expect "coverage stated falsely" "$(jq .false_coverage <<<"$1")" -eq 0
  expect "answers with two versions" "$(jq .mixed_versions <<<"$1")" -eq 0
}
publish_settings() {  # REVISION FILE
  sed -i "s/^revision = .*/revision = $1/" "$2"
  fleet_publish settings "$1" "$2"
}
status_of() { curl -fs "http://${DAEMON_ADDRESSES[$1]}/v1/status"; }
wait_revision() {  # REVISION INDEX...
  local revision=$1 index
  shift
  for index in "$@"; do
    for _ in $(seq 150); do
      [ "$(status_of "$index" | jq .settings.revision)" = "$revision" ] && continue 2
      sleep 0.1
    done
    expect "revision at daemon $index" "$(status_of "$index" | jq .settings.revision)" -eq "$revision"
  done
}

case "$case" in
  cold_restart_under_load)
    fleet_start glenbracken 3 22000
    fleet_wait_ready
    load 4 40 >/dev/null
    load 6 40 >"$FLEET_DIR/load.json" &
    sleep 2
    fleet_fault "upstream=availability0*&restart=cold"
    wait $!
    result=$(cat "$FLEET_DIR/load.json")
    expect_consistent_answers "$result"
    expect "requests above what a cold upstream bears" "$(sum_counter cold_excess)" -eq 0
    expect "queries failed" "$(jq .failed <<<"$result")" -eq 0
    ;;
  daemon_paused_over_data_centre_out)
    fleet_start glenbracken 3 22000 --warm
    fleet_wait_ready
    load 3 40 >/dev/null
    kill -STOP "${DAEMON_PIDS[0]}"
    sed '/^\[data_centre.north\]/,/^state/ s/"in"/"out"/' "$FLEET_DIR/settings.toml" \
      >"$FLEET_DIR/out.toml"
    publish_settings 2 "$FLEET_DIR/out.toml"
    wait_revision 2 1 2
    # This request waits in the paused daemon's socket until the daemon resumes.
    curl -s -o /dev/null --max-time 10 -d '{"service":"availability","query":"x"}' \
      "http://${DAEMON_ADDRESSES[0]}/v1/query" &
    sleep 4
    before=$(sum_counter_in north queries)
    kill -CONT "${DAEMON_PIDS[0]}"
    wait $!
    wait_revision 2 0
    result=$(load 3 40)
    expect_consistent_answers "$result"
    expect "new work in the data centre out" "$(($(sum_counter_in north queries) - before))" -eq 0
    expect "parts missing while a replica remains elsewhere" \
      "$(($(jq .asked <<<"$result") - $(jq .answered <<<"$result")))" -eq 0
    ;;
  graceful_stop_under_load)
    fleet_start glenbracken 3 22000 --warm
    fleet_wait_ready
    load 3 40 >/dev/null
    # Sends requests only to the daemon that stops, and only until its drain
    # notice ends: later requests would find no listener, and a load balancer
    # would already send them elsewhere.
    "$BIN/lacewingknot_load" --daemons "${DAEMON_ADDRESSES[0]}" --service availability \
      --rate 100 --seconds 1 >"$FLEET_DIR/load.json" &
    loader=$!
    sleep 0.7
    kill -TERM "${DAEMON_PIDS[0]}"
    sleep 0.2
    kill -TERM "${DAEMON_PIDS[0]}"
    wait "$loader"
    result=$(cat "$FLEET_DIR/load.json")
    wait "${DAEMON_PIDS[0]}"
    expect "exit status" $? -eq 0
    expect_consistent_answers "$result"
    expect "requests cut" "$(jq '.failures.no_reply // 0' <<<"$result")" -eq 0
    expect "requests answered" "$(jq '.whole + .partial + .failed' <<<"$result")" -eq 100
    ;;
  stop_during_start)
    # Guards against a process that a signal ends before it handles signals. A
    # FIFO holds it where it reads its settings.
    fleet_files glenbracken 1 22000
    cat >"$FLEET_DIR/edge.toml" <<'END'
vm = "vm-0"
data_centre = "here"
listen = "127.0.0.1:22010"
readiness_listen = "127.0.0.1:22011"
control_listen = "127.0.0.1:22012"
gossip_listen = "127.0.0.1:22013"
peers = ["127.0.0.1:22012"]
store = "127.0.0.1:9"
[stop]
grace_seconds = 6
END
    mkfifo "$FLEET_DIR/settings.fifo"
    for settings in vm-0 edge; do
      role=()
      [ "$settings" = edge ] && role=(--edge)
      "$BIN/lacewingknotd" "${role[@]}" -s "$FLEET_DIR/settings.fifo" >/dev/null &
      daemon=$!
      exec 3>"$FLEET_DIR/settings.fifo"  # Waits until the process reads.
      kill -TERM "$daemon"
      cat "$FLEET_DIR/$settings.toml" >&3
      exec 3>&-
      wait "$daemon"
      expect "exit status with $settings" $? -eq 0
    done
    ;;
  platform_down_and_stale)
    fleet_start glenbracken 3 22000 --warm
    fleet_wait_ready
    cp "$FLEET_DIR/settings.toml" "$FLEET_DIR/new.toml"
    publish_settings 5 "$FLEET_DIR/new.toml"
    wait_revision 5 0 1 2
    kill -TERM "$PLATFORM_PID"
    wait "$PLATFORM_PID" 2>/dev/null
    sleep 5
    result=$(load 2 40)
    expect_consistent_answers "$result"
    expect "queries refused while the platform is down" "$(jq .failed <<<"$result")" -eq 0
    # Restarts the platform with the settings of the first revision, and replaces
    # a VM.
    fleet_platform
    kill -KILL "${DAEMON_PIDS[2]}"
    wait "${DAEMON_PIDS[2]}" 2>/dev/null
    fleet_daemon 2
    fleet_wait_ready
    expect "revision at the fresh daemon" "$(status_of 2 | jq .settings.revision)" -eq 5
    expect "revision at an old daemon" "$(status_of 0 | jq .settings.revision)" -eq 5
    ;;
  writes_under_faults)
    fleet_start glenbracken 3 22000 --warm
    fleet_wait_ready
    load 2 40 >/dev/null
    write_load() { "$BIN/lacewingknot_load" --daemons "$(fleet_daemon_list)" \
      --service availability00 --rate 60 --seconds 5 --writes --seed "$1" \
      --timeline "$FLEET_DIR/writes-$1.txt"; }
    write_load 1 >/dev/null &
    loader=$!
    sleep 1
    fleet_fault "upstream=availability00-0&drop_after_run=1"
    sleep 1
    fleet_fault "upstream=availability00-0&drop_after_run=0&shed=1"
    sleep 1
    fleet_fault "upstream=availability00-0&shed=0&restart=cold"
    kill -STOP "${DAEMON_PIDS[1]}"
    sleep 1
    kill -CONT "${DAEMON_PIDS[1]}"
    wait "$loader"
    runs=$(fleet_stats | jq -c .write_runs)
    expect "writes run more than once" "$(jq '[.[] | select(. > 1)] | length' <<<"$runs")" -eq 0
    false_not_run=0 false_done=0
    while read -r id outcome; do
      ran=$(jq --arg id "$id" '.[$id] // 0' <<<"$runs")
      [ "$outcome" = not_run ] && [ "$ran" -gt 0 ] && false_not_run=$((false_not_run + 1))
      [ "$outcome" = refused ] && [ "$ran" -gt 0 ] && false_not_run=$((false_not_run + 1))
      [ "$outcome" = done ] && [ "$ran" -eq 0 ] && false_done=$((false_done + 1))
    done <"$FLEET_DIR/writes-1.txt"
    expect "not run, but ran" "$false_not_run" -eq 0
    expect "done, but did not run" "$false_done" -eq 0
    expect "writes with an outcome" "$(wc -l <"$FLEET_DIR/writes-1.txt")" -eq 300
    awk '{n[$2]++} END {for (o in n) print "outcome", o, n[o]}' "$FLEET_DIR/writes-1.txt"
    ;;
  *)
    echo "unknown case $case"
    exit 2
    ;;
esac
exit $((failures > 0))
