//! Assigns to each endpoint the node that collects its load information.
//!
//! In a large fleet, the nodes cannot broadcast their pending work to all others: with 71 nodes,
//! each would receive 700 reports per second. Instead, each endpoint has an owner: a node that
//! receives the reports of all work pending there, and that the other nodes query before they send
//! more. Every node computes the owner by rendezvous hashing over the known nodes, without a
//! message. If nodes disagree on the owner, or it is lost, they place requests by what they
//! observed themselves; nothing else depends on the owner.

mod ranking;

use std::{
    cmp::Reverse,
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use curranthook_policy::hash;
use curranthook_types::endpoint;

use self::ranking::Ranking;

/// Up to this many nodes, each one broadcasts its pending work to all others, and there are no
/// owners.
const MAX_BROADCAST_NODES: usize = 12;
/// The number of successive unanswered queries after which an owner is skipped. A single query or
/// answer may be lost or late. Queries that are open at the same time count as one.
const MAX_UNANSWERED: u32 = 3;
/// How long an owner is skipped after too many unanswered queries; about the time of a restart.
const SKIP_TIME: Duration = Duration::from_secs(4);

/// Nodes that join within an interval settle together. Each change of an endpoint's owner may let a
/// few requests too many through, as the new one does not know what the one before it has just told.
const JOIN_INTERVAL: Duration = Duration::from_secs(1);
/// The time from when a node joins until its requests are reported to it, as all nodes know it by
/// then, and until other nodes ask it. A node that is asked at once would know a part of the
/// requests only, as some nodes still report to the owner before it.
const REPORTED_AFTER: Duration = Duration::from_millis(1_500);
/// See [`REPORTED_AFTER`].
const ASKED_AFTER: Duration = Duration::from_millis(3_000);
/// The time after which the owner before it gets no more reports. It is longer than
/// [`MAX_CLOCK_DELAY`] requires, as a node without processor time may also learn late of the new one.
const ALONE_AFTER: Duration = Duration::from_secs(5);
/// By how much a node's idea of the store's clock may be late.
const MAX_CLOCK_DELAY: Duration = Duration::from_secs(1);
/// The number of nodes that get the reports of a brittle endpoint's requests, so that another one
/// knows them if the owner is lost.
const N_REPORTED_TO: usize = 2;

/// Whether a fleet of `n_nodes` uses load owners.
///
/// ```
/// # use curranthook_gateway::load::owners;
/// assert!(!owners::are_used(6));
/// assert!(owners::are_used(295));
/// ```
pub fn are_used(n_nodes: usize) -> bool {
    MAX_BROADCAST_NODES < n_nodes
}

/// The nodes that may be owners, and their unanswered queries.
#[derive(Debug, Default)]
pub struct Owners {
    nodes: Vec<Owner>,
    ranking: Ranking,
    timeouts: HashMap<SocketAddr, Timeouts>,
}

/// A node that may be an owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Owner {
    node_hash: u64,
    addr: SocketAddr,
    /// When the node joined, by the store's clock; none if it joined long ago.
    joined: Option<Duration>,
}

impl Owner {
    /// The time since the node joined, by the store's clock; none if that was long ago.
    fn age(&self, store_time: Option<Duration>) -> Option<Duration> {
        store_time.zip(self.joined).map(|(now, it)| now.saturating_sub(it))
    }

