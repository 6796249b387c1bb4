#!/usr/bin/env bash
# Installs the libraries and tools that the build needs and that are not installed yet.
set -euo pipefail
packages=(g++ cmake ninja-build ccache clang-format clang-tidy curl
    libboost-dev libboost-fiber-dev libboost-context-dev libboost-test-dev
    libwebsocketpp-dev nlohmann-json3-dev libcxxopts-dev libspdlog-dev libfmt-dev
    libyaml-cpp-dev libxxhash-dev libssl-dev librapidcheck-dev)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}"
