#!/usr/bin/env bash
# Compares CPU time and latency of one daemon with a plain scatter over the same
# upstreams. Prints a row for each rate: rate, sub-requests per second, then for
# the scatter and for the daemon p50, p99 and CPU us per sub-request, and last
# the CPU us per sub-request of the daemon's caller.
#
# Usage: overhead.sh [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/../.."
seconds=${1:-5}
MAKE_SHAPE_ARGS=(--extra 'warmup = false
hedging = false' --only availability)
source scripts/fleet.sh
trap fleet_stop EXIT
fleet_start glenbracken 1 24000 --warm --service-us 1000 --connect-ms 6
fleet_wait_ready
cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
field() { sed -n "s/.*\"$1\":\([0-9.]*\).*/\1/p"; }
echo -e "rate\tsub_requests_s\tscatter_p50_ms\tscatter_p99_ms\tscatter_cpu_us\tdaemon_p50_ms\tdaemon_p99_ms\tdaemon_cpu_us\tcaller_cpu_us"
build/lacewingknot_load --daemons "${DAEMON_ADDRESSES[0]}" --service availability \
  --rate 50 --seconds 2 >/dev/null
for rate in 25 50 100 200 300; do
  scatter=$(build/lacewingknot_load --service availability --rate "$rate" \
    --scatter "$FLEET_DIR/settings.toml" --seconds "$seconds")
  before=$(cpu_ticks "${DAEMON_PIDS[0]}")
  daemon=$(build/lacewingknot_load --daemons "${DAEMON_ADDRESSES[0]}" \
    --service availability --rate "$rate" --seconds "$seconds")
  after=$(cpu_ticks "${DAEMON_PIDS[0]}")
  asked=$(field asked <<<"$daemon")
  awk -v r="$rate" -v a="$asked" -v t="$((after - before))" -v s="$seconds" \
    -v sp50="$(field p50_ms <<<"$scatter")" -v sp99="$(field p99_ms <<<"$scatter")" \
    -v sc="$(field cpu_s <<<"$scatter")" -v sa="$(field asked <<<"$scatter")" \
    -v dp50="$(field p50_ms <<<"$daemon")" -v dp99="$(field p99_ms <<<"$daemon")" \
    -v dc="$(field cpu_s <<<"$daemon")" 'BEGIN {
      printf "%d\t%.0f\t%.2f\t%.2f\t%.1f\t%.2f\t%.2f\t%.1f\t%.1f\n", r, a / s,
        sp50, sp99, sc / sa * 1e6, dp50, dp99, t / 100 / a * 1e6, dc / a * 1e6 }'
done
