#!/usr/bin/env bash
# Builds the stand-ins of cases 6 and up, in target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
common=(review/standins-2/http_stand_in.cc review/standins-2/store_stand_in.cc
  review/standins-2/fleet_settings.cc)
for source in review/standins-2/*_case.cc; do
  name=$(basename "$source" .cc)
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -I. -o "target/review-2/$name" \
    "$source" "${common[@]}"
done
