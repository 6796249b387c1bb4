#!/usr/bin/env bash
# usage: tidy-key.sh SOURCE
# Prints a digest of everything that clang-tidy's result for SOURCE depends on: the clang-tidy settings,
# the source, and the project headers that it includes.
set -euo pipefail
mapfile -t folders < <(find lib platform tools unittests benchmarks -mindepth 1 -maxdepth 1 -type d -printf '-I%p\n')
rule=$(g++ -std=c++20 -MM -Iinclude -Iplatform "${folders[@]}" -include utility "$1")
mapfile -t files < <(sed 's/^[^:]*://' <<<"$rule" | tr -s ' \\' '\n' | grep -v '^/usr' | sort -u | grep .)
cat .clang-tidy "${files[@]}" | sha256sum | cut -d' ' -f1
