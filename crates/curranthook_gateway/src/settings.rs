//! The settings of a node.

use std::{net::SocketAddr, time::Duration};

use curranthook_types::domain;

use crate::retry_budget;

/// A node's settings.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The node's name, unique in the fleet.
    pub node: String,
    /// The node's failure domain.
    pub domain: domain::Id,
    /// The address for callers' requests.
    pub callers: SocketAddr,
    /// The address for the load balancer's readiness checks.
    pub readiness: SocketAddr,
    /// The address for queries for rows from other nodes.
    pub peers: Option<SocketAddr>,
    /// The UDP address for load reports from other nodes.
    pub reports: Option<SocketAddr>,
    /// The part of the node's link that is available for traffic other than its own callers', in
    /// Mbit/s. Nodes with a larger capacity read the store for the others.
    pub capacity: f64,
    /// The memory of the node's VM, in bytes; none if unknown.
    pub memory: Option<usize>,
    /// The number of descriptors that the process may have open; none if unknown.
    pub max_descriptors: Option<usize>,
    /// The address for metrics.
    pub metrics: Option<SocketAddr>,
    /// The addresses of some other nodes, for a start while the store is unavailable. The list may
    /// be out of date.
    pub seeds: Vec<SocketAddr>,
    /// Whether decisions consider how requests of different ranks compete for capacity.
    pub contention: Contention,
    /// The retry budget's limit.
    pub retries: retry_budget::Limit,
    /// The maximum share of a service's requests that a bad version may receive during its rollout.
    pub max_exposure: f64,
    /// The number of requests that it may receive beyond that share; none if unknown.
    pub exposure_slack: Option<f64>,
    /// Whether the whole fleet starts for the first time, so that no node has written its address
    /// yet.
    pub is_first_start: bool,
    /// The time from the signal to stop until the process is killed.
    pub grace: Duration,
}

/// Whether decisions consider how requests of different ranks compete for capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Contention {
    /// Each request is weighed by its own forecast only.
    Ignored,
    /// Decisions weigh a request's rank and work against those of the requests that it competes
    /// with.
    ByRank,
}
