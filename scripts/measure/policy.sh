#!/usr/bin/env bash
# Compares the adaptive policy with a baseline on one fleet of 9 daemons and 20
# shards, in one run that switches policies by publishing new settings.
#   baseline: random replica, no hedges, no warm-up, retries practically unlimited
#   adaptive: the default settings
# Prints a row for each policy and condition: policy, condition, p50, p99, p99.9,
# coverage, extra load, failed queries.
set -euo pipefail
cd "$(dirname "$0")/../.."
MAKE_SHAPE_ARGS=(--only availability)
source scripts/fleet.sh
trap fleet_stop EXIT
fleet_start glenbracken 9 25000
fleet_wait_ready
revision=1
cp "$FLEET_DIR/settings.toml" "$FLEET_DIR/adaptive.toml"
sed '/^\[service.all\]/a replica_choice = "random"\nhedging = false\nwarmup = false\nextra_load = 1.0\nextra_load_burst = 10000' \
  "$FLEET_DIR/adaptive.toml" >"$FLEET_DIR/baseline.toml"
sed '/^\[data_centre.north\]/,/^state/ s/"in"/"out"/' "$FLEET_DIR/adaptive.toml" \
  >"$FLEET_DIR/adaptive-out.toml"
publish() {
  revision=$((revision + 1))
  sed -i "s/^revision = .*/revision = $revision/" "$FLEET_DIR/$1.toml"
  fleet_publish settings "$revision" "$FLEET_DIR/$1.toml"
}
load() { build/lacewingknot_load --daemons "$(fleet_daemon_list)" \
  --service availability --rate 80 "$@"; }
row() {  # POLICY CONDITION JSON
  jq -r --arg p "$1" --arg c "$2" '[$p, $c, .p50_ms, .p99_ms, .p999_ms,
    .answered / .asked, (.retries + .hedges) / .asked, .failed] |
    map(if type == "number" then (. * 10000 | round / 10000) else . end) | @tsv' <<<"$3"
}
echo -e "policy\tcondition\tp50_ms\tp99_ms\tp999_ms\tcoverage\textra_load\tfailed"
load --seconds 25 >/dev/null  # Warms up the upstreams.
for policy in baseline adaptive; do
  publish "$policy"
  sleep 1
  load --seconds 4 --seed 7 >/dev/null
  row "$policy" "no straggler" "$(load --seconds 12 --seed 8)"
  fleet_fault "upstream=availability03-0&straggle_fraction=1&straggle_ms=60"
  fleet_fault "upstream=availability11-1&straggle_fraction=1&straggle_ms=60"
  load --seconds 4 --seed 9 >/dev/null
  row "$policy" "2 of 40 take 60 ms" "$(load --seconds 12 --seed 10)"
  fleet_fault "upstream=*&straggle_fraction=0.05&straggle_ms=60"
  row "$policy" "1 part in 20 takes 60 ms" "$(load --seconds 12 --seed 11)"
  fleet_fault "upstream=*&straggle_fraction=0"
  fleet_fault "upstream=availability05-0&down=1"
  row "$policy" "a replica lost" "$(load --seconds 8 --seed 12)"
  fleet_fault "upstream=availability05-0&down=0"
  before=$(fleet_stats | jq '[.upstreams[].cold_excess] | add')
  load --seconds 6 --seed 13 >"$FLEET_DIR/restart.json" &
  sleep 2
  fleet_fault "upstream=availability*-1&restart=cold"
  wait $!
  after=$(fleet_stats | jq '[.upstreams[].cold_excess] | add')
  row "$policy" "20 upstreams restart cold ($((after - before)) requests above what they bear)" \
    "$(cat "$FLEET_DIR/restart.json")"
  load --seconds 8 --seed 14 >/dev/null
done
# Takes a data centre out at 4 s and puts it back, with cold upstreams, at 10 s.
# Writes a row for each second to docs/data/data_centre_move.tsv.
load --seconds 18 --seed 15 --timeline "$FLEET_DIR/move.txt" >"$FLEET_DIR/move.json" &
loader=$!
sleep 4
publish adaptive-out
sleep 6
for name in $(awk '/^\[upstream/ {n = $0; gsub(/\[upstream\.|\]/, "", n)}
    /^data_centre/ && /north/ {print n}' "$FLEET_DIR/settings.toml"); do
  fleet_fault "upstream=$name&restart=cold"
done
publish adaptive
wait $loader
row adaptive "data centre out at 4 s, back cold at 10 s" "$(cat "$FLEET_DIR/move.json")"
sort -n "$FLEET_DIR/move.txt" | awk 'BEGIN {print "second\tqueries\tmean_ms\tworst_ms\tcoverage"}
  {s = int($1); n[s]++; m[s] += $2; if ($2 > w[s]) w[s] = $2; c[s] += $3 < 0 ? 0 : $3; if (s > last) last = s}
  END {for (s = 0; s <= last; s++) printf "%d\t%d\t%.1f\t%.1f\t%.4f\n", s, n[s], m[s] / n[s], w[s], c[s] / n[s]}' \
  >docs/data/data_centre_move.tsv
