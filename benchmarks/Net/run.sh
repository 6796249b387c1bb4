#!/usr/bin/env bash
# Compares streamed calls through one daemon with direct calls to the stand-in engine, in one run.
# Usage: benchmarks/Net/run.sh [STREAMS...]; requires the release build.
set -euo pipefail
cd "$(dirname "$0")/../.."
bin=build/release/bin
work=$(mktemp -d)
pids=()
stop_all() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap stop_all EXIT

start_standin() { # KIND FLAGS...
    "$bin/basilpoint-standin" --kind "$@" >"$work/$1.address" 2>/dev/null &
    pids+=($!)
    until [ -s "$work/$1.address" ]; do sleep 0.05; done
}
# No prefill time, as prompts differ: the daemon sends the program's whole history, the direct caller only the last message.
start_standin engine --prefill-ms 0 --token-ms 50 --answer-tokens 1000
start_standin kv
engine=$(cat "$work/engine.address") kv=$(cat "$work/kv.address")
cat >"$work/bench.yaml" <<YAML
environment: bench
operator: bench
rules: {budgetTokens: 100000000, maxTurns: 100000, maxConcurrentCalls: 100000}
models: [{name: m, replicas: ["$engine"]}]
YAML
"$bin/basilpoint" --key-value "$kv" env apply "$work/bench.yaml" >&2
caller=127.0.0.1:28080 operator=127.0.0.1:28081
"$bin/basilpointd" --listen $caller --operator-listen $operator --key-value "$kv" --calls-per-replica 4096 ${DAEMON_FLAGS:-} >"$work/daemon.log" 2>&1 &
daemon=$!
pids+=("$daemon")
until curl -sf "http://$operator/readyz" >/dev/null; do sleep 0.1; done
for streams in "${@:-1 64 1000}"; do
    for n in $streams; do
        calls=$((n >= 1000 ? 5 : 10))
        echo "direct $("$bin/basilpoint-load" --address "$engine" --streams "$n" --calls $calls --tokens 20 --pid "${pids[0]}")"
        echo "daemon $("$bin/basilpoint-load" --address $caller --environment bench --streams "$n" --calls $calls --tokens 20 --pid "$daemon")"
    done
done
