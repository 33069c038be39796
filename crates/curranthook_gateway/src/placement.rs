//! Chooses the endpoint for a request among candidates.
//!
//! Engines cache the prompts that they process, so a request is cheapest at the endpoint that
//! processed its shared prefix last. Rendezvous hashing over the endpoints gives each prefix the
//! same preference order at every node, without communication; a preferred endpoint that is busy is
//! skipped if processing the prefix again elsewhere takes less time than waiting. If the nodes
//! report to each other which endpoint processed which prefix, these reports take precedence over
//! the hash: most prefixes occur for the first time, and then no endpoint is better than another.

use std::time::Duration;

use curranthook_policy::{
    hash,
    slowdown::{Factor, Outlook},
};

/// An endpoint that may take a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The hash of the endpoint's id.
    pub id_hash: u64,
    /// How long the work that the endpoint already has delays the request, at usual speed.
    pub wait: Duration,
    /// How long work takes at the endpoint, relative to its usual time.
    pub slowdown: Outlook,
    /// The recent share of failed requests, from 0 to 1.
    pub failure_rate: f64,
    /// Whether the endpoint is in the failure domain of the node.
    pub locality: Locality,
    /// Whether this node knows that the endpoint processed the shared prefix.
    pub has_prefix_cached: bool,
}

/// The location of an endpoint relative to the node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Locality {
    /// The endpoint is in the node's failure domain.
    SameDomain,
    /// The endpoint is in another failure domain.
    DifferentDomain,
}

/// A request to be placed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Task {
    /// The hash of the model and of the prompt prefix that the request shares with others.
    pub prefix_hash: Option<u64>,
    /// The prefill time of that prefix, at usual speed.
    pub prefix_prefill: Duration,
    /// The time for the rest of the request, at usual speed. An endpoint that has no other work is
    /// still worse if it takes longer for this.
    pub own_time: Duration,
    /// What is known about which endpoints have the prefix cached.
    pub holders: CacheHolders,
    /// A value that differs between requests, to break ties.
    pub salt: u64,
}

/// What is known about the endpoints that have a shared prefix cached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheHolders {
    /// The prefix is cached by exactly those candidates that have `has_prefix_cached` set.
    Known,
    /// Other candidates may have the prefix cached too, most likely the one that rendezvous hashing
    /// prefers.
    Guessed,
}

/// The penalty for an endpoint in another failure domain: the delay of a round trip and of the
/// transferred bytes.
const CROSS_DOMAIN_PENALTY: Duration = Duration::from_millis(3);
/// The penalty for an endpoint at which every request fails, as a delay: longer than any acceptable
/// wait.
const FAILING_PENALTY: Duration = Duration::from_millis(1_500);
/// The largest share of failed requests at which an endpoint counts as healthy. Some requests fail
/// for reasons that are not the endpoint's.
const MAX_HEALTHY_FAILURE_RATE: f64 = 0.3;

/// The index of the best candidate.
///
/// ```
/// # use std::time::Duration;
/// # use curranthook_gateway::placement::{self, Candidate, Locality, CacheHolders, Task};
/// # use curranthook_policy::slowdown::Outlook;
/// let idle = Candidate {
///     id_hash: 1,
///     wait: Duration::ZERO,
///     slowdown: Outlook::UNKNOWN,
///     failure_rate: 0.0,
///     locality: Locality::SameDomain,
///     has_prefix_cached: false,
/// };
/// let busy = Candidate { id_hash: 2, wait: Duration::from_secs(1), ..idle };
/// let holders = CacheHolders::Guessed;
/// let (prefix_prefill, own_time) = (Duration::ZERO, Duration::ZERO);
/// let task = Task { prefix_hash: None, prefix_prefill, own_time, holders, salt: 7 };
/// assert_eq!(placement::choose(&[busy, idle], &task), Some(1));
/// ```
pub fn choose(candidates: &[Candidate], task: &Task) -> Option<usize> {
    costs(candidates, task, |it, usual, tie_breaker| {
        (it.slowdown.scale(usual + task.own_time), tie_breaker)
    })
    .min()
    .map(|it| it.index)
}

/// The indices of the `n` candidates whose load is worth asking for, the best first.
///
/// Their load is known only in part, so a slow endpoint may be the best one if all fast ones have
/// work of other nodes. Speed therefore excludes none: among candidates with the same known delay,
/// each is drawn with a probability that is proportional to its speed.
///
/// ```
/// # use std::time::Duration;
/// # use curranthook_gateway::placement::{self, Candidate, Locality, CacheHolders, Task};
/// # use curranthook_policy::slowdown::Outlook;
/// let candidate = |id_hash, wait| Candidate {
///     id_hash,
///     wait: Duration::from_millis(wait),
///     slowdown: Outlook::UNKNOWN,
///     failure_rate: 0.0,
///     locality: Locality::SameDomain,
///     has_prefix_cached: false,
/// };
/// let holders = CacheHolders::Guessed;
/// let (prefix_prefill, own_time) = (Duration::ZERO, Duration::ZERO);
/// let task = Task { prefix_hash: None, prefix_prefill, own_time, holders, salt: 7 };
/// let candidates = [candidate(1, 300), candidate(2, 100), candidate(3, 200)];
/// assert_eq!(placement::best(&candidates, &task, 2), [1, 2]);
/// ```
pub fn best(candidates: &[Candidate], task: &Task, n: usize) -> Vec<usize> {
    let mut ranked: Vec<_> = costs(candidates, task, |it, usual, tie_breaker| {
        (usual, weighted(tie_breaker, it.slowdown.expected))
    })
    .collect();
    ranked.sort_unstable();
    ranked.truncate(n);
    ranked.into_iter().map(|it| it.index).collect()
}

/// The cost of a candidate. A hash breaks ties.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Cost {
    time: Duration,
    tie_breaker: u64,
    index: usize,
}

/// The costs of all candidates. `weigh` applies the speed of a candidate to the time that it would
/// usually need and to the tie-breaker.
fn costs(
    candidates: &[Candidate],
    task: &Task,
    weigh: impl Fn(&Candidate, Duration, u64) -> (Duration, u64),
) -> impl Iterator<Item = Cost> {
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
        let cross_domain_penalty =
            if it.locality == Locality::SameDomain { Duration::ZERO } else { CROSS_DOMAIN_PENALTY };
        let tie_breaker = match task.prefix_hash {
            Some(prefix_hash) => u64::MAX - hash::pair(prefix_hash, it.id_hash),
            None => hash::pair(task.salt, it.id_hash),
        };
        let (time, tie_breaker) = weigh(it, it.wait + prefill, tie_breaker);
        Cost { time: time + failure_penalty + cross_domain_penalty, tie_breaker, index }
    })
}

/// Transforms a uniformly distributed `tie_breaker` so that, of several candidates, each has the
/// lowest one with a probability that is proportional to its speed.
fn weighted(tie_breaker: u64, slowdown: Factor) -> u64 {
    if slowdown == Factor::USUAL {
        return tie_breaker;
    }
    // Scales an exponentially distributed variable; the lowest of several such variables belongs to
    // each with a probability that is proportional to its rate.
    const RANGE: f64 = u64::MAX as f64;
    let unit = tie_breaker as f64 / RANGE;
    ((1.0 - (1.0 - unit).powf(slowdown.value())) * RANGE) as u64
}
