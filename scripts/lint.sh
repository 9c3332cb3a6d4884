#!/usr/bin/env bash
# Checks format and lint of all sources.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files '*.h' '*.cc')
clang-format --dry-run -Werror "${sources[@]}"
# Only the adapter knows what the users' platform calls things.
platform_names='Server-Seal|Part-Seals|Missing-Parts|Expect-Instance|Not-Executed'
platform_names+='|Deadline-Remaining|Cold-Remaining|kv-(key|range|watch)|op/(config|evacuate)'
platform_names+='|cold_remaining_ms|min_version|top_k|/lacewingknot/readiness|current_rev'
if git grep -nE "$platform_names" -- lacewingknot testing; then
  echo "names of the platform outside platform/"
  exit 1
fi
cmake -S . -B build -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >/dev/null
# Messages that name no finding are noise from system headers.
git ls-files '*.cc' | xargs -P "$(nproc)" -n 4 clang-tidy -p build --quiet 2>/dev/null
