#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start, into
# target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/*.cc; do
  g++ -std=c++20 -O2 -Wall -Wextra -Ireview/stand3 "$source" \
    -o "target/review-3/$(basename "$source" .cc)" -pthread
done
