#!/usr/bin/env bash
# Installs the dependencies, builds, and demonstrates the main use: three daemons
# with a fake platform and fake upstreams, one query over 20 services with 2
# upstreams each, one non-idempotent request, and a graceful stop.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install_deps.sh
scripts/build.sh
source scripts/fleet.sh
trap fleet_stop EXIT

echo "== starting the fake platform, fake upstreams and three daemons"
fleet_start glenbracken 3 20000
fleet_wait_ready
daemon=${DAEMON_ADDRESSES[0]}

echo "== status of the first daemon"
build/lacewingknotctl status --daemon "$daemon"
echo "== a query over 20 services"
build/lacewingknotctl query availability --daemon "$daemon" --text "betula pendula" || true
echo "== the same query, now that the daemon knows the versions at the upstreams"
build/lacewingknotctl query availability --daemon "$daemon" --text "betula pendula"
echo "== a non-idempotent request"
for address in "${DAEMON_ADDRESSES[@]}"; do
  build/lacewingknotctl write availability00 --daemon "$address" --id "demo-$RANDOM" \
    --text "reserve 40 birch" && break
done
echo "== graceful stop"
fleet_stop
grep -h E1006 "$FLEET_DIR"/vm-*.log
