//! Intervals and switches that only tests and measurements change.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use crate::transport::Transport;

/// The default of [`Tuning::owner_timeout`]. It must exceed the longest time between two messages
/// of a live owner. An owner that holds lines sends a heartbeat after each flush. While the object
/// store is down, that takes a put that times out, two pauses and a call, 5.2 s at most. With a
/// shorter timeout all replicas would try to store the lines of live owners and make an outage
/// worse.
const OWNER_TIMEOUT: Duration = Duration::from_secs(6);

/// Whose observations of reachability a node acts on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Trust {
    /// Only calls of the node itself count.
    #[default]
    Own,
    /// A peer's report that another is unreachable counts as much as a failed call of the node
    /// itself. Retained for comparison with [`Trust::Own`]; it removes peers that are up.
    Others,
}

/// A mechanism that distributes the configuration to all nodes. Each can be disabled to measure its
/// effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mechanism {
    /// Peers compare epochs in each exchange, and the one with the older epoch gets the newer.
    PushPull,
    /// A node that read a new epoch from the table announces it to a few peers at once.
    Announcement,
    /// Between nearby epochs a delta is sent instead of the full document.
    Delta,
}

/// Behaviour of a node that its settings don't determine.
#[derive(Debug, Clone)]
pub struct Tuning {
    /// Whose observations of reachability the node acts on.
    pub trust: Trust,
    /// The time between exchanges.
    pub exchange_interval: Duration,
    /// The shortest time between reads of the platform's table.
    pub poll_interval: Duration,
    /// The shortest time between flushes of the journal to the object store.
    pub flush_interval: Duration,
    /// How long the replicas of a bill line wait for a message from its owner before they store it.
    pub owner_timeout: Duration,
    /// Mechanisms of configuration distribution that are disabled.
    pub disabled: BTreeSet<Mechanism>,
    /// The transport to peers; HTTP if not set.
    pub transport: Option<Arc<dyn Transport>>,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            trust: Trust::Own,
            exchange_interval: Duration::from_secs(1),
            poll_interval: Duration::from_secs(1),
            flush_interval: Duration::from_secs(1),
            owner_timeout: OWNER_TIMEOUT,
            disabled: BTreeSet::new(),
            transport: None,
        }
    }
}
