#!/usr/bin/env bash
# Checks a small fleet of real processes on loopback, through their interfaces.
# Usage: tests/e2e.sh [CHECK...]; KEEP_RUN_DIR=1 keeps the logs of a failure.
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 scripts/lib/e2e.py "$@"
