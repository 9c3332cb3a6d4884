#!/usr/bin/env python3
"""Compares two commits by the worth of the same days and seeds.

Plays each day of a site with each seed on both commits and prints, for every
day and for the site, the paired difference (candidate minus base) with its
standard error. The parts of the worth and its prices are compared the same way,
so that the table shows where a difference comes from.

Each commit is checked out and built once below --work. Every played day is kept
there as a report, so that an interrupted comparison continues where it stopped.
Journal entries of the bench are copied into this repository's journal/.

Example:
  export FLEETBENCH=PATH_OF_THE_BENCH
  scripts/measure/compare.py HEAD~1 HEAD --site SITE.toml --seeds 1-8 \\
      --why "relays for data centres without replicas" --plot out.svg

A commit may be written `worktree`: the uncommitted changes to tracked files.
`--without NAME` compares one commit with itself with a mechanism switched off
(lacewingknot/policy/mechanisms.h), for an ablation.
"""

import argparse
import concurrent.futures
import json
import math
import os
import pathlib
import shutil
import statistics
import subprocess
import sys

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
MODES = ("counted", "no-cpu")


def run(command, **options):
    return subprocess.run(command, check=True, text=True, capture_output=True,
                          **options).stdout.strip()


def resolve(revision):
    """Returns the full commit id of `revision`."""
    if revision == "worktree":
        stash = run(["git", "stash", "create"], cwd=REPOSITORY)
        if not stash:
            sys.exit("worktree: no uncommitted changes to tracked files")
        return stash
    return run(["git", "rev-parse", "--verify", revision + "^{commit}"],
               cwd=REPOSITORY)


def switch_off(mechanism, folder):
    """Switches `mechanism` off in the settings of the checkout `folder`."""
    template = folder / "deploy" / "settings.toml.template"
    lines = [line for line in template.read_text().splitlines(keepends=True)
             if not line.startswith("disabled_mechanisms")]
    template.write_text(f'disabled_mechanisms = ["{mechanism}"]\n'
                        + "".join(lines))


def check_out_and_build(commit, without, work, bench):
    """Returns the folder of a checkout of `commit`, built.

    The mechanism named by `without` is switched off in it; None for no one.
    """
    folder = work / (commit[:12] + (f"-without-{without}" if without else ""))
    if not folder.exists():
        run(["git", "clone", "--quiet", "--no-checkout", str(REPOSITORY),
             str(folder)])
        # A commit made by `git stash create` is on no branch.
        run(["git", "fetch", "--quiet", str(REPOSITORY), commit], cwd=folder)
        run(["git", "checkout", "--quiet", commit], cwd=folder)
        if without:
            switch_off(without, folder)
    print(f"building {folder.name}", file=sys.stderr)
    cached = {}
    if shutil.which("ccache"):
        cached = {"CMAKE_CXX_COMPILER_LAUNCHER": "ccache",
                  "CCACHE_BASEDIR": str(work), "CCACHE_NOHASHDIR": "1"}
    run([bench, "build"], cwd=folder, env=os.environ | cached)
    return folder


def play(bench, folder, options, day, seed, mode):
    """Plays one day and returns its report, or the kept one."""
    kept = folder / "target" / "reports"
    kept.mkdir(exist_ok=True)
    name = f"{pathlib.Path(options.site).stem}-{pathlib.Path(day).stem}-{seed}"
    report = kept / f"{name}-{mode}.json"
    if not report.exists():
        partial = report.with_suffix(".partial")
        command = [bench, "run", options.site, day, "--seed", str(seed),
                   "--report", str(partial), "--why", options.why]
        if mode == "no-cpu":
            command.append("--no-cpu")
        if options.vary:
            command.append("--vary")
        # The bench exits with an error if the day broke a rule; the report
        # says so.
        finished = subprocess.run(command, cwd=folder, text=True,
                                  capture_output=True, check=False)
        if not partial.exists():
            sys.exit(f"{name}: no report\n{finished.stdout}{finished.stderr}")
        partial.rename(report)
    return json.loads(report.read_text())


def figures(report):
    """Returns the compared figures of a report by name."""
    values = {"worth": report["G"], "served": report["served"]}
    for name, _, value in report["parts"]:
        values[name] = value
    for name, _, price in report["prices"]:
        values["price: " + name] = price
    values["broken rules"] = len(report["breaks"])
    return values


def summarise(pairs):
    """Returns the figures of `pairs`, a list of (seed, base, candidate)."""
    rows = {}
    for name in pairs[0][1]:
        differences = [(candidate.get(name, 0) - base.get(name, 0), seed)
                       for seed, base, candidate in pairs]
        values = [difference for difference, _ in differences]
        error = (statistics.stdev(values) / math.sqrt(len(values))
                 if len(values) > 1 else math.nan)
        rows[name] = {
            "base": statistics.mean(base[name] for _, base, _ in pairs),
            "candidate": statistics.mean(
                candidate.get(name, 0) for _, _, candidate in pairs),
            "difference": statistics.mean(values),
            "standard_error": error,
            "worst_seed": min(differences)[1],
            "worst_difference": min(differences)[0],
        }
    return rows


