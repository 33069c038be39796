//! Endpoints that name a rate, before fleets of any size.

mod support;

use std::time::{Duration, Instant};

use curranthook_gateway::{
    directory::{Directory, Permits},
    rate_limit::{self, Notice, RateLimit},
};
use curranthook_policy::hash;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use yare::parameterized;

use self::support::{entry, most_in_window};

const WARM: Duration = Duration::ZERO;
const LENGTH: Duration = Duration::from_secs(32);
const STEP: Duration = Duration::from_millis(5);
/// The span in which requests are counted, and what may come besides in it.
const WINDOW: Duration = Duration::from_secs(4);
const SLACK: f64 = 5.0;
/// How long a request may be held up on its way to the endpoint.
const MAX_HELD_UP: Duration = Duration::from_millis(60);
/// How far the nodes' readings of the store's clock are apart.
const MAX_SKEW: Duration = Duration::from_millis(30);
/// The share of nodes that each node doesn't know of.
const UNKNOWN: f64 = 0.05;

/// What an endpoint got.
struct Arrivals {
    /// The most requests in any window.
    most: usize,
    /// Requests a second, on average.
    mean: f64,
}

/// A fleet of `n_nodes` that gets `demand` requests a second from `idle` on, which would all fit one endpoint.
fn arrivals(rate: f64, n_nodes: usize, demand: f64, idle: Duration, seed: u64) -> Arrivals {
    let (mut rng, start) = (Pcg64::seed_from_u64(seed), Instant::now());
    let seeds: Vec<u64> = (0..n_nodes).map(|it| hash::bytes(&it.to_le_bytes())).collect();
    let known: Vec<Vec<u64>> = seeds
        .iter()
        .map(|own| {
            let is_known = |it: &&u64| own == *it || UNKNOWN <= rng.random();
            seeds.iter().filter(is_known).copied().collect()
        })
        .collect();
    let skews: Vec<Duration> = seeds.iter().map(|_| MAX_SKEW.mul_f64(rng.random())).collect();
    let mut limits = vec![RateLimit::new(rate); n_nodes];
    let mut arrived = Vec::new();
    let mut due = 0.0;
    let mut elapsed = Duration::ZERO;
    while elapsed < LENGTH {
        if idle <= elapsed {
            due += demand * STEP.as_secs_f64();
        }
        while 1.0 <= due {
            due -= 1.0;
            let (index, now) = (rng.random_range(0..n_nodes), start + elapsed);
            let rotation = rate_limit::rotation(elapsed + skews[index]);
            let limit = &mut limits[index];
            if limit.is_outdated(rotation, now) {
                let interval =
                    rate_limit::interval(rate, seed, rotation, seeds[index], &known[index]);
                limit.set_interval(interval, rotation, now);
            }
            if limit.admits(now) {
                limit.sent(now);
                arrived.push(now + MAX_HELD_UP.mul_f64(rng.random()));
            }
        }
        elapsed += STEP;
    }
    let mean = arrived.len() as f64 / LENGTH.as_secs_f64();
    Arrivals { most: most_in_window(arrived, WINDOW), mean }
}

/// Guards against an endpoint in need that gets from each node what it takes from all of them, and against
/// keeping it from work that it would take.
#[parameterized(
    one_node = { 1.0, 1, 20.0 },
    small = { 1.0, 6, 60.0 },
    small_and_fast = { 6.0, 6, 60.0 },
    less_than_one = { 0.4, 6, 60.0 },
    large = { 1.0, 89, 500.0 },
    large_and_fast = { 12.0, 89, 500.0 },
    largest = { 1.3, 1_800, 6_000.0 },
)]
fn the_fleet_keeps_the_rate_that_is_named(rate: f64, n_nodes: usize, demand: f64) {
    for seed in 0..3 {
        let it = arrivals(rate, n_nodes, demand, Duration::ZERO, seed);
        let allowed = rate * 1.5 * WINDOW.as_secs_f64() + SLACK;
        assert!(it.most as f64 <= allowed, "{} in a window, {allowed} allowed", it.most);
        assert!(rate * 0.4 < it.mean, "only {} of {rate} requests a second", it.mean);
        assert!(it.mean <= rate, "{} of {rate} requests a second", it.mean);
    }
}

/// Guards against permits that go unused while requests are refused, as these come at random.
#[test]
fn few_requests_for_each_node_use_most_of_the_rate() {
    for seed in 0..5 {
        let it = arrivals(4.0, 6, 16.0, Duration::ZERO, seed);
        assert!(4.0 * 0.65 < it.mean, "only {} of 4 requests a second", it.mean);
    }
}

