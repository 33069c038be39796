//! The nodes to which a node that is cut off from a service forwards requests.
//!
//! Each node draws a few at random, so that the requests of nodes that are cut off at the same time
//! spread over the others, and the cost of a choice does not grow with the fleet. A partition often
//! covers a failure domain, so nodes of others are preferred.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use curranthook_types::domain;
use rand::{Rng, seq::IteratorRandom};

use crate::fleet::Node;

/// The number of nodes that are drawn.
pub const MAX_CANDIDATES: usize = 8;
/// How long a node that could not take a request is not asked again.
const BACKOFF: Duration = Duration::from_secs(1);
/// How long the drawn nodes are used.
const LIFETIME: Duration = Duration::from_secs(5);

/// A node that a request is forwarded to. The request counts as in flight there until this is
/// dropped.
#[derive(Debug)]
pub struct Chosen {
    /// The node's name.
    pub name: String,
    /// Its address for other nodes.
    pub addr: SocketAddr,
    in_flight: Arc<AtomicUsize>,
}

impl Drop for Chosen {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The drawn nodes.
#[derive(Debug, Default)]
pub struct Candidates {
    members: Vec<Candidate>,
    drawn_at: Option<Instant>,
    /// The number of nodes that were looked at in all draws.
    n_examined: usize,
}

#[derive(Debug)]
struct Candidate {
    name: String,
    addr: SocketAddr,
    /// Until when the node is not asked.
    backoff_until: Option<Instant>,
    /// The number of requests that have been forwarded to it and have not ended.
    in_flight: Arc<AtomicUsize>,
    /// The number of requests that have been forwarded to it.
    n_sent: usize,
}

impl Candidate {
    fn is_available(&self, now: Instant) -> bool {
        self.backoff_until.is_none_or(|until| until <= now)
    }
}

impl Candidates {
    /// Draws nodes among all others, unless those drawn last are still in use.
    pub fn refresh(
        &mut self,
        peers: &HashMap<String, Node>,
        (own_name, own_domain): (&str, &domain::Id),
        now: Instant,
        rng: &mut impl Rng,
    ) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < LIFETIME;
        if self.drawn_at.is_some_and(is_recent) {
            return;
        }
        self.drawn_at = Some(now);
        self.n_examined += peers.len();
        let others = || peers.iter().filter(|(name, _)| *name != own_name);
        let is_remote = |node: &Node| node.domain.as_ref() != Some(own_domain);
        let mut drawn = others().filter(|(_, it)| is_remote(it)).sample(rng, MAX_CANDIDATES);
        let n_missing = MAX_CANDIDATES - drawn.len();
        drawn.extend(others().filter(|(_, it)| !is_remote(it)).sample(rng, n_missing));
        let mut known = std::mem::take(&mut self.members);
        for (name, node) in drawn {
            let index = known.iter().position(|it| it.name == *name && it.addr == node.peers);
            self.members.push(match index {
                Some(index) => known.swap_remove(index),
                None => Candidate {
                    name: name.clone(),
                    addr: node.peers,
                    backoff_until: None,
                    in_flight: Arc::default(),
                    n_sent: 0,
                },
            });
        }
    }

    /// The node with the fewest requests in flight, other than the `tried`
    /// ones. Among several, that with the fewest requests so far is chosen.
    pub fn choose(&mut self, tried: &[String], now: Instant) -> Option<Chosen> {
        let usable = |it: &&mut Candidate| it.is_available(now) && !tried.contains(&it.name);
        let load = |it: &&mut Candidate| (it.in_flight.load(Ordering::Relaxed), it.n_sent);
        let chosen = self.members.iter_mut().filter(usable).min_by_key(load)?;
        chosen.n_sent += 1;
        chosen.in_flight.fetch_add(1, Ordering::Relaxed);
        let (name, in_flight) = (chosen.name.clone(), Arc::clone(&chosen.in_flight));
        Some(Chosen { name, addr: chosen.addr, in_flight })
    }

    /// Records that the node cannot take requests for now.
    pub fn back_off(&mut self, name: &str, now: Instant) {
        if let Some(it) = self.members.iter_mut().find(|it| it.name == name) {
            it.backoff_until = Some(now + BACKOFF);
        }
    }

    /// Whether a node may be asked now.
    pub fn is_any_available(&self, now: Instant) -> bool {
        self.members.iter().any(|it| it.is_available(now))
    }

    /// The number of nodes that were looked at in all draws.
    pub fn n_examined(&self) -> usize {
        self.n_examined
    }
}
