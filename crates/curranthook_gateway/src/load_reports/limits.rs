//! How nodes pass on the rate limits that endpoints report.

use std::{net::SocketAddr, time::Duration};

use curranthook_types::endpoint;
use parking_lot::Mutex;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::{Message, Socket};
use crate::{Gateway, event::Event, load_owners, rate_limit};

/// The maximum number of limits in a datagram.
const MAX_LIMITS_PER_DATAGRAM: usize = 16;
/// The maximum number of limits queued for sending. A node that misses some learns of them when it
/// next sends requests to the endpoint in a later rotation of the permits.
const MAX_LIMITS_QUEUED: usize = 256;

/// The number of nodes to which a node of a large fleet passes on a limit. Each of them does the
/// same, so that nearly all nodes of a fleet of thousands have it within a few rounds.
const GOSSIP_FANOUT: usize = 8;

/// What an endpoint reported about its rate limit.
#[serde_as]
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Limit {
    endpoint: endpoint::Id,
    /// The requests per second that it accepts; none if it reports no limit.
    rate: Option<f64>,
    /// When it reported that, by the store's clock.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    at: Duration,
}

/// Limits that have been received and not yet passed on.
#[derive(Debug, Default)]
pub(super) struct Queue(Mutex<Vec<Limit>>);

impl Queue {
    /// Adds a report of an endpoint; replaces an earlier one.
    pub(super) fn push(&self, endpoint: &endpoint::Id, notice: rate_limit::Notice) {
        let rate_limit::Notice { rate, at } = notice;
        let mut all = self.0.lock();
        all.retain(|it| it.endpoint != *endpoint);
        if all.len() < MAX_LIMITS_QUEUED {
            all.push(Limit { endpoint: endpoint.clone(), rate, at });
        }
    }

    /// Removes and returns up to `n` limits, the oldest first.
    fn take(&self, n: usize) -> Vec<Limit> {
        let mut all = self.0.lock();
        let n = all.len().min(n);
        all.drain(..n).collect()
    }

    /// Whether the queue is empty.
    pub(super) fn is_empty(&self) -> bool {
        self.0.lock().is_empty()
    }
}

/// Applies a limit received from another node, and passes it on if it is new.
pub(super) fn receive(gateway: &Gateway, reports: &Socket, limit: &Limit) {
    let notice = rate_limit::Notice { rate: limit.rate, at: limit.at };
    if !gateway.directory.lock().apply_reported_limit(&limit.endpoint, &notice) {
        return;
    }
    let endpoint = limit.endpoint.as_str();
    gateway.log.write(&Event::RateLimit { endpoint, rate: limit.rate, from: "peer" });
    // In a small fleet, the node that received it from the endpoint sent it to all others.
    if load_owners::are_used(gateway.n_nodes()) {
        reports.queue_limit(&limit.endpoint, notice);
        gateway.pending_work_changed.wake();
    }
}

/// Sends queued limits to all other nodes in a small fleet, and to a few random ones in a large
/// fleet.
pub(super) async fn send(gateway: &Gateway, reports: &Socket) {
    let limits = reports.limits.take(MAX_LIMITS_PER_DATAGRAM);
    if limits.is_empty() {
        return;
    }
    let own = gateway.settings.reports;
    let others: Vec<SocketAddr> = {
        let peers = gateway.peers.lock();
        let others = peers.values().filter_map(|it| it.reports).filter(|it| Some(*it) != own);
        match load_owners::are_used(peers.len()) {
            true => others.sample(&mut rand::rng(), GOSSIP_FANOUT),
            false => others.collect(),
        }
    };
    let message = Message::Limits { limits };
    for addr in others {
        reports.send(&message, addr).await;
    }
}
