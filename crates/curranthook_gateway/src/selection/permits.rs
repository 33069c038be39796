//! The permits of this node for endpoints that limit the requests of all nodes together, and those
//! that it may borrow.

use std::{
    cell::LazyCell,
    time::{Duration, Instant},
};

use curranthook_policy::hash;

use super::{Criteria, concentration::Concentration, eligible::is_preferred, room};
use crate::{
    Gateway,
    directory::{Directory, Permits, Tracked},
    load::{owners, reports::PeerState},
    permit::{self, lenders::Wanted},
    rate_limit, slow_start,
};

/// The number of endpoints that are considered when a permit is to be borrowed.
const MAX_WANTED: usize = 64;

/// Recomputes the rate at which this node may send requests to those endpoints of `service` whose
/// rate limit all nodes share.
pub fn renew_permits(gateway: &Gateway, directory: &mut Directory, service: &str, now: Instant) {
    let node_hashes = LazyCell::new(|| {
        let peers = gateway.peers.lock();
        peers.keys().map(|it| hash::bytes(it.as_bytes())).collect::<Vec<_>>()
    });
    let permits = FleetPermits {
        slow_start_rate: gateway.service(service, |it| it.slow_start_rate),
        rotation: rate_limit::rotation(gateway.store_time().unwrap_or_default()),
        is_large: owners::are_used(gateway.n_nodes()),
        node_hash: hash::bytes(gateway.settings.node.as_bytes()),
        node_hashes,
    };
    directory.renew_permits(service, &permits, now);
}

/// Divides the rates that endpoints grant to the whole fleet among its nodes.
struct FleetPermits<F> {
    slow_start_rate: Option<f64>,
    rotation: u64,
    /// Whether load owners count the requests at endpoints.
    is_large: bool,
    /// The hash of this node's name.
    node_hash: u64,
    /// The hashes of all nodes' names.
    node_hashes: LazyCell<Vec<u64>, F>,
}

impl<F: FnOnce() -> Vec<u64>> Permits for FleetPermits<F> {
    fn slow_start(&self, endpoint: u64) -> Option<Duration> {
        match self.slow_start_rate {
            Some(rate) => permit::interval(
                slow_start::granted(rate),
                endpoint,
                self.node_hash,
                &self.node_hashes,
            ),
            None => Some(Duration::ZERO),
        }
    }

    fn rate_limited(&self, endpoint: u64, rate: f64) -> Option<Duration> {
        rate_limit::interval(rate, endpoint, self.rotation, self.node_hash, &self.node_hashes)
    }

    fn rank(&self, endpoint: u64) -> (u32, u32) {
        if self.is_large {
            return (0, 1);
        }
        let weight = |node: u64| hash::pair(hash::pair(endpoint, self.rotation), node);
        let own = weight(self.node_hash);
        let rank = self.node_hashes.iter().filter(|it| own < weight(**it)).count();
        let n_nodes = self.node_hashes.len().max(1);
        (u32::try_from(rank).unwrap_or(u32::MAX), u32::try_from(n_nodes).unwrap_or(u32::MAX))
    }

    fn rotation(&self) -> u64 {
        self.rotation
    }
}

/// The endpoints to which the request could be sent under permits that this node lacks now, at most
/// `MAX_WANTED`, beginning at a different one for each request. `peer_state` tells which of them are
/// full.
pub fn wanted_permits(
    gateway: &Gateway,
    criteria: &Criteria<'_>,
    peer_state: &PeerState,
) -> Vec<Wanted> {
    let now = gateway.now();
    let slow_start_rate = gateway.service(criteria.service, |it| it.slow_start_rate);
    let rotation = rate_limit::rotation(gateway.store_time().unwrap_or_default());
    let directory = gateway.directory.lock();
    let ready: Vec<&Tracked> = directory.ready(criteria.service).collect();
    let concentration = Concentration::new(&ready, criteria.rule, now);
    let is_lacking = |it: &&&Tracked| {
        // An attempt without known room is likely to be rejected, after which it can't be repeated.
        let is_attempt_excluded = it.brittle.is_some()
            && (criteria.at_most_once
                || !room::may_attempt(gateway, &directory, it, criteria, peer_state, now));
        is_preferred(it, criteria, now)
            && it.paused_until(now).is_none()
            && !is_attempt_excluded
            && !it.has_due_permits(now)
    };
    let mut lacking: Vec<&Tracked> = ready.iter().filter(is_lacking).copied().collect();
    let is_intended = |it: &&Tracked| concentration.as_ref().is_none_or(|c| c.is_intended(it));
    if lacking.iter().any(is_intended) {
        lacking.retain(is_intended);
    }
    let first = usize::try_from(criteria.salt).unwrap_or_default() % lacking.len().max(1);
    let from_first = lacking[first..].iter().chain(&lacking[..first]).take(MAX_WANTED);
    let wanted = from_first.filter_map(|it| {
        let slow_start = it.slow_start_rate(slow_start_rate, now).map(slow_start::granted);
        let limit = it.shared_rate().map(rate_limit::granted);
        let rotating = hash::pair(it.id_hash, rotation);
        let by_rate = [slow_start.zip(Some(it.id_hash)), limit.zip(Some(rotating))];
        // The nodes that hold all of an endpoint's permits are among those that hold the fewest.
        let (rate, key) = by_rate.into_iter().flatten().min_by(|a, b| a.0.total_cmp(&b.0))?;
        Some(Wanted { id: it.entry.id.clone(), key, rate })
    });
    wanted.collect()
}
