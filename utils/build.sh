#!/usr/bin/env bash
# Configures and builds everything into build/release.
set -euo pipefail
cd "$(dirname "$0")/.."
utils/install-packages.sh
cmake --preset release >/dev/null
cmake --build --preset release
