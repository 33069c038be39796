//! What endpoints stated of the rejections that they bear, as found by a node that starts.

#[path = "support/node.rs"]
#[allow(dead_code, reason = "each test uses a part")]
mod node;

use std::{sync::Arc, time::Duration};

use curranthook_gateway::settings::Contention;
use yare::parameterized;

use self::node::{FleetTable, TestNode, announce};

/// Guards against a fleet that forgets with a restart that endpoints are brittle, and against one
/// that takes them for brittle long after.
#[parameterized(
    recent = { br#"{"max_rejections":4.0,"since_ms":90000,"at_ms":995000}"#, true },
    old = { br#"{"max_rejections":4.0,"since_ms":90000,"at_ms":100000}"#, false },
    none = { br#"{"max_rejections":0.0,"since_ms":90000,"at_ms":995000}"#, false },
    malformed = { br#"{"max_rejections":"4","since_ms":90000,"at_ms":995000}"#, false },
)]
fn stored_statement_counts_for_some_minutes(value: &[u8], is_brittle: bool) {
    let table = Arc::new(FleetTable::default());
    announce(&table, "n-1");
    table.put("brittle/engines", value);
    let node = TestNode::start("n-1", Contention::Ignored, &table);
    node.read(&table, Some(Duration::from_secs(1_000)));
    let now = node.gateway.now();
    assert_eq!(node.gateway.directory.lock().is_brittle("engines", now), is_brittle);
    assert!(!node.gateway.directory.lock().is_brittleness_spreading("engines", now));
}

/// Guards against a row that is read again and keeps endpoints brittle that no longer are.
#[test]
fn stored_statement_counts_once() {
    let table = Arc::new(FleetTable::default());
    announce(&table, "n-1");
    let node = TestNode::start("n-1", Contention::Ignored, &table);
    for value in [
        r#"{"max_rejections":4.0,"since_ms":90000,"at_ms":995000}"#,
        r#"{"max_rejections":3.0,"since_ms":90000,"at_ms":995000}"#,
    ] {
        table.put("brittle/engines", value.as_bytes());
        node.read(&table, Some(Duration::from_secs(1_000)));
    }
    let directory = node.gateway.directory.lock();
    let known: Vec<_> = directory.statements(node.gateway.now()).collect();
    assert_eq!(known.iter().map(|(_, it)| it.max_rejections).collect::<Vec<_>>(), [4.0]);
}
