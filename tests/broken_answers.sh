#!/usr/bin/env bash
# Real processes whose upstreams send bytes that are no answer, or a part of one. Guards
# against such bytes that reach a caller, on the platform's interface and on the product's.
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 scripts/lib/broken_answers.py "$@"
