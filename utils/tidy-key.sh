#!/usr/bin/env bash
# Prints a key that changes whenever clang-tidy's verdict on SOURCE may change:
# the linter's settings, the source, and the project's headers.
set -euo pipefail
{ cat .clang-tidy "$1"; git ls-files -co --exclude-standard -- '*.h' | sort | xargs cat; } | sha256sum | cut -d' ' -f1
