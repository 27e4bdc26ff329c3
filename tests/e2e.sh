#!/usr/bin/env bash
# Runs the end-to-end checks against a small fleet of real processes on loopback.
# Usage: tests/e2e.sh [CHECK...]; KEEP_RUN_DIR=1 keeps the logs after a failure.
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 scripts/lib/e2e.py "$@"
