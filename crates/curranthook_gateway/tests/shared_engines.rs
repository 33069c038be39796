//! Simulates a large fleet of nodes and many engines, where no single node sees the load of an
//! engine.

use std::{collections::HashSet, time::Duration};

use curranthook_gateway::placement::{self, CacheHolders, Candidate, Locality, Task};
use curranthook_policy::{hash, slowdown::Outlook};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use yare::parameterized;

const N_NODES: usize = 70;
const N_ENGINES: usize = 140;
/// The request rate for the largest model, in requests per second.
const REQUESTS_PER_SECOND: f64 = 130.0;
/// The prefill time of a shared prefix, and of a request's own part of the prompt.
const PREFILL: (Duration, Duration) = (Duration::from_millis(600), Duration::from_millis(150));
/// A small set of prefixes, some of which are requested more often than others.
const PREFIXES: Prefixes = Prefixes { n: 225, skew: 2.0 };
/// A large set of prefixes, most of which are requested only a few times.
const MANY_PREFIXES: Prefixes = Prefixes { n: 4_000, skew: 1.0 };
/// The target time to the first event.
const FIRST_EVENT_TARGET: Duration = Duration::from_secs(2);
const SIMULATED_TIME: Duration = Duration::from_secs(40);
/// The number of candidates whose load is queried from the nodes that own it.
const SHORTLIST_LEN: usize = 4;

/// The number of prefixes, and how much more often the first are requested than the last.
#[derive(Debug, Clone, Copy)]
struct Prefixes {
    n: u64,
    skew: f64,
}

/// The times to the first events in a simulation.
#[derive(Debug, Clone, Copy)]
struct Latency {
    /// The share of first events after the target time.
    late_share: f64,
    /// The mean time to the first event.
    mean: Duration,
}

/// What a node knows about the work that is queued at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Visibility {
    /// The node's own work.
    Own,
    /// The work of all nodes, at the candidates that it queries.
    Shortlist,
    /// The work of all nodes, at all engines.
    All,
}

/// An engine that prefills one prompt after another and caches all prefixes.
#[derive(Debug, Clone, Default)]
struct Engine {
    /// For each request that waits or is in prefill: the time of its first event, and the node that
    /// sent it.
    prefills: Vec<(Duration, usize)>,
    cached_prefixes: HashSet<u64>,
}

impl Engine {
    /// The time from `now` until the engine completes the work of all nodes for which `is_visible`
    /// returns true.
    fn wait(&self, now: Duration, is_visible: impl Fn(usize) -> bool) -> Duration {
        let visible = self.prefills.iter().filter(|(_, node)| is_visible(*node));
        let ends = visible.map(|(end, _)| end.saturating_sub(now));
        ends.max().unwrap_or_default()
    }

    fn prefill(&mut self, prefix: u64, node: usize, now: Duration) -> Duration {
        self.prefills.retain(|(end, _)| now < *end);
        let start = now + self.wait(now, |_| true);
        let prefix_prefill =
            if self.cached_prefixes.insert(prefix) { PREFILL.0 } else { Duration::ZERO };
        let end = start + prefix_prefill + PREFILL.1;
        self.prefills.push((end, node));
        end
    }
}

/// Simulates requests over [`SIMULATED_TIME`].
fn simulate(
    visibility: Visibility,
    holders: CacheHolders,
    prefixes: Prefixes,
    seed: u64,
) -> Latency {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut engines = vec![Engine::default(); N_ENGINES];
    let (mut now, mut n_late, mut n_requests, mut total_latency) =
        (Duration::ZERO, 0, 0, Duration::ZERO);
    while now < SIMULATED_TIME {
        now += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / REQUESTS_PER_SECOND);
        let node = rng.random_range(0..N_NODES);
        let prefix = (rng.random::<f64>().powf(prefixes.skew) * prefixes.n as f64) as u64;
        let task = Task {
            prefix_hash: Some(prefix),
            prefix_prefill: PREFILL.0,
            own_time: PREFILL.1,
            holders,
            salt: 0,
        };
        let candidate = |index: usize, sees_all_work: bool| Candidate {
            id_hash: hash::bytes(format!("engine-{index}").as_bytes()),
            wait: engines[index].wait(now, |it| sees_all_work || it == node),
            slowdown: Outlook::UNKNOWN,
            failure_rate: 0.0,
            locality: Locality::SameDomain,
            has_prefix_cached: holders == CacheHolders::Known
                && engines[index].cached_prefixes.contains(&prefix),
        };
        let all_candidates = |sees_all_work| {
            (0..N_ENGINES).map(|it| candidate(it, sees_all_work)).collect::<Vec<_>>()
        };
        let index = match visibility {
            Visibility::Own => placement::choose(&all_candidates(false), &task).unwrap(),
            Visibility::All => placement::choose(&all_candidates(true), &task).unwrap(),
            Visibility::Shortlist => {
                let best = placement::best(&all_candidates(false), &task, SHORTLIST_LEN);
                let shortlist: Vec<_> = best.iter().map(|it| candidate(*it, true)).collect();
                best[placement::choose(&shortlist, &task).unwrap()]
            }
        };
        let time_to_first_event = engines[index].prefill(prefix, node, now) - now;
        n_requests += 1;
        n_late += u32::from(FIRST_EVENT_TARGET < time_to_first_event);
        total_latency += time_to_first_event;
    }
    Latency {
        late_share: f64::from(n_late) / f64::from(n_requests),
        mean: total_latency / n_requests,
    }
}

/// Seventy nodes send prompts to 140 engines, each to the engine that its prefix prefers. Engines
/// that popular prefixes prefer have a queue that no single node sees, while most engines are idle;
/// callers wait for seconds. A node that queries the load owners of a few candidates does nearly as
/// well as one that knows all load. Share of late first events: 6 in 100 if a node knows only its
/// own load, none if it queries others.
#[parameterized(seed_1 = { 1 }, seed_2 = { 2 }, seed_3 = { 3 })]
fn querying_a_shortlist_avoids_hidden_queues(seed: u64) {
    let late_share =
        |visibility| simulate(visibility, CacheHolders::Guessed, PREFIXES, seed).late_share;
    let (own, shortlisted, all) = (
        late_share(Visibility::Own),
        late_share(Visibility::Shortlist),
        late_share(Visibility::All),
    );
    assert!(shortlisted < own / 5.0, "late: {own} without, {shortlisted} with queries");
    assert!(
        shortlisted < all + 0.02,
        "late: {shortlisted} with queries, {all} with all load known"
    );
}

/// Most prompts have a prefix that no engine has processed yet. A node that assumes such a prefix
/// to be cached at its preferred engine queues requests there while other engines are idle, and
/// overlooks an engine that did process the prefix.
#[parameterized(seed_1 = { 1 }, seed_2 = { 2 }, seed_3 = { 3 })]
fn sharing_cache_locations_reduces_latency(seed: u64) {
    let mean = |holders| simulate(Visibility::Shortlist, holders, MANY_PREFIXES, seed).mean;
    let (guessed, known) = (mean(CacheHolders::Guessed), mean(CacheHolders::Known));
    assert!(
        known < guessed.mul_f64(0.95),
        "mean first event: {known:?} with reports, {guessed:?} without"
    );
}
