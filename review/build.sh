#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
g++ -O1 -std=c++20 -Wall -Wextra -c -o bin/Harness.o harness/Harness.cpp
for driver in Repetition Import Memory Crashing; do
    g++ -O1 -std=c++20 -Wall -Wextra -o "bin/${driver,,}" "harness/$driver.cpp" bin/Harness.o -pthread
done
