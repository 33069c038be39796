//! What a node is told about itself and about the bounds that it must keep.

use std::{net::SocketAddr, time::Duration};

use curranthook_types::domain;

use crate::retry_budget;

/// A node's settings.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Its name, unique in the fleet.
    pub node: String,
    /// Its failure domain.
    pub domain: domain::Id,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether it's ready.
    pub readiness: SocketAddr,
    /// Where other nodes connect.
    pub peers: Option<SocketAddr>,
    /// Where other nodes send their load reports, by UDP.
    pub reports: Option<SocketAddr>,
    /// How much it can carry beside its own callers, in Mbit/s of its link; nodes with more of it
    /// read the store for the others.
    pub capacity: f64,
    /// Where its counters are served.
    pub metrics: Option<SocketAddr>,
    /// Some other nodes, for a start while the store is away. They may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// Bound on repeats.
    pub retries: retry_budget::Limit,
    /// The largest share of a service's requests that a bad version may get during its roll-out.
    pub max_exposure: f64,
    /// Whether the whole fleet starts for the first time, so that no node has written its address yet.
    pub is_first_start: bool,
    /// The time from the signal to stop until the process is killed.
    pub grace: Duration,
}
