#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts in target/review/. Needs only the
# packages of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -I.)
names=(harness)
for source in review/standins/*.cc; do
  name=$(basename "$source" .cc)
  [ "$name" = harness ] || names+=("$name")
done
for name in "${names[@]}"; do
  g++ "${flags[@]}" -c "review/standins/$name.cc" -o "target/review/$name.o"
done
for name in "${names[@]:1}"; do
  g++ target/review/harness.o "target/review/$name.o" -o "target/review/$name" -pthread
done
