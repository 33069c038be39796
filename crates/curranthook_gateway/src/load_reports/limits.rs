//! How nodes tell each other of the limits that endpoints name.

use std::{net::SocketAddr, time::Duration};

use curranthook_types::endpoint;
use parking_lot::Mutex;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::{Message, Socket};
use crate::{Gateway, event::Event, load_owners, rate_limit};

/// How many limits fit into one datagram.
const MAX_LIMITS: usize = 16;
/// How many limits may wait to be told; a node that misses some hears of them at its next turn.
const MAX_LIMITS_QUEUED: usize = 256;

/// To how many nodes of a large fleet a node passes on what it hears of limits. Each of them does the same,
/// so that nearly all nodes of a fleet of thousands hear of it within a few rounds.
const LIMIT_FANOUT: usize = 8;

/// What an endpoint said of its limit.
#[serde_as]
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Limit {
    endpoint: endpoint::Id,
    /// The requests a second that it takes; none if it names no limit.
    rate: Option<f64>,
    /// When it said so, by the store's clock.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    at: Duration,
}

/// What a node heard of limits and hasn't told yet.
#[derive(Debug, Default)]
pub(super) struct Queue(Mutex<Vec<Limit>>);

impl Queue {
    /// Adds what an endpoint said, in place of what it said before.
    pub(super) fn push(&self, endpoint: &endpoint::Id, notice: rate_limit::Notice) {
        let rate_limit::Notice { rate, at } = notice;
        let mut all = self.0.lock();
        all.retain(|it| it.endpoint != *endpoint);
        if all.len() < MAX_LIMITS_QUEUED {
            all.push(Limit { endpoint: endpoint.clone(), rate, at });
        }
    }

    /// Takes the first `n`.
    fn take(&self, n: usize) -> Vec<Limit> {
        let mut all = self.0.lock();
        let n = all.len().min(n);
        all.drain(..n).collect()
    }

    /// Whether there are none.
    pub(super) fn is_empty(&self) -> bool {
        self.0.lock().is_empty()
    }
}

/// Takes in what another node heard of a limit, and passes it on if it's news.
pub(super) fn hear(gateway: &Gateway, reports: &Socket, limit: &Limit) {
    let notice = rate_limit::Notice { rate: limit.rate, at: limit.at };
    if !gateway.directory.lock().apply_reported_limit(&limit.endpoint, &notice) {
        return;
    }
    let endpoint = limit.endpoint.as_str();
    gateway.log.write(&Event::RateLimit { endpoint, rate: limit.rate, from: "peer" });
    // In a small fleet whoever heard it told all.
    if load_owners::are_used(gateway.n_nodes()) {
        reports.queue_limit(&limit.endpoint, notice);
        gateway.pending_work_changed.wake();
    }
}

/// Tells others what endpoints said of their limits: all of them in a small fleet, a few in a large one.
pub(super) async fn tell(gateway: &Gateway, reports: &Socket) {
    let limits = reports.limits.take(MAX_LIMITS);
    if limits.is_empty() {
        return;
    }
    let own = gateway.settings.reports;
    let others: Vec<SocketAddr> = {
        let peers = gateway.peers.lock();
        let others = peers.values().filter_map(|it| it.reports).filter(|it| Some(*it) != own);
        match load_owners::are_used(peers.len()) {
            true => others.sample(&mut rand::rng(), LIMIT_FANOUT),
            false => others.collect(),
        }
    };
    let message = Message::Limits { limits };
    for addr in others {
        reports.send(&message, addr).await;
    }
}
