#!/usr/bin/env bash
# Builds and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
utils/build.sh
ctest --preset release -j "$(nproc)"
