//! Which nodes hold permits that this node may borrow.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use curranthook_types::endpoint;
use rand::{Rng, RngExt};

use crate::permit;

/// The number of endpoints that a holder is asked about at once.
pub const MAX_ENDPOINTS: usize = 8;
/// The number of endpoints whose holders are determined for one request, each of which takes a pass
/// over all nodes.
pub const MAX_RANKED: usize = 4;
/// How long the nodes and the holders of an endpoint are kept, as nodes join and leave.
const LIFETIME: Duration = Duration::from_secs(1);
/// How long a node that did not answer is not asked.
const SKIP_TIME: Duration = Duration::from_secs(1);
/// The number of endpoints whose holders are kept.
const MAX_KNOWN: usize = 1_024;

/// An endpoint that this node would send a request to if it held a permit.
#[derive(Debug, Clone, PartialEq)]
pub struct Wanted {
    /// The endpoint.
    pub id: endpoint::Id,
    /// The hash from which the holders of its permits follow.
    pub key: u64,
    /// The requests per second that all holders together may send.
    pub rate: f64,
}

/// A holder to ask, and what for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Question {
    /// The holder's address.
    pub holder: SocketAddr,
    /// The endpoints.
    pub endpoints: Vec<endpoint::Id>,
}

/// The holders of permits, and when their permits are due as far as they told.
#[derive(Debug, Default)]
pub struct Lenders {
    /// The nodes that can be asked, by the hash of their names.
    nodes: HashMap<u64, SocketAddr>,
    hashes: Vec<u64>,
    read_at: Option<Instant>,
    known: HashMap<u64, Holders>,
    skipped: HashMap<SocketAddr, Instant>,
    /// The number of times that nodes were ranked for an endpoint.
    n_ranked: usize,
}

#[derive(Debug)]
struct Holders {
    since: Instant,
    /// The holders, and when the permit of each is due; none if that is unknown.
    due: Vec<(SocketAddr, Option<Instant>)>,
}

impl Lenders {
    /// Sets the nodes of the fleet, unless they were set recently: the hash of each one's name, and
    /// its address for load reports, which is none for this node.
    pub fn refresh(
        &mut self,
        nodes: impl FnOnce() -> Vec<(u64, Option<SocketAddr>)>,
        now: Instant,
    ) {
        if self.read_at.is_some_and(|at| now < at + LIFETIME) {
            return;
        }
        let nodes = nodes();
        self.hashes = nodes.iter().map(|(hash, _)| *hash).collect();
        self.nodes = nodes.into_iter().filter_map(|(hash, addr)| Some((hash, addr?))).collect();
        self.read_at = Some(now);
        self.skipped.retain(|_, until| now < *until);
        self.known.retain(|_, it| now < it.since + LIFETIME);
    }

    /// The next holder to ask: one of the first of the `wanted` endpoints that may have a permit for
    /// which this node has not `asked` yet. None if all permits are known not to be due.
    pub fn choose(
        &mut self,
        wanted: &[Wanted],
        asked: &[SocketAddr],
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<Question> {
        let mut n_ranked = 0;
        let index = wanted.iter().position(|it| {
            let is_known = self.known.get(&it.key).is_some_and(|it| now < it.since + LIFETIME);
            if !is_known {
                if n_ranked == MAX_RANKED {
                    return false;
                }
                n_ranked += 1;
                self.rank(it, now);
            }
            self.available(it.key, asked, now).next().is_some()
        })?;
        let first = &wanted[index];
        let n = self.available(first.key, asked, now).count();
        let holder = self.available(first.key, asked, now).nth(rng.random_range(0..n))?;
        let is_available = |it: &&Wanted| self.available(it.key, asked, now).any(|it| it == holder);
        let endpoints = wanted[index..].iter().filter(is_available).take(MAX_ENDPOINTS);
        Some(Question { holder, endpoints: endpoints.map(|it| it.id.clone()).collect() })
    }

    /// Records when a holder's permit for an endpoint is due.
    pub fn set_due(&mut self, key: u64, holder: SocketAddr, due: Instant) {
        let holders = self.known.get_mut(&key).into_iter().flat_map(|it| &mut it.due);
        holders.filter(|(addr, _)| *addr == holder).for_each(|(_, it)| *it = Some(due));
    }

    /// Records that a node did not answer.
    pub fn skip(&mut self, holder: SocketAddr, now: Instant) {
        self.skipped.insert(holder, now + SKIP_TIME);
    }

    /// How often nodes were ranked for an endpoint, a measure of the work that this costs.
    pub fn n_ranked(&self) -> usize {
        self.n_ranked
    }

    fn rank(&mut self, wanted: &Wanted, now: Instant) {
        self.n_ranked += 1;
        let before = self.known.remove(&wanted.key).map(|it| it.due).unwrap_or_default();
        let due_before = |addr: &SocketAddr| before.iter().find(|(it, _)| it == addr)?.1;
        let holders = permit::holders(wanted.rate, wanted.key, &self.hashes);
        let addrs = holders.iter().filter_map(|it| self.nodes.get(it).copied());
        let due = addrs.map(|it| (it, due_before(&it))).collect();
        if self.known.len() < MAX_KNOWN {
            self.known.insert(wanted.key, Holders { since: now, due });
        }
    }

    /// The holders that may have a permit that is due.
    fn available(
        &self,
        key: u64,
        asked: &[SocketAddr],
        now: Instant,
    ) -> impl Iterator<Item = SocketAddr> {
        let holders = self.known.get(&key).into_iter().flat_map(|it| &it.due);
        let is_due = move |it: &&(SocketAddr, Option<Instant>)| it.1.is_none_or(|due| due <= now);
        let is_skipped = move |it: &SocketAddr| self.skipped.get(it).is_some_and(|it| now < *it);
        let addrs = holders.filter(is_due).map(|(addr, _)| *addr);
        addrs.filter(move |it| !asked.contains(it) && !is_skipped(it))
    }
}