def print_table(title, rows, threshold):
    print(f"\n{title}")
    print(f"{'':46}    base  candid.  differ.  st.err.   worst  seed")
    for name, row in rows.items():
        is_main = name in ("worth", "served", "broken rules")
        if not is_main and abs(row["difference"]) < threshold:
            continue
        print(f"{name:46} {row['base']:8.4f} {row['candidate']:8.4f} "
              f"{row['difference']:+8.4f} {row['standard_error']:8.4f} "
              f"{row['worst_difference']:+7.3f}  {row['worst_seed']}")


def write_plot(path, summary):
    """Plots the difference of worth by day with its standard error."""
    lines = []
    for position, (title, rows) in enumerate(summary.items()):
        row = rows["worth"]
        lines.append(f'{position} "{title}" {row["difference"]} '
                     f'{row["standard_error"]}')
    script = f"""set terminal svg size 720,400
set output "{path}"
set key off
set ylabel "difference of worth"
set xrange [-0.5:{len(lines) - 0.5}]
set xtics rotate by -30
set xzeroaxis
$data << END
{chr(10).join(lines)}
END
plot $data using 1:3:4:xtic(2) with yerrorbars pointtype 7
"""
    subprocess.run(["gnuplot"], input=script, text=True, check=True)


def parse_seeds(text):
    seeds = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds.extend(range(int(first), int(last or first) + 1))
    return seeds


def parse_arguments():
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("base")
    parser.add_argument("candidate", nargs="?", help="default: the base")
    parser.add_argument("--without", metavar="MECHANISM",
                        help="switched off in the candidate")
    parser.add_argument("--site", required=True, help="site file")
    parser.add_argument("--days", default="trouble-1,scale-1,trouble-2,scale-2,"
                        "trouble-3", help="names or TOML files, by commas")
    parser.add_argument("--vary", action="store_true",
                        help="vary times and figures of day files by the seed")
    parser.add_argument("--seeds", type=parse_seeds, default=parse_seeds("1-8"))
    parser.add_argument("--mode", choices=MODES, default="counted",
                        help="whether processor time is counted")
    parser.add_argument("--jobs", type=int, default=3, help="days at a time")
    parser.add_argument("--why", required=True, help="for the journal")
    parser.add_argument("--work", default="/tmp/lacewingknot-compare",
                        type=pathlib.Path, help="checkouts and builds")
    parser.add_argument("--threshold", type=float, default=0.004,
                        help="smallest difference of a part that is printed")
    parser.add_argument("--json", type=pathlib.Path)
    parser.add_argument("--plot", type=pathlib.Path, help="SVG; needs gnuplot")
    return parser.parse_args()


def main():
    options = parse_arguments()
    bench = os.environ.get("FLEETBENCH")
    if not bench:
        sys.exit("FLEETBENCH must hold the path of the bench")
    options.site = str(pathlib.Path(options.site).resolve())
    options.work.mkdir(parents=True, exist_ok=True)
    folders = [
        check_out_and_build(resolve(revision), without, options.work, bench)
        for revision, without in (
            (options.base, None),
            (options.candidate or options.base, options.without))
    ]
    if folders[0] == folders[1]:
        sys.exit("base and candidate are the same")
    days = options.days.split(",")
    cases = [(folder, day, seed) for day in days for seed in options.seeds
             for folder in folders]
    reports = {}
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        started = {
            pool.submit(play, bench, folder, options, day, seed, options.mode):
                (folder, day, seed) for folder, day, seed in cases
        }
        for done in concurrent.futures.as_completed(started):
            reports[started[done]] = figures(done.result())
            print(f"{len(reports)}/{len(cases)} days", end="\r",
                  file=sys.stderr)
    print(file=sys.stderr)
    for folder in folders:
        shutil.copytree(folder / "journal", REPOSITORY / "journal",
                        dirs_exist_ok=True)
    summary = {}
    pairs_of_all = []
    for day in days:
        pairs = [(seed, reports[(folders[0], day, seed)],
                  reports[(folders[1], day, seed)]) for seed in options.seeds]
        pairs_of_all += [(f"{pathlib.Path(day).stem}/{seed}", base, candidate)
                         for seed, base, candidate in pairs]
        summary[pathlib.Path(day).stem] = summarise(pairs)
    summary["all days"] = summarise(pairs_of_all)
    for title, rows in summary.items():
        print_table(title, rows, options.threshold)
    if options.json:
        options.json.write_text(json.dumps(summary, indent=1) + "\n")
    if options.plot:
        write_plot(options.plot, summary)


if __name__ == "__main__":
    main()
