#!/usr/bin/env bash
# Builds with a sanitizer and runs the tests or a soak.
# Usage: scripts/sanitize.sh thread|address [tests [FILTER] | soak [SECONDS [SEED]]]
# "address" includes the undefined-behaviour checks. Any report fails the run.
set -euo pipefail
cd "$(dirname "$0")/.."

kind=${1:?thread or address}
what=${2:-tests}
case $kind in
  thread) build=build-tsan flags=-fsanitize=thread ;;
  address) build=build-asan flags="-fsanitize=address,undefined -fno-sanitize-recover=undefined" ;;
  *) echo "unknown sanitizer: $kind" >&2; exit 2 ;;
esac
case $what in
  tests) targets=lacewingknot_tests ;;
  soak) targets="lacewingknotd edge_soak" ;;
  *) echo "neither tests nor soak: $what" >&2; exit 2 ;;
esac

# Release: the sanitizers cause warnings in library headers that would be errors
# in other builds.
cmake -S . -B "$build" -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache \
  -DCMAKE_BUILD_TYPE=Release \
  -DCMAKE_CXX_FLAGS_RELEASE="-O1 -g -fno-omit-frame-pointer $flags" >/dev/null
# shellcheck disable=SC2086
cmake --build "$build" -j2 --target $targets

export TSAN_OPTIONS="halt_on_error=0 exitcode=66"
export ASAN_OPTIONS="detect_stack_use_after_return=1 detect_leaks=0"
export UBSAN_OPTIONS="print_stacktrace=1"
if [ "$what" = tests ]; then
  exec "$build/lacewingknot_tests" --gtest_filter="${3:-*}"
fi
exec "$build/edge_soak" --daemon "$build/lacewingknotd" --daemons 5 \
  --seconds "${3:-180}" --seed "${4:-1}" --out "$build/soak"
