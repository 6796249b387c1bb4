#!/usr/bin/env bash
# Prints a key that changes whenever clang-tidy's verdict on SOURCE may change:
# the linter's settings, the source, and the project's headers that it includes.
set -euo pipefail
mapfile -t files < <(g++ -std=c++20 -MM -Iinclude -include utility "$1" | sed 's/^[^:]*://' | tr -s ' \\' '\n' | grep -v '^/usr' | sort -u | grep .)
cat .clang-tidy "${files[@]}" | sha256sum | cut -d' ' -f1
