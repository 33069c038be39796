//! Rows of the fleet table that other builds of a node write.

#[path = "support/node.rs"]
#[allow(dead_code, reason = "each test uses a part")]
mod node;

use std::{sync::Arc, time::Duration};

use curranthook_gateway::settings::Contention;
use yare::parameterized;

use self::node::{FleetTable, TestNode, announce};

/// Nodes of different builds share the table. A row that only another build reads must not be taken
/// for a node, which would be sent queries, and must not cause a log line each time it is written.
#[parameterized(
    snapshot = { "snapshot/engines" },
    later_build = { "later/engines" },
    without_kind = { "later" },
)]
fn rows_of_other_builds_are_ignored(key: &str) {
    let table = Arc::new(FleetTable::default());
    announce(&table, "n-1");
    let node = TestNode::start("n-1", Contention::Ignored, &table);
    for value in [&b"{\"format\":1}"[..], b"not JSON", &[0xff; 20_000]] {
        table.put(key, value);
        node.read(&table, Some(Duration::from_secs(100)));
    }
    assert_eq!(node.gateway.peers.lock().keys().collect::<Vec<_>>(), ["n-1"]);
    assert!(node.lines("row_rejected").is_empty());
}
