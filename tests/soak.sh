#!/usr/bin/env bash
# Runs the soak test with the seeds in tests/soak/seeds.txt, which include every
# seed that has shown a failure. Guards the fleet's guarantees under killed and
# paused processes, partitions, lost data directories and faulty upstreams.
set -euo pipefail
cd "$(dirname "$0")/.."
failed=0
while read -r seed seconds _; do
  [[ "$seed" =~ ^[0-9]+$ ]] || continue
  echo "seed $seed, faults for $seconds s"
  python3 tests/soak/soak.py --seed "$seed" --seconds "$seconds" || failed=$((failed + 1))
done < tests/soak/seeds.txt
exit $((failed != 0))
