//! Which endpoint takes a request.
//!
//! Engines keep the prompts they read, so a request is cheapest where its shared parts were read
//! last. A rendezvous hash over the endpoints gives every node the same order of homes for the
//! same parts without a message; a home that is busy is passed over when reading the parts again
//! elsewhere takes less time than waiting for it. Where nodes tell each other what was read where, that
//! goes before the hash: most parts are read for the first time, and then no endpoint is better than
//! another.

use std::time::Duration;

use curranthook_policy::hash;

/// What an endpoint offers a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// A hash of its id.
    pub id_hash: u64,
    /// How long work that is there already will keep the request waiting.
    pub wait: Duration,
    /// The share of requests that failed there lately.
    pub failure_rate: f64,
    /// Where it stands.
    pub locality: Locality,
    /// Whether this node knows that the shared parts were read there.
    pub has_prefix_cached: bool,
}

/// Where an endpoint stands, seen from the node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Locality {
    /// In the same failure domain.
    SameDomain,
    /// In another.
    DifferentDomain,
}

/// A request to be placed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Task {
    /// The hash of the parts of its prompt that it shares with others, and of the model.
    pub prefix_hash: Option<u64>,
    /// How long the prefill of those parts takes.
    pub prefix_prefill: Duration,
    /// What is known of where they were read.
    pub holders: CacheHolders,
    /// A number that differs between requests, to break ties.
    pub salt: u64,
}

/// What is known of the endpoints that keep shared parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheHolders {
    /// The candidates that hold them are marked, and no others do.
    Known,
    /// Others may; most likely the home does.
    Guessed,
}

/// What another failure domain costs in comparison: a round trip and some bytes.
const CROSS_DOMAIN_PENALTY: Duration = Duration::from_millis(3);
/// What an endpoint costs at which every request fails: more than any wait that is worth it.
const FAILING_PENALTY: Duration = Duration::from_millis(1_500);
/// Below this share of failures an endpoint counts as sound; endpoints fail some requests for
/// reasons of the requests' own.
const MAX_HEALTHY_FAILURE_RATE: f64 = 0.3;

/// The best candidate.
///
/// ```
/// # use std::time::Duration;
/// # use curranthook_gateway::placement::{self, Candidate, Locality, CacheHolders, Task};
/// let idle = Candidate {
///     id_hash: 1,
///     wait: Duration::ZERO,
///     failure_rate: 0.0,
///     locality: Locality::SameDomain,
///     has_prefix_cached: false,
/// };
/// let busy = Candidate { id_hash: 2, wait: Duration::from_secs(1), ..idle };
/// let holders = CacheHolders::Guessed;
/// let task = Task { prefix_hash: None, prefix_prefill: Duration::ZERO, holders, salt: 7 };
/// assert_eq!(placement::choose(&[busy, idle], &task), Some(1));
/// ```
pub fn choose(candidates: &[Candidate], task: &Task) -> Option<usize> {
    costs(candidates, task).min().map(|it| it.index)
}

/// The `n` best candidates, the best first.
///
/// ```
/// # use std::time::Duration;
/// # use curranthook_gateway::placement::{self, Candidate, Locality, CacheHolders, Task};
/// let at = |id_hash, wait| Candidate {
///     id_hash,
///     wait: Duration::from_millis(wait),
///     failure_rate: 0.0,
///     locality: Locality::SameDomain,
///     has_prefix_cached: false,
/// };
/// let holders = CacheHolders::Guessed;
/// let task = Task { prefix_hash: None, prefix_prefill: Duration::ZERO, holders, salt: 7 };
/// assert_eq!(placement::best(&[at(1, 300), at(2, 100), at(3, 200)], &task, 2), [1, 2]);
/// ```
pub fn best(candidates: &[Candidate], task: &Task, n: usize) -> Vec<usize> {
    let mut all: Vec<_> = costs(candidates, task).collect();
    all.sort_unstable();
    all.truncate(n);
    all.into_iter().map(|it| it.index).collect()
}

/// What a candidate costs. The hash decides between equals.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Cost {
    time: Duration,
    tie_breaker: u64,
    index: usize,
}

fn costs(candidates: &[Candidate], task: &Task) -> impl Iterator<Item = Cost> {
    let preferred = task.prefix_hash.and_then(|prefix_hash| {
        let weights = candidates.iter().map(|it| hash::pair(prefix_hash, it.id_hash));
        weights.enumerate().max_by_key(|(_, weight)| *weight).map(|(index, _)| index)
    });
    candidates.iter().enumerate().map(move |(index, it)| {
        let is_preferred = preferred == Some(index) && task.holders == CacheHolders::Guessed;
        let prefill =
            if is_preferred || it.has_prefix_cached { Duration::ZERO } else { task.prefix_prefill };
        let failure_penalty =
            FAILING_PENALTY.mul_f64((it.failure_rate - MAX_HEALTHY_FAILURE_RATE).max(0.0));
        let cross_domain =
            if it.locality == Locality::SameDomain { Duration::ZERO } else { CROSS_DOMAIN_PENALTY };
        let tie_breaker = match task.prefix_hash {
            Some(prefix_hash) => u64::MAX - hash::pair(prefix_hash, it.id_hash),
            None => hash::pair(task.salt, it.id_hash),
        };
        Cost { time: it.wait + prefill + failure_penalty + cross_domain, tie_breaker, index }
    })
}
