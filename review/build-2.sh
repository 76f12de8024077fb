#!/usr/bin/env bash
# Builds the stand-ins of the second review. They use Python's standard library only,
# so that compiling them is all there is to do.
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 -m compileall -q review/common2