    fn has_joined_before(&self, age: Duration, store_time: Option<Duration>) -> bool {
        self.age(store_time).is_none_or(|it| age <= it)
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Timeouts {
    count: u32,
    /// When the last one was counted.
    counted_at: Option<Instant>,
    skipped_until: Option<Instant>,
}

impl Owners {
    /// Sets the address at which a node receives load reports; none if it receives none.
    pub fn set_node(&mut self, node: &str, addr: Option<SocketAddr>) {
        let node_hash = hash::bytes(node.as_bytes());
        if addr.is_some()
            && self.nodes.iter().any(|it| (it.node_hash, Some(it.addr)) == (node_hash, addr))
        {
            return;
        }
        self.nodes.retain(|it| it.node_hash != node_hash);
        self.nodes.extend(addr.map(|addr| Owner { node_hash, addr, joined: None }));
        self.ranking.clear();
    }

    /// Sets when a node joined, by the store's clock; none if it joined long ago.
    ///
    /// It counts as joined at the next whole second, with all others of that second.
    pub fn set_joined(&mut self, node: &str, joined: Option<Duration>) {
        let node_hash = hash::bytes(node.as_bytes());
        let known = self.nodes.iter_mut().find(|it| it.node_hash == node_hash);
        if let Some(it) = known {
            it.joined = joined.map(round_up);
        }
    }

    /// The node that knows all requests at a brittle endpoint: like [`Owners::owner_of`], but no
    /// node that has just joined; none if the nodes that all report to do not answer. The nodes are
    /// asked in turn, by the number of questions that were not answered.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use curranthook_gateway::load::owners::Owners;
    /// let (mut owners, s) = (Owners::default(), Duration::from_secs);
    /// for port in 1..=20 {
    ///     owners.set_node(&format!("node-{port}"), Some(([127, 0, 0, 1], port).into()));
    /// }
    /// let (endpoint, now) = ("engine-1".into(), Instant::now());
    /// let owner = owners.owner_of(&endpoint, now).unwrap();
    /// owners.set_joined(&format!("node-{}", owner.port()), Some(s(100)));
    /// let mut settled = |at| owners.settled_owner_of(&endpoint, 0, Some(s(at)), now);
    /// assert_ne!(settled(101), Some(owner));
    /// assert_eq!(settled(104), Some(owner));
    /// assert!(owners.reported_to(&endpoint, Some(s(102))).contains(&owner));
    /// ```
    pub fn settled_owner_of(
        &mut self,
        endpoint: &endpoint::Id,
        n_unanswered: usize,
        store_time: Option<Duration>,
        now: Instant,
    ) -> Option<SocketAddr> {
        let hash = hash::bytes(endpoint.as_str().as_bytes());
        let mut nodes = self.asked_in_turn(hash, store_time);
        nodes.retain(|it| !is_skipped(&self.timeouts, *it, now));
        let index = n_unanswered.checked_rem(nodes.len())?;
        Some(nodes[index])
    }

    /// The nodes that get the reports of requests at a brittle endpoint: those that any node may ask
    /// for them now.
    pub fn reported_to(
        &mut self,
        endpoint: &endpoint::Id,
        store_time: Option<Duration>,
    ) -> Vec<SocketAddr> {
        let hash = hash::bytes(endpoint.as_str().as_bytes());
        let mut addrs = self.asked_soon(hash, store_time);
        addrs.extend(self.asked_in_turn(hash, store_time));
        let late_time = store_time.map(|it| it.saturating_sub(MAX_CLOCK_DELAY));
        addrs.extend(self.asked_in_turn(hash, late_time));
        addrs.sort_unstable();
        addrs.dedup();
        addrs
    }

    /// The nodes that are asked for the requests at an endpoint now, the first one first.
    fn asked_in_turn(&mut self, hash: u64, store_time: Option<Duration>) -> Vec<SocketAddr> {
        let settled = self.first_joined(hash, ASKED_AFTER, store_time);
        // If all nodes have just joined, none of them knows more than another.
        if settled.is_empty() { self.first_joined(hash, Duration::ZERO, None) } else { settled }
    }

    /// The nodes that may be asked until those that joined [`REPORTED_AFTER`] ago have settled, and
    /// those that other nodes may still ask: the first [`N_REPORTED_TO`] among the nodes of each age
    /// or older. A node of a low rank is asked for as long as those of higher ranks are younger.
    fn asked_soon(&mut self, hash: u64, store_time: Option<Duration>) -> Vec<SocketAddr> {
        let Self { nodes, ranking, .. } = self;
        let rank = |it: usize| hash::pair(hash, nodes[it].node_hash);
        let age = |it: usize| nodes[it].age(store_time).unwrap_or(ALONE_AFTER).min(ALONE_AFTER);
        let kept = ranking.first(hash, nodes.len(), rank);
        let is_enough = kept.len() == nodes.len()
            || N_REPORTED_TO <= kept.iter().filter(|it| age(**it) == ALONE_AFTER).count();
        let all = if is_enough { 0..0 } else { 0..nodes.len() };
        let candidates = kept.iter().copied().filter(|_| is_enough).chain(all);
        // The first nodes of each age. There are few ages, as nodes join at whole seconds.
        let mut by_age: Vec<(Duration, Vec<_>)> = Vec::new();
        for it in candidates {
            let (age, rank) = (age(it), Reverse(rank(it)));
            let known = by_age.iter_mut().find(|(known, _)| *known == age);
            match known {
                _ if age < REPORTED_AFTER => {}
                Some((_, first)) => insert_first(first, (rank, it)),
                None => by_age.push((age, vec![(rank, it)])),
            }
        }
        by_age.sort_unstable_by_key(|(age, _)| Reverse(*age));
        let (mut first, mut addrs) = (Vec::new(), Vec::new());
        for (_, of_age) in by_age {
            of_age.into_iter().for_each(|it| insert_first(&mut first, it));
            addrs.extend(first.iter().map(|(_, it)| nodes[*it].addr));
        }
        addrs
    }

    /// The first [`N_REPORTED_TO`] nodes for an endpoint among those that joined `age` ago or
    /// earlier, the first one first.
    fn first_joined(
        &mut self,
        hash: u64,
        age: Duration,
        store_time: Option<Duration>,
    ) -> Vec<SocketAddr> {
        let Self { nodes, ranking, .. } = self;
        let rank = |it: usize| hash::pair(hash, nodes[it].node_hash);
        let has_joined = |it: &usize| nodes[*it].has_joined_before(age, store_time);
        let kept = ranking.first(hash, nodes.len(), rank);
        let mut first: Vec<_> =
            kept.iter().copied().filter(has_joined).take(N_REPORTED_TO).collect();
        // Most nodes have just joined.
        if first.len() < N_REPORTED_TO && kept.len() < nodes.len() {
            first = ranking::highest(N_REPORTED_TO, (0..nodes.len()).filter(has_joined), rank);
        }
        first.into_iter().map(|it| nodes[it].addr).collect()
    }

    /// How often a node was ranked for an endpoint, a measure of the work that this costs.
    pub fn n_ranked(&self) -> u64 {
        self.ranking.n_ranked()
    }

    /// The address of the node that owns `endpoint`.
    ///
    /// ```
    /// # use std::time::Instant;
    /// # use curranthook_gateway::load::owners::Owners;
    /// let (mut ours, mut theirs) = (Owners::default(), Owners::default());
    /// for port in 1..=20 {
    ///     ours.set_node(&format!("node-{port}"), Some(([127, 0, 0, 1], port).into()));
    ///     theirs.set_node(&format!("node-{}", 21 - port), Some(([127, 0, 0, 1], 21 - port).into()));
    /// }
    /// let (endpoint, now) = ("engine-1".into(), Instant::now());
    /// assert!(ours.owner_of(&endpoint, now).is_some());
    /// assert_eq!(ours.owner_of(&endpoint, now), theirs.owner_of(&endpoint, now));
    /// ```
    pub fn owner_of(&mut self, endpoint: &endpoint::Id, now: Instant) -> Option<SocketAddr> {
        let hash = hash::bytes(endpoint.as_str().as_bytes());
        let nodes = &self.nodes;
        let rank = |it: usize| hash::pair(hash, nodes[it].node_hash);
        let mut first =
            self.ranking.first(hash, nodes.len(), rank).iter().map(|it| nodes[*it].addr);
        let is_skipped = |addr| is_skipped(&self.timeouts, addr, now);
        first.find(|it| !is_skipped(*it)).or_else(|| self.owner_of_hash(hash, now))
    }

    /// The addresses of the `n` nodes that come first for `hash`, the first one first.
    pub fn nearest(&self, hash: u64, n: usize) -> Vec<SocketAddr> {
        let rank = |it: usize| hash::pair(hash, self.nodes[it].node_hash);
        let first = ranking::highest(n, 0..self.nodes.len(), rank);
        first.into_iter().map(|it| self.nodes[it].addr).collect()
    }

    /// The address of the node that owns `hash`, the hash of an endpoint's id or of a prompt prefix
    /// (the model and the shared prompt parts). The owner of a prefix knows which endpoints have
    /// prefilled it.
    pub fn owner_of_hash(&self, hash: u64, now: Instant) -> Option<SocketAddr> {
        let answering = self.nodes.iter().filter(|it| !is_skipped(&self.timeouts, it.addr, now));
        answering.max_by_key(|it| hash::pair(hash, it.node_hash)).map(|it| it.addr)
    }

    /// Records that an owner answered a query.
    pub fn record_answer(&mut self, addr: SocketAddr) {
        self.timeouts.remove(&addr);
    }

    /// Records that an owner left a query unanswered that was sent at `sent_at`.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use curranthook_gateway::load::owners::Owners;
    /// let (mut owners, owner) = (Owners::default(), ([127, 0, 0, 1], 1).into());
    /// owners.set_node("node-1", Some(owner));
    /// let (mut now, timeout) = (Instant::now(), Duration::from_millis(100));
    /// for _ in 0..3 {
    ///     assert_eq!(owners.owner_of_hash(7, now), Some(owner));
    ///     owners.record_timeout(owner, now, now + timeout);
    ///     now += timeout;
    /// }
    /// assert_eq!(owners.owner_of_hash(7, now), None);
    /// ```
    pub fn record_timeout(&mut self, addr: SocketAddr, sent_at: Instant, now: Instant) {
        let it = self.timeouts.entry(addr).or_default();
        if it.counted_at.is_some_and(|at| sent_at < at) {
            return;
        }
        it.count += 1;
        it.counted_at = Some(now);
        if MAX_UNANSWERED <= it.count {
            it.count = 0;
            it.skipped_until = Some(now + SKIP_TIME);
        }
    }
}

/// Adds `node` if it is among the first [`N_REPORTED_TO`].
fn insert_first<T: Ord>(first: &mut Vec<T>, node: T) {
    if first.len() < N_REPORTED_TO || first.last().is_some_and(|last| node < *last) {
        first.push(node);
        first.sort_unstable();
        first.truncate(N_REPORTED_TO);
    }
}

fn round_up(joined: Duration) -> Duration {
    let n_intervals = joined.as_nanos().div_ceil(JOIN_INTERVAL.as_nanos());
    u32::try_from(n_intervals).map_or(joined, |it| JOIN_INTERVAL * it)
}

fn is_skipped(timeouts: &HashMap<SocketAddr, Timeouts>, addr: SocketAddr, now: Instant) -> bool {
    let skipped_until = timeouts.get(&addr).and_then(|it| it.skipped_until);
    skipped_until.is_some_and(|skipped_until| now < skipped_until)
}
