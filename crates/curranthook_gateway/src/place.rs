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
    pub seed: u64,
    /// How long work that is there already will keep the request waiting.
    pub wait: Duration,
    /// The share of requests that failed there lately.
    pub failures: f64,
    /// Where it stands.
    pub distance: Distance,
    /// Whether this node knows that the shared parts were read there.
    pub holds_parts: bool,
}

/// Where an endpoint stands, seen from the node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Distance {
    /// In the same failure domain.
    Near,
    /// In another.
    Far,
}

/// A request to be placed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Work {
    /// The hash of the parts of its prompt that it shares with others, and of the model.
    pub subject: Option<u64>,
    /// How long the prefill of those parts takes.
    pub shared: Duration,
    /// What is known of where they were read.
    pub holders: Holders,
    /// A number that differs between requests, to break ties.
    pub salt: u64,
}

/// What is known of the endpoints that keep shared parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Holders {
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
const MAX_HEALTHY_FAILURES: f64 = 0.3;

/// The best candidate.
///
/// ```
/// # use std::time::Duration;
/// # use curranthook_gateway::place::{self, Candidate, Distance, Holders, Work};
/// let idle = Candidate {
///     seed: 1,
///     wait: Duration::ZERO,
///     failures: 0.0,
///     distance: Distance::Near,
///     holds_parts: false,
/// };
/// let busy = Candidate { seed: 2, wait: Duration::from_secs(1), ..idle };
/// let holders = Holders::Guessed;
/// let work = Work { subject: None, shared: Duration::ZERO, holders, salt: 7 };
/// assert_eq!(place::choose(&[busy, idle], &work), Some(1));
/// ```
pub fn choose(candidates: &[Candidate], work: &Work) -> Option<usize> {
    costs(candidates, work).min().map(|it| it.index)
}

/// The `n` best candidates, the best first.
///
/// ```
/// # use std::time::Duration;
/// # use curranthook_gateway::place::{self, Candidate, Distance, Holders, Work};
/// let at = |seed, wait| Candidate {
///     seed,
///     wait: Duration::from_millis(wait),
///     failures: 0.0,
///     distance: Distance::Near,
///     holds_parts: false,
/// };
/// let holders = Holders::Guessed;
/// let work = Work { subject: None, shared: Duration::ZERO, holders, salt: 7 };
/// assert_eq!(place::best(&[at(1, 300), at(2, 100), at(3, 200)], &work, 2), [1, 2]);
/// ```
pub fn best(candidates: &[Candidate], work: &Work, n: usize) -> Vec<usize> {
    let mut all: Vec<_> = costs(candidates, work).collect();
    all.sort_unstable();
    all.truncate(n);
    all.into_iter().map(|it| it.index).collect()
}

/// What a candidate costs. The hash decides between equals.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Cost {
    time: Duration,
    tie: u64,
    index: usize,
}

fn costs(candidates: &[Candidate], work: &Work) -> impl Iterator<Item = Cost> {
    let home = work.subject.and_then(|subject| {
        let weights = candidates.iter().map(|it| hash::pair(subject, it.seed));
        weights.enumerate().max_by_key(|(_, weight)| *weight).map(|(index, _)| index)
    });
    candidates.iter().enumerate().map(move |(index, it)| {
        let is_home = home == Some(index) && work.holders == Holders::Guessed;
        let prefill = if is_home || it.holds_parts { Duration::ZERO } else { work.shared };
        let failing = FAILING_PENALTY.mul_f64((it.failures - MAX_HEALTHY_FAILURES).max(0.0));
        let travel =
            if it.distance == Distance::Near { Duration::ZERO } else { CROSS_DOMAIN_PENALTY };
        let tie = match work.subject {
            Some(subject) => u64::MAX - hash::pair(subject, it.seed),
            None => hash::pair(work.salt, it.seed),
        };
        Cost { time: it.wait + prefill + failing + travel, tie, index }
    })
}
