# Functions that run a small fleet on loopback, with a fake platform and fake
# upstreams. Source this file:
#
#   fleet_start SHAPE DAEMONS BASE_PORT [fake_upstreams options...]
#   fleet_wait_ready      waits until all daemons are ready, 20 s for each
#   fleet_stop            stops the daemons gracefully, then the fakes
#
# FLEET_DIR holds the files of the fleet, BIN the programs; MAKE_SHAPE_ARGS adds
# options for make_shape.

BIN="${BIN:-$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)/build}"
FLEET_DIR="${FLEET_DIR:-$(mktemp -d)}"
declare -a DAEMON_PIDS=() FAKE_PIDS=() DAEMON_ADDRESSES=()
declare -a MAKE_SHAPE_ARGS=("${MAKE_SHAPE_ARGS[@]:-}")

fleet_files() {  # SHAPE DAEMONS BASE_PORT
  "$BIN/make_shape" --shape "$1" --daemons "$2" --base-port "$3" \
    --dir "$FLEET_DIR" ${MAKE_SHAPE_ARGS[@]:+"${MAKE_SHAPE_ARGS[@]}"}
}

fleet_platform() {
  "$BIN/fake_platform" -s "$FLEET_DIR/settings.toml" -v "$FLEET_DIR/vms.json" \
    -p "$BASE_PORT" >"$FLEET_DIR/platform.log" 2>&1 &
  PLATFORM_PID=$!
  FAKE_PIDS+=("$PLATFORM_PID")
}

fleet_daemon() {  # INDEX
  "$BIN/lacewingknotd" -s "$FLEET_DIR/vm-$1.toml" >>"$FLEET_DIR/vm-$1.log" 2>&1 &
  DAEMON_PIDS[$1]=$!
}

fleet_start() {
  local shape=$1 daemons=$2
  BASE_PORT=$3
  shift 3
  fleet_files "$shape" "$daemons" "$BASE_PORT"
  fleet_platform
  ADMIN="127.0.0.1:$((BASE_PORT + 1))"
  "$BIN/fake_upstreams" -s "$FLEET_DIR/settings.toml" -a "$((BASE_PORT + 1))" \
    "$@" >"$FLEET_DIR/upstreams.log" 2>&1 &
  UPSTREAMS_PID=$!
  FAKE_PIDS+=("$UPSTREAMS_PID")
  for ((i = 0; i < daemons; i++)); do
    fleet_daemon "$i"
    DAEMON_ADDRESSES[i]="127.0.0.1:$((BASE_PORT + 10 + i))"
  done
}

fleet_wait_ready() {
  local address
  for address in "${DAEMON_ADDRESSES[@]}"; do
    for _ in $(seq 200); do
      curl -fs -o /dev/null "http://$address/health/ready" && continue 2
      sleep 0.1
    done
    echo "daemon $address is not ready" >&2
    return 1
  done
}

# Prints the callers' addresses of the daemons, separated by commas.
fleet_daemon_list() {
  local IFS=,
  echo "${DAEMON_ADDRESSES[*]}"
}

# Prints the counts of the upstreams as JSON.
fleet_stats() { curl -fs "http://$ADMIN/admin/stats"; }

# Sets a fault of the upstreams.
fleet_fault() {  # upstream=NAME&KEY=VALUE
  curl -fs -o /dev/null -X POST "http://$ADMIN/admin/fault?$1"
}

# Replaces a document of the platform.
fleet_publish() {  # NAME REVISION FILE
  curl -fs -o /dev/null -X POST --data-binary "@$3" \
    "http://127.0.0.1:$BASE_PORT/admin/documents/$1?revision=$2"
}

fleet_stop() {
  local pid
  for pid in "${DAEMON_PIDS[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${DAEMON_PIDS[@]}"; do wait "$pid" 2>/dev/null || true; done
  for pid in "${FAKE_PIDS[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${FAKE_PIDS[@]}"; do wait "$pid" 2>/dev/null || true; done
  DAEMON_PIDS=() FAKE_PIDS=()
}
