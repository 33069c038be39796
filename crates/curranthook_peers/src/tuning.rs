//! Numbers and switches that tests and measurements change.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use crate::transport::Transport;

/// An owner with lines is heard of after each flush. With the store out that takes a put that
/// times out, two pauses and a call, 5.2 s at most; replicas that lose patience sooner would all
/// try to store its lines and make an outage worse.
const OWNER_TIMEOUT: Duration = Duration::from_secs(6);

/// Whose word on reachability a node takes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Trust {
    /// Only its own contact counts.
    #[default]
    Own,
    /// A peer's report that another can't be reached counts as much as its own failed call.
    /// Kept to be measured against [`Trust::Own`]; it removes peers that are up.
    Others,
}

/// A part of what brings a configuration to every node. Each can be left out, to measure what it
/// is worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mechanism {
    /// Exchanges compare epochs, and who has the older one gets the newer.
    PushPull,
    /// Who has a new epoch from the table tells a few peers at once.
    Announcement,
    /// Between near epochs the change travels, not the whole document.
    Delta,
}

/// How a node behaves where it isn't told by its settings.
#[derive(Debug, Clone)]
pub struct Tuning {
    /// Whose word on reachability it takes.
    pub trust: Trust,
    /// The time between exchanges.
    pub exchange_interval: Duration,
    /// The shortest time between reads of the table.
    pub poll_interval: Duration,
    /// The shortest time between puts of the journal.
    pub flush_interval: Duration,
    /// How long an owner may be silent before its replicas store its lines.
    pub owner_timeout: Duration,
    /// Parts of the spread of configurations that are left out.
    pub disabled: BTreeSet<Mechanism>,
    /// The way to peers; HTTP if not set.
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
