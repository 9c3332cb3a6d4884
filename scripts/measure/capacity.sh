#!/usr/bin/env bash
# Measures the costs in docs/CAPACITY.md and fits a line to each. Writes the raw
# rows to docs/data/*.tsv and the fits to docs/data/fits.tsv. Takes about three
# minutes. With --fit-only, fits the rows of an earlier run.
set -euo pipefail
cd "$(dirname "$0")/../.."
bench=build/lacewingknot_bench
data=docs/data
mkdir -p "$data"

measure() {
# Measures each size in its own process, because memory freed by an earlier size
# would distort the measured memory.
for upstreams in 100 300 600 1100 2200 4400; do
  "$bench" settings --upstreams "$upstreams"
done | awk 'NR == 1 || !/^upstreams/' >"$data/settings.tsv"
for daemons in 9 50 500; do "$bench" table --daemons "$daemons"; done |
  awk 'NR == 1 || !/^daemons/' >"$data/table.tsv"
"$bench" relay >"$data/relay.tsv"
"$bench" gossip >"$data/gossip.tsv"
"$bench" tail >"$data/tail.tsv"
for daemons in 9 25 50 100; do
  timeout 120 "$bench" control --daemons "$daemons"
done | awk 'NR == 1 || !/^daemons/' >"$data/control.tsv"
timeout 120 "$bench" control --daemons 9 --wanted 119 --base-port 36000 >"$data/control_wanted.tsv"
scripts/measure/overhead.sh >"$data/overhead.tsv"
}
[[ "${1:-}" == --fit-only ]] || measure

# Prints the least-squares fit of column Y on column X.
fit() {  # NAME FILE X Y
  awk -F'\t' -v name="$1" -v x="$3" -v y="$4" 'NR > 1 {
      n++; X[n] = $x; Y[n] = $y; sx += $x; sy += $y; sxx += $x * $x; sxy += $x * $y }
    END {
      slope = (n * sxy - sx * sy) / (n * sxx - sx * sx); base = (sy - slope * sx) / n
      for (i = 1; i <= n; i++) { r = Y[i] - base - slope * X[i]; if (r < 0) r = -r
        if (r > worst) worst = r }
      printf "%s\t%d\t%g\t%g\t%g\n", name, n, slope, base, worst }' "$data/$2"
}
{
  echo -e "what\tpoints\tslope\tintercept\tworst_residual"
  fit "settings bytes / upstream" settings.tsv 1 2
  fit "settings parse ms / upstream" settings.tsv 1 3
  fit "settings resident KB / upstream" settings.tsv 1 4
  fit "control CPU % / daemon in the fleet" control.tsv 1 4
  fit "peer bytes per s and daemon / daemon in the fleet" control.tsv 1 5
  fit "platform calls per s / daemon" control.tsv 1 6
  fit "platform calls in the first second / daemon" control.tsv 1 7
  fit "seconds until a change is in force / daemon" control.tsv 1 9
  awk -F'\t' 'NR == 1 || $1 == 9' "$data/table.tsv" >"$data/.table9"
  fit "choose_version us / upstream (9 daemons)" .table9 2 5
  rm "$data/.table9"
  awk -F'\t' 'NR == 1 {print; next} {print 1 / $1 "\t" $2 "\t" $3}' \
    "$data/relay.tsv" >"$data/.relay"
  fit "relay CPU us of an item / (1 / batch)" .relay 1 3
  rm "$data/.relay"
  awk -F'\t' 'NR == 1 {print; next} {print $2 "\t" $2 * $8 / 1e6}' \
    "$data/overhead.tsv" >"$data/.direct"
  fit "direct CPU cores / sub-request a second" .direct 1 2
  rm "$data/.direct"
} >"$data/fits.tsv"
cat "$data/fits.tsv"

if command -v gnuplot >/dev/null; then
  gnuplot <<'PLOT'
set terminal svg size 640,400
set datafile separator "\t"
set key off
set output "docs/data/relay.svg"
set logscale xy
set xlabel "sub-requests in a message"; set ylabel "CPU us for each, both daemons"
plot "docs/data/relay.tsv" using 1:3 skip 1 with linespoints
unset logscale
set output "docs/data/gossip.svg"
set logscale x
set xlabel "daemons"; set ylabel "seconds until all have a change, by peers alone"
plot "docs/data/gossip.tsv" using 1:4 skip 1 with linespoints
unset logscale
set output "docs/data/control.svg"
set xlabel "daemons"; set ylabel "bytes a second between peers, each"
set yrange [0:*]
plot "docs/data/control.tsv" using 1:5 skip 1 with linespoints
set output "docs/data/tail.svg"
set key on
set xlabel "fan-out"; set ylabel "p99, ms"
plot "docs/data/tail.tsv" using 1:3 skip 1 with linespoints title "plain", \
     "docs/data/tail.tsv" using 1:5 skip 1 with linespoints title "hedged"
PLOT
fi
