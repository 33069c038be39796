//! An endpoint as listed by the platform.

use std::{net::SocketAddr, time::Duration};

use curranthook_types::{domain, endpoint};

/// An endpoint's entry in the platform's list. Each start of an endpoint creates a new entry,
/// usually with a new id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The endpoint's id.
    pub id: endpoint::Id,
    /// The service that the endpoint belongs to.
    pub service: String,
    /// The address that the endpoint listens at. Another endpoint may use the same address after
    /// this one has ended.
    pub addr: SocketAddr,
    /// The failure domain of the endpoint.
    pub domain: domain::Id,
    /// The version of the endpoint's software.
    pub version: String,
    /// The number of requests that the endpoint can run at once.
    pub slots: u32,
    /// Whether the endpoint accepts new work.
    pub state: State,
    /// The remaining time of the slow start that follows the endpoint's start.
    pub slow_start: Duration,
    /// When the endpoint started, in milliseconds of the wall clock; distinguishes incarnations
    /// with the same id.
    pub started_ms: Option<u64>,
}

/// Whether an endpoint accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// The endpoint accepts new work.
    Ready,
    /// The endpoint is shutting down and accepts no new work.
    Leaving,
}
