#!/usr/bin/env bash
# Installs the compilers, libraries and tools that the build and tests need.
set -euo pipefail
packages=(g++ cmake ninja-build ccache clang-format clang-tidy
  libcpprest-dev libnng-dev prometheus-cpp-dev libtclap-dev liblog4cplus-dev
  gnuplot-nox librapidcheck-dev libtomlplusplus-dev libxxhash-dev nlohmann-json3-dev
  libmsgpack-cxx-dev libgtest-dev zlib1g-dev libssl-dev curl jq)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' ||
    missing+=("$package")
done
if ((${#missing[@]})); then
  apt-get update
  DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends "${missing[@]}"
fi
