#!/usr/bin/env bash
# Checks format and lint of all sources.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files '*.h' '*.cc')
clang-format --dry-run -Werror "${sources[@]}"
cmake -S . -B build -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >/dev/null
# Messages that name no finding are noise from system headers.
git ls-files '*.cc' | xargs -P "$(nproc)" -n 4 clang-tidy -p build --quiet 2>/dev/null
