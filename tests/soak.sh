#!/usr/bin/env bash
# A short soak with fixed seeds, among them each seed that ever showed a fault
# (tests/soak/seeds.txt). Guards the fleet's promises under kills, pauses, cut
# links, lost disks and faulty upstreams.
set -euo pipefail
cd "$(dirname "$0")/.."
failed=0
while read -r seed seconds _; do
  [[ "$seed" =~ ^[0-9]+$ ]] || continue
  echo "seed $seed, $seconds s of faults"
  python3 tests/soak/soak.py --seed "$seed" --seconds "$seconds" || failed=$((failed + 1))
done < tests/soak/seeds.txt
exit $((failed != 0))
