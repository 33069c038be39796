#!/usr/bin/env bash
# Starts stand-ins, two routers and a steward on this machine, publishes a configuration, sends
# a few requests and shows what came of them. Stops all it started, unless called with --keep.
set -euo pipefail
cd "$(dirname "$0")/.."

keep=no
case "${1:-}" in
--keep) keep=yes ;;
"") ;;
*)
    echo "usage: scripts/demo.sh [--keep]" >&2
    exit 2
    ;;
esac

cargo build --quiet --workspace --bins --locked
bin="$PWD/target/debug"
. scripts/processes.sh

say() { printf '\n== %s\n' "$*"; }

say "Stand-ins: the platform, two engines, a crate ledger, the rating service"
cat >"$dir/cheap.yaml" <<'Y'
versions: { "tally-llm@1": { quality: 0.5 } }
Y
cat >"$dir/good.yaml" <<'Y'
versions: { "tally-llm@2": { quality: 1.0 } }
Y
start platform standin-platform --listen 127.0.0.1:0
start tally-1 standin-engine --listen 127.0.0.1:0 --id tally-1 --versions tally-llm@1 --profile "$dir/cheap.yaml"
start tally-2 standin-engine --listen 127.0.0.1:0 --id tally-2 --versions tally-llm@2 --profile "$dir/good.yaml"
start ledger-1 standin-service --listen 127.0.0.1:0 --id ledger-1
start rater standin-rater --listen 127.0.0.1:0
platform=$(address platform http)

say "The configuration: checked and published"
key_hash=$(printf 'demo-key' | "$bin/curranthook" accounts hash-key | tail -1)
cat >"$dir/base.yaml" <<Y
versions:
  tally-llm@1:
    price: { prompt: 100, completion: 400 }
    quality: { summary: 0.6 }
  tally-llm@2:
    price: { prompt: 1000, completion: 4000 }
    quality: { summary: 0.97 }
services:
  crate-ledger: { repeatable: [GET], price: 50 }
endpoints:
  tally-1: { address: "$(address tally-1 http)", failure_domain: vn-south-a, versions: [tally-llm@1] }
  tally-2: { address: "$(address tally-2 http)", failure_domain: vn-south-b, versions: [tally-llm@2] }
  ledger-1: { address: "$(address ledger-1 http)", failure_domain: vn-south-a, service: crate-ledger }
accounts:
  auction-yard:
    key_hashes: ["$key_hash"]
    versions: [tally-llm@1, tally-llm@2]
    services: [crate-ledger]
kinds:
  summary: { quality: 0.9 }
rater: "$(address rater http)"
session_keys: [{ id: k1, secret: 00112233445566778899aabbccddeeff }]
Y
cat >"$dir/site.yaml" <<'Y'
site: vn-south
policy: { rating_sample: 0.5 }
Y
"$bin/curranthook" check "$dir/base.yaml" --overlay "$dir/site.yaml" >/dev/null
"$bin/curranthook" --platform "$platform" --by demo publish "$dir/base.yaml" --overlay "$dir/site.yaml"

say "Two routers and a steward"
for n in 1 2; do
    cat >"$dir/node-$n.yaml" <<Y
vm: entry-$n
site: vn-south
failure_domain: vn-south-$n
listen: 127.0.0.1:0
peer_listen: 127.0.0.1:0
steward_listen: 127.0.0.1:0
platform: { table: "$platform", objects: "$platform", vms: "$platform" }
seeds: [$([ "$n" = 2 ] && printf '"%s"' "$(address router-1 peers)")]
peer_key: 00112233445566778899aabbccddeeff
Y
    start "router-$n" curranthook-router --settings "$dir/node-$n.yaml"
done
vm() { printf '{"id":"entry-%s","address":"%s","failure_domain":"vn-south-%s","state":"live"}' "$1" "$(address "router-$1" peers)" "$1"; }
curl -sf -X PUT -d "[$(vm 1),$(vm 2)]" "http://$platform/control/vms" >/dev/null
start steward-1 curranthook-steward --settings "$dir/node-1.yaml" --router "$(address router-1 peers)"
router_1=$(address router-1 callers)
router_2=$(address router-2 callers)
for router in "$router_1" "$router_2"; do
    for _ in $(seq 200); do
        curl -sf "http://$router/readyz" >/dev/null && break
        sleep 0.05
    done
done

ask() {
    local router=$1 body=$2
    shift 2
    curl -sf -H 'authorization: Bearer demo-key' -H 'content-type: application/json' "$@" \
        -d "$body" "http://$router/v1/chat/completions"
}

say "A streamed herd weight summary"
ask "$router_1" '{"model":"tally-llm@2","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"herd weights of pen 4"}]}'

say "Summaries at the quality wanted: cheap first, escalated where the rating is low"
for n in 1 2 3 4 5 6; do
    ask "$router_1" '{"model":"auto","max_tokens":4,"messages":[{"role":"user","content":"crate log '"$n"'"}]}' \
        -H 'x-curranthook-kind: summary' -o "$dir/answer" -w '%header{x-curranthook-version}  '
    sed -E 's/.*"content":"([^"]*)".*/\1/' "$dir/answer"
    echo
done

say "A crate posting, and its replay over the other router"
for router in "$router_1" "$router_2"; do
    for _ in $(seq 50); do
        # Until the first outcome is stored, a repeat is told that the call is under way.
        curl -s -H 'authorization: Bearer demo-key' -H 'idempotency-key: crate-7' \
            -d '{"crate":7,"weight":412}' -o "$dir/answer" -w '%{http_code}' \
            "http://$router/services/crate-ledger/postings" >"$dir/status"
        [ "$(cat "$dir/status")" = 200 ] && break
        sleep 0.1
    done
    cat "$dir/answer"
    echo
done
echo "runs at the ledger: $(curl -sf "http://$(address ledger-1 http)/control/record" | grep -o '"idempotency_key"\|"method":"POST"' | grep -c POST)"

say "Bill lines"
sleep 2
"$bin/curranthook" --platform "$platform" bills

say "Status and counters"
"$bin/curranthook" status "$router_1" "$router_2"
curl -sf "http://$router_1/status" | sed -E 's/.*"counters":(\{[^}]*\}),"peers".*/\1/'
echo

if [ "$keep" = yes ]; then
    say "Left running; press Ctrl-C to stop. For example:"
    echo "curl -H 'authorization: Bearer demo-key' -d '{\"model\":\"auto\",\"messages\":[{\"role\":\"user\",\"content\":\"pen 4\"}]}' http://$router_1/v1/chat/completions"
    echo "curl http://$router_2/status"
    echo "$bin/curranthook --platform $platform withdraw tally-llm@1"
    wait
fi
say "Done"
