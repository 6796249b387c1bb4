#!/usr/bin/env bash
# Builds everything, starts stand-ins and a daemon on the loopback address, and runs one agent program end to end.
set -euo pipefail
cd "$(dirname "$0")/.."
utils/build.sh >/dev/null
bin=build/release/bin
work=$(mktemp -d)
pids=()
stop_all() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap stop_all EXIT

start_standin() { # KIND
    "$bin/basilpoint-standin" --kind "$1" >"$work/$1.address" 2>"$work/$1.log" &
    pids+=($!)
    until [ -s "$work/$1.address" ]; do sleep 0.05; done
}
start_standin engine
start_standin tool
start_standin kv
engine=$(cat "$work/engine.address") tool=$(cat "$work/tool.address") kv=$(cat "$work/kv.address")
caller=127.0.0.1:18080 operator=127.0.0.1:18081

"$bin/basilpointd" --listen $caller --operator-listen $operator --key-value "$kv" >"$work/daemon.log" 2>&1 &
daemon=$!
pids+=("$daemon")

cat >"$work/annex.yaml" <<YAML
environment: annex
operator: societies
models:
  - name: statements
    replicas: ["$engine"]
tools:
  - name: payout
    idempotent: false
    addresses: ["$tool"]
YAML
"$bin/basilpoint" --key-value "$kv" env apply "$work/annex.yaml"
until curl -sf "http://$operator/debug/state" | grep -q annex; do sleep 0.05; done

call() { curl -sS --fail-with-body "$@"; echo; }
field() { grep -o "\"$1\":\"[^\"]*\"" | head -1 | cut -d'"' -f4; }
echo "== open a program"
opened=$(call -X POST "http://$caller/v1/programs" -d '{"environment":"annex","budgetTokens":20000}')
echo "$opened"
program=$(field id <<<"$opened")
echo "== streamed model call"
call -N "http://$caller/v1/chat/completions" -H "Basilpoint-Program: $program" \
    -d '{"model":"statements","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"Which split is open?"}]}'
echo "== non-idempotent tool call, sent twice with the same key"
for _ in 1 2; do
    call "http://$caller/v1/programs/$program/tools/payout" -H "Idempotency-Key: pay-1" -d '{"amount":12}'
done
echo "== effects at the tool"
effects=$(call "http://$tool/effects")
echo "$effects"
echo "== second model call; the daemon adds the program's history"
call "http://$caller/v1/chat/completions" -H "Basilpoint-Program: $program" \
    -d '{"model":"statements","max_tokens":4,"messages":[{"role":"user","content":"And the payout?"}]}'
echo "== close"
call -X DELETE "http://$caller/v1/programs/$program"
kill -TERM "$daemon"
wait "$daemon"
[ "$effects" = '{"pay-1":1}' ] || { echo "demo failed: the payout did not take effect exactly once"; exit 1; }
echo "demo passed: the payout took effect once, both turns completed in order, the daemon stopped cleanly"
