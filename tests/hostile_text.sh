#!/usr/bin/env bash
# Texts that become far more memory than they have bytes, at each listener of a real
# router. Guards against a process that ends by the memory of what it reads into objects.
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 scripts/lib/hostile_text.py "$@"
