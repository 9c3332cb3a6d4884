#!/usr/bin/env bash
# Checks the format of all sources with clang-format and lints them with
# clang-tidy.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files '*.h' '*.cc')
clang-format --dry-run -Werror "${sources[@]}"
# Names that the users' platform defines are used only by its adapter, platform/.
platform_names='Server-Seal|Part-Seals|Missing-Parts|Expect-Instance|Not-Executed'
platform_names+='|Store-Era|Server-Limit|Server-Leaving|Deadline-Remaining|Cold-Remaining|kv-(key|range|watch)|op/(config|evacuate)'
platform_names+='|cold_remaining_ms|min_version|top_k|/lacewingknot/readiness|current_rev'
if git grep -nE "$platform_names" -- lacewingknot testing; then
  echo "names of the platform outside platform/"
  exit 1
fi
cmake -S . -B build -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >/dev/null
# Findings go to stdout; stderr holds only messages about system headers that
# name no finding.
git ls-files '*.cc' | xargs -P "$(nproc)" -n 4 clang-tidy -p build --quiet 2>/dev/null