/// Guards against permits that nobody used for a while and all nodes use at once.
#[parameterized(small = { 1.0, 6, 60.0 }, large = { 1.0, 89, 500.0 }, fast = { 12.0, 89, 500.0 })]
fn a_burst_after_a_pause_keeps_the_rate(rate: f64, n_nodes: usize, demand: f64) {
    for seed in 0..3 {
        let it = arrivals(rate, n_nodes, demand, LENGTH / 2, seed);
        let allowed = rate * 1.5 * WINDOW.as_secs_f64() + SLACK;
        assert!(it.most as f64 <= allowed, "{} in a window, {allowed} allowed", it.most);
    }
}

/// Guards against nodes that never hear whether an endpoint still names a limit, and callers that never get
/// a rotation.
#[parameterized(small = { 1.0, 6 }, large = { 8.0, 89 })]
fn each_node_gets_its_turns(rate: f64, n_nodes: usize) {
    const N_TURNS: u64 = 600;
    let nodes: Vec<u64> = (0..n_nodes).map(|it| hash::bytes(&it.to_le_bytes())).collect();
    let turns = |node: u64| {
        let holds =
            |rotation: &u64| rate_limit::interval(rate, 7, *rotation, node, &nodes).is_some();
        (0..N_TURNS).filter(holds).count()
    };
    let all: Vec<usize> = nodes.iter().map(|it| turns(*it)).collect();
    let mean = all.iter().sum::<usize>() / n_nodes;
    assert!(all.iter().all(|it| mean / 2 <= *it && *it <= mean * 2), "{all:?}, {mean} on average");
}

/// Guards against an endpoint that takes nothing for now and is never asked again.
#[test]
fn an_endpoint_that_takes_nothing_is_asked_now_and_then() {
    for seed in 0..5 {
        let it = arrivals(0.0, 6, 60.0, Duration::ZERO, seed);
        assert!(0.1 < it.mean && it.mean < 0.5, "{} requests a second", it.mean);
        assert!(it.most <= 3, "{} requests in a window", it.most);
    }
}

/// The permits of a node that holds all of them.
struct AllPermits;

impl Permits for AllPermits {
    fn slow_start(&self, _endpoint: u64) -> Option<Duration> {
        Some(Duration::ZERO)
    }

    fn rate_limited(&self, _endpoint: u64, rate: f64) -> Option<Duration> {
        Duration::try_from_secs_f64(1.0 / rate).ok()
    }

    fn rotation(&self) -> u64 {
        0
    }
}

fn admits(directory: &mut Directory, now: Instant) -> bool {
    directory.renew_permits("models", &AllPermits, now);
    directory.get(&"e-1".into()).unwrap().admits(now)
}

/// Guards against a report that was held up and brings back a limit that is over, or ends one that holds.
#[test]
fn a_notice_that_comes_late_changes_nothing() {
    let (mut directory, now, id) = (Directory::default(), Instant::now(), "e-1".into());
    directory.upsert(entry(1, WARM), now);
    let notice = |rate, at| Notice { rate, at: Duration::from_secs(at) };
    assert!(directory.apply_reported_limit(&id, &notice(Some(1.0), 5)));
    assert!(!admits(&mut directory, now));
    assert!(!directory.apply_reported_limit(&id, &notice(None, 4)));
    assert!(!admits(&mut directory, now));
    assert!(directory.apply_reported_limit(&id, &notice(None, 6)));
    assert!(!directory.apply_reported_limit(&id, &notice(Some(1.0), 5)));
    assert!(admits(&mut directory, now));
}

/// Guards against a limit that outlives its endpoint under the same id.
#[test]
fn an_endpoint_that_starts_again_has_no_limit() {
    let (mut directory, now, id) = (Directory::default(), Instant::now(), "e-1".into());
    directory.upsert(entry(1, WARM), now);
    directory.apply_reported_limit(&id, &Notice { rate: Some(1.0), at: Duration::ZERO });
    assert!(!admits(&mut directory, now));
    directory.upsert(entry(2, WARM), now);
    assert!(admits(&mut directory, now));
}

/// Guards against a limit that is forgotten as the endpoint's entry lapses with the store and comes back.
#[test]
fn a_limit_outlives_the_entry_of_its_endpoint() {
    let (mut directory, now, id) = (Directory::default(), Instant::now(), "e-1".into());
    directory.upsert(entry(1, WARM), now);
    directory.apply_reported_limit(&id, &Notice { rate: Some(1.0), at: Duration::ZERO });
    directory.remove(&id, now);
    directory.upsert(entry(1, WARM), now + Duration::from_secs(2));
    assert!(!admits(&mut directory, now + Duration::from_secs(2)));
}
