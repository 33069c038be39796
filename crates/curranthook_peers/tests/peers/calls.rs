//! Who may call.

use curranthook_peers::auth::Key;
use curranthook_types::{Clock, clock};
use yare::parameterized;

use crate::support::{self, Fleet};

const CALL: &[u8] = br#"{"jsonrpc":"2.0","id":0,"method":"evidence","params":[null]}"#;

/// Someone on the network makes a call without the key, or records one and sends it again later.
/// Were it taken, they could withdraw trust in versions or bring forged bill lines.
#[parameterized(
    right = { KEY_RIGHT, 0, 200 },
    forged = { b"another key", 0, 403 },
    old = { KEY_RIGHT, 31_000, 403 },
)]
fn only_fresh_calls_with_the_key_are_answered(key: &[u8], age_millis: u64, status: u16) {
    async_io::block_on(async {
        let fleet = Fleet::new();
        let node = fleet.node(0, 1);
        let time = (clock::System.unix_millis() - age_millis).to_string();
        let mac = Key::new(key).sign(&time, CALL);
        let res = support::post(&node, &time, &mac, CALL.into()).await;
        assert_eq!(res.status().as_u16(), status);
        let n_rejected =
            node.status().counters["rejected_mac"] + node.status().counters["rejected_time"];
        assert_eq!(n_rejected, u64::from(status != 200));
    });
}

const KEY_RIGHT: &[u8] = support::KEY;

/// A call is changed on its way, or is no JSON-RPC at all. A node must neither act on it nor fall.
#[test]
fn a_changed_or_senseless_call_is_refused() {
    async_io::block_on(async {
        let fleet = Fleet::new();
        let node = fleet.node(0, 1);
        let time = clock::System.unix_millis().to_string();
        let mac = Key::new(support::KEY).sign(&time, CALL);
        let changed = support::post(&node, &time, &mac, (&b"{}"[..]).into()).await;
        assert_eq!(changed.status(), 403);
        let mac = Key::new(support::KEY).sign(&time, b"{}");
        let senseless = support::post(&node, &time, &mac, (&b"{}"[..]).into()).await;
        assert_eq!(senseless.status(), 400);
    });
}
