#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for case_source in src/*.cc; do
  name=$(basename "$case_source" .cc)
  [ "$name" = support ] && continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$case_source" src/support.cc -o "bin/$name"
done
