//! An endpoint as the platform's list has it.

use std::{net::SocketAddr, time::Duration};

use curranthook_types::{domain, endpoint};

/// An endpoint. Each start of one is a new entry, mostly under a new id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Its id.
    pub id: endpoint::Id,
    /// The service it belongs to.
    pub service: String,
    /// Where it listens. Another endpoint may have the address once this one is gone.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: domain::Id,
    /// The version of its software.
    pub version: String,
    /// How many requests it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// How long it stays slow after its start.
    pub slow_start: Duration,
    /// When it started, in milliseconds of the wall clock; tells incarnations of one id apart.
    pub started_ms: Option<u64>,
}

/// Whether an endpoint takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It does.
    Ready,
    /// It is leaving.
    Leaving,
}
