#!/usr/bin/env bash
# Measures what one router adds: latency at 1,000 requests a second against the same calls sent
# straight to the engine stand-in, throughput on four threads, and memory with 5,000 streams open.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${SECONDS_EACH:-10}
cargo build --quiet --release --workspace --bins --locked
bin="$PWD/target/release"
. scripts/processes.sh
memory() { awk '/VmRSS/ {print $2 " kB"}' "/proc/$1/status"; }

cat >"$dir/fast.yaml" <<'Y'
slots: 100000
versions: { "m@1": { first_token_ms: 0, token_ms: 0, tokens: 4 } }
Y
cat >"$dir/slow.yaml" <<'Y'
slots: 100000
batch_slowdown: 0
versions: { "m@2": { first_token_ms: 50, token_ms: 250, tokens: 60 } }
Y
start platform standin-platform --listen 127.0.0.1:0
start fast standin-engine --listen 127.0.0.1:0 --id fast --versions m@1 --profile "$dir/fast.yaml" --no-record
start slow standin-engine --listen 127.0.0.1:0 --id slow --versions m@2 --profile "$dir/slow.yaml" --no-record
platform=$(address platform http)
hash=$(printf 'key-load' | "$bin/curranthook" accounts hash-key | tail -1)
cat >"$dir/base.yaml" <<Y
versions:
  m@1: { price: { prompt: 1, completion: 1 }, quality: { summary: 0.95 } }
  m@2: { price: { prompt: 1, completion: 1 }, quality: { summary: 0.95 } }
endpoints:
  fast: { address: "$(address fast http)", failure_domain: a, versions: [m@1], slots: 100000 }
  slow: { address: "$(address slow http)", failure_domain: a, versions: [m@2], slots: 100000 }
accounts:
  load:
    key_hashes: ["$hash"]
    versions: [m@1, m@2]
    limit: { requests: 1000000, burst: 1000000 }
kinds: { summary: { quality: 0.9 } }
session_keys: [{ id: k1, secret: 00112233445566778899aabbccddeeff }]
Y
printf 'site: s\npolicy: { rating_sample: 0 }\n' >"$dir/site.yaml"
"$bin/curranthook" --platform "$platform" --by measure publish "$dir/base.yaml" --overlay "$dir/site.yaml" >/dev/null
for n in 1 2 3; do
    cat >"$dir/node-$n.yaml" <<Y
vm: entry-$n
site: s
failure_domain: domain-$n
listen: 127.0.0.1:0
peer_listen: 127.0.0.1:0
steward_listen: 127.0.0.1:0
platform: { table: "$platform", objects: "$platform", vms: "$platform" }
seeds: [$([ "$n" = 1 ] || printf '"%s"' "$(address router-1 peers)")]
peer_key: 00112233445566778899aabbccddeeff
threads: 4
Y
    start "router-$n" curranthook-router --settings "$dir/node-$n.yaml"
done
sleep 3
router=$(address router-1 callers)
router_pid=${pids[3]}
load() { "$bin/curranthook-load" --threads 4 direct --seconds "$seconds" "$@"; }

echo "== straight to the engine, 1,000 a second"
load --target "$(address fast http)" --model m@1 --rate 1000
echo "== through the router, 1,000 a second"
load --target "$router" --model m@1 --rate 1000
echo "== through the router, as fast as it goes, 64 connections"
load --target "$router" --model m@1 --closed --connections 64
echo "== straight to the engine, as fast as it goes, 64 connections"
load --target "$(address fast http)" --model m@1 --closed --connections 64
echo "== 5,000 streams"
echo "memory of the router before: $(memory "$router_pid")"
"$bin/curranthook-load" --threads 4 streams --target "$router" --model m@2 --open 5000 >"$dir/streams" &
load_pid=$!
sleep 10
echo "memory of the router with the streams open: $(memory "$router_pid")"
wait "$load_pid" || true
cat "$dir/streams"
curl -sf "http://$router/status" | sed -E 's/.*"counters":(\{[^}]*\}),"peers".*/\1/'
echo
