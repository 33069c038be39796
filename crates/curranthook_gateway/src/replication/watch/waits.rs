//! How long calls wait for changes, and how long a node pauses after a change or a failure.

use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use rand::RngExt;

use super::{Origin, Role};
use crate::{replication::relays, store::Table};

/// How long a long poll of the operators' rows waits for a change in a fleet without relays. The
/// call also detects that the store is unavailable, so the wait is short. A call whose answer is lost
/// hangs for this and a margin, and the next one must still read a configuration within two seconds.
const OPERATOR_POLL_WAIT: Duration = Duration::from_millis(1_400);
/// How long a long poll of other rows waits in a fleet without relays. The store charges for each
/// call, so the wait is long.
const POLL_WAIT: Duration = Duration::from_secs(15);
/// How long a long poll of the operators' rows waits in a fleet with relays, at the store or at a
/// parent. The answer also determines the age of the rows of all tables, so the wait is short.
const RELAYED_OPERATOR_POLL_WAIT: Duration = Duration::from_millis(700);
/// How long a long poll of other rows waits in a fleet with relays. A call whose answer is lost
/// hangs for that long.
const RELAYED_POLL_WAIT: Duration = Duration::from_secs(5);
/// The pause after a change of endpoint or fleet rows, per node of a fleet without relays. Such
/// rows change in quick succession: when many endpoints start, each waiting call would be answered
/// once per endpoint. With the pause, all nodes together make at most 80 calls per second for a
/// table.
const CHANGE_PAUSE_PER_NODE: Duration = Duration::from_millis(12);
/// The minimum and maximum of that pause. The maximum is half of the time within which a leaving
/// endpoint must stop getting new requests.
const CHANGE_PAUSE_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(1));
/// The pause at a root after a change of endpoint rows.
const ROOT_CHANGE_PAUSE: Duration = Duration::from_millis(250);
/// The pause at a root after a change of fleet rows, which are not subject to a time limit.
const ROOT_FLEET_CHANGE_PAUSE: Duration = Duration::from_millis(500);
/// The pause after a change that a node received from a parent. A relay on a weak link that
/// answered its children more often while many endpoints are replaced would have no capacity left
/// for its own callers.
const CHILD_CHANGE_PAUSE: Duration = Duration::from_millis(400);
/// The pause after the first failure; doubles with each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(150);
/// The maximum pause between calls to an unavailable store.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// The maximum pause for a node without a configuration, which cannot serve any requests.
const MAX_BACKOFF_NO_CONFIGURATION: Duration = Duration::from_millis(300);

/// How long a call to the store waits for changes of a table.
pub(super) fn poll(role: Role, table: Table) -> Duration {
    match (role, table) {
        (Role::Single, Table::Operator) => OPERATOR_POLL_WAIT,
        (Role::Single, _) => POLL_WAIT,
        _ => relayed_poll(table),
    }
}

/// The same in a fleet with relays, also for a call to a parent.
pub(super) fn relayed_poll(table: Table) -> Duration {
    match table {
        Table::Operator => RELAYED_OPERATOR_POLL_WAIT,
        _ => RELAYED_POLL_WAIT,
    }
}

/// The pause after a change of a table in a fleet of `n_nodes`.
pub(super) fn after_change(origin: Origin, table: Table, n_nodes: usize) -> Duration {
    match (origin, table) {
        (Origin::Parent(_), _) => CHILD_CHANGE_PAUSE,
        (_, Table::Fleet) if relays::are_used(n_nodes) => ROOT_FLEET_CHANGE_PAUSE,
        _ if relays::are_used(n_nodes) => ROOT_CHANGE_PAUSE,
        _ => {
            let n_nodes = u32::try_from(n_nodes).unwrap_or(u32::MAX);
            CHANGE_PAUSE_PER_NODE
                .saturating_mul(n_nodes)
                .clamp(CHANGE_PAUSE_BOUNDS.0, CHANGE_PAUSE_BOUNDS.1)
        }
    }
}

/// The pause after a number of `failures` in a row, at a node that has rows of the table or not.
pub(super) fn after_failures(failures: u32, has_rows: bool) -> Duration {
    let max = if has_rows { MAX_BACKOFF } else { MAX_BACKOFF_NO_CONFIGURATION };
    (FIRST_BACKOFF * 2_u32.saturating_pow(failures.clamp(1, 6) - 1)).min(max)
}

/// Pauses for about `pause`, or until `event` completes.
pub(super) async fn pause_or(event: impl Future<Output = ()>, pause: Duration) {
    future::or(event, async {
        Timer::after(jitter(pause)).await;
    })
    .await;
}

/// Randomizes a pause. Nodes that all paused for the same time would call the store at the same
/// moment, be rejected for overload, and pause for the same time again.
pub(super) fn jitter(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.6..1.4))
}
