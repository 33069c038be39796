//! Authentication of calls between peers.

use curranthook_peers::auth::Key;
use curranthook_types::{Clock, clock};
use yare::parameterized;

use crate::support::{self, Fleet};

const REQUEST: &[u8] = br#"{"jsonrpc":"2.0","id":0,"method":"evidence","params":[null]}"#;

/// An attacker on the network makes a call without the key, or records a call and replays it later.
/// If it were accepted, the attacker could mark versions as suspect or add forged bill lines.
#[parameterized(
    valid = { VALID_KEY, 0, 200 },
    wrong_key = { b"another key", 0, 403 },
    expired = { VALID_KEY, 31_000, 403 },
)]
fn only_recent_calls_signed_with_the_key_are_answered(key: &[u8], age_millis: u64, status: u16) {
    async_io::block_on(async {
        let fleet = Fleet::new();
        let node = fleet.node(0, 1);
        let time = (clock::System.unix_millis() - age_millis).to_string();
        let mac = Key::new(key).sign(&time, REQUEST);
        let res = support::post(&node, &time, &mac, REQUEST.into()).await;
        assert_eq!(res.status().as_u16(), status);
        let n_rejected =
            node.status().counters["rejected_mac"] + node.status().counters["rejected_time"];
        assert_eq!(n_rejected, u64::from(status != 200));
    });
}

const VALID_KEY: &[u8] = support::PEER_KEY;

/// A call is altered in transit, or isn't valid JSON-RPC. The node must neither execute it nor
/// crash.
#[test]
fn an_altered_or_malformed_call_is_rejected() {
    async_io::block_on(async {
        let fleet = Fleet::new();
        let node = fleet.node(0, 1);
        let time = clock::System.unix_millis().to_string();
        let mac = Key::new(support::PEER_KEY).sign(&time, REQUEST);
        let altered = support::post(&node, &time, &mac, (&b"{}"[..]).into()).await;
        assert_eq!(altered.status(), 403);
        let mac = Key::new(support::PEER_KEY).sign(&time, b"{}");
        let malformed = support::post(&node, &time, &mac, (&b"{}"[..]).into()).await;
        assert_eq!(malformed.status(), 400);
    });
}
