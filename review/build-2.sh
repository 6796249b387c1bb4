#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into build/review-2, with the libraries that the build of the deploy file leaves in target/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build/review-2
mkdir -p "$out"
flags=(-std=c++20 -O2 -Wall -Wextra -Iinclude -include utility -DBOOST_ASIO_NO_DEPRECATED -DBOOST_BEAST_USE_STD_STRING_VIEW)
libraries=(target/lib/Net/libBasilpointNet.a target/lib/Support/libBasilpointSupport.a -lboost_fiber -lboost_context -lfmt -lxxhash -lssl -lcrypto -lpthread)
for name in Platform Deployment; do
    g++ "${flags[@]}" -c "review/standins/$name.cpp" -o "$out/$name.o" &
done
for it in $(jobs -p); do wait "$it"; done
for name in Restart Compaction Method Framing Crash; do
    g++ "${flags[@]}" "review/standins/$name.cpp" "$out/Platform.o" "$out/Deployment.o" "${libraries[@]}" -o "$out/$name" &
done
for it in $(jobs -p); do wait "$it"; done
