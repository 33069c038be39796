//! Distributes the rate limits that endpoints report to all nodes, by gossip in a large fleet.

use std::{net::SocketAddr, time::Duration};

use curranthook_types::endpoint;
use parking_lot::Mutex;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::{Message, Socket, datagram};
use crate::{Gateway, event::Event, load::owners, rate_limit};

/// The maximum number of limits in a datagram.
const MAX_LIMITS_PER_DATAGRAM: usize = 16;
/// The maximum number of limits queued for sending. A node that misses a limit learns of it from
/// the endpoint, when it holds a permit in a later rotation.
const MAX_LIMITS_QUEUED: usize = 256;

/// The number of random nodes to which a node of a large fleet forwards a limit. Each of them does
/// the same, so that a limit reaches nearly all nodes of a fleet of thousands within a few rounds.
const GOSSIP_FANOUT: usize = 8;

/// An endpoint's report about its rate limit, as sent between nodes.
#[serde_as]
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Limit {
    endpoint: endpoint::Id,
    /// The requests per second that the endpoint accepts; none if it reports no limit.
    rate: Option<f64>,
    /// When the endpoint made the report, by the store's clock.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    at: Duration,
}

/// Limits that have been received and not been forwarded yet.
#[derive(Debug, Default)]
pub(super) struct Queue(Mutex<Vec<Limit>>);

impl Queue {
    /// Adds an endpoint's report, in place of an earlier one. Drops it if the queue is full.
    pub(super) fn push(&self, endpoint: &endpoint::Id, notice: rate_limit::Notice) {
        let rate_limit::Notice { rate, at } = notice;
        let mut limits = self.0.lock();
        limits.retain(|it| it.endpoint != *endpoint);
        if limits.len() < MAX_LIMITS_QUEUED {
            limits.push(Limit { endpoint: endpoint.clone(), rate, at });
        }
    }

    /// Removes and returns up to `n` limits, the oldest first.
    fn take(&self, n: usize) -> Vec<Limit> {
        let mut limits = self.0.lock();
        let n = limits.len().min(n);
        limits.drain(..n).collect()
    }

    /// Whether the queue is empty.
    pub(super) fn is_empty(&self) -> bool {
        self.0.lock().is_empty()
    }
}

/// Applies a limit received from another node, and forwards it if it changes the known rate.
pub(super) fn receive(gateway: &Gateway, reports: &Socket, limit: &Limit) {
    let notice = rate_limit::Notice { rate: limit.rate, at: limit.at };
    if !gateway.directory.lock().apply_reported_limit(&limit.endpoint, &notice) {
        return;
    }
    let endpoint = limit.endpoint.as_str();
    gateway.log.write(&Event::RateLimit { endpoint, rate: limit.rate, from: "peer" });
    // In a small fleet, the node that received the limit from the endpoint sent it to all others.
    if owners::are_used(gateway.n_nodes()) {
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
    let bytes = datagram(Message::Limits { limits });
    for addr in gossip_targets(gateway) {
        reports.send_bytes(&bytes, addr).await;
    }
}

/// The nodes to which this node sends what all are to know: all others in a small fleet, and a few
/// random ones in a large fleet.
pub(super) fn gossip_targets(gateway: &Gateway) -> Vec<SocketAddr> {
    let own_addr = gateway.settings.reports;
    let peers = gateway.peers.lock();
    let others = peers.values().filter_map(|it| it.reports).filter(|it| Some(*it) != own_addr);
    match owners::are_used(peers.len()) {
        true => others.sample(&mut rand::rng(), GOSSIP_FANOUT),
        false => others.collect(),
    }
}
