//! Endpoints that report a rate limit, in simulated fleets of different sizes.

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

/// The remaining slow start time of a warm endpoint.
const WARM: Duration = Duration::ZERO;
/// The simulated time span of each case.
const DURATION: Duration = Duration::from_secs(32);
/// The time step of the simulation.
const STEP: Duration = Duration::from_millis(5);
/// The length of the windows in which arrived requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// The number of requests that may arrive in a window in addition to 1.5 times the rate.
const EXTRA_REQUESTS: f64 = 5.0;
/// The maximum delay of a request on its way to the endpoint.
const MAX_DELAY: Duration = Duration::from_millis(60);
/// The maximum difference between the nodes' readings of the store's clock.
const MAX_SKEW: Duration = Duration::from_millis(30);
/// The share of the other nodes that each node does not know yet.
const UNKNOWN_SHARE: f64 = 0.05;

/// The requests that arrived at an endpoint.
struct Arrivals {
    /// The maximum number of requests in any window.
    max_in_window: usize,
    /// The average requests per second.
    mean: f64,
}

/// Simulates a fleet of `n_nodes` that receives `demand` requests per second from `starts_at` on,
/// all of which could be sent to the same endpoint.
fn arrivals(rate: f64, n_nodes: usize, demand: f64, starts_at: Duration, seed: u64) -> Arrivals {
    let (mut rng, start) = (Pcg64::seed_from_u64(seed), Instant::now());
    let node_hashes: Vec<u64> = (0..n_nodes).map(|it| hash::bytes(&it.to_le_bytes())).collect();
    let known: Vec<Vec<u64>> = node_hashes
        .iter()
        .map(|own| {
            let is_known = |it: &&u64| own == *it || UNKNOWN_SHARE <= rng.random();
            node_hashes.iter().filter(is_known).copied().collect()
        })
        .collect();
    let skews: Vec<Duration> = node_hashes.iter().map(|_| MAX_SKEW.mul_f64(rng.random())).collect();
    let mut limits = vec![RateLimit::new(rate); n_nodes];
    let mut arrived = Vec::new();
    let mut due = 0.0;
    let mut elapsed = Duration::ZERO;
    while elapsed < DURATION {
        if starts_at <= elapsed {
            due += demand * STEP.as_secs_f64();
        }
        while 1.0 <= due {
            due -= 1.0;
            let (index, now) = (rng.random_range(0..n_nodes), start + elapsed);
            let rotation = rate_limit::rotation(elapsed + skews[index]);
            let limit = &mut limits[index];
            if limit.is_outdated(rotation, now) {
                let interval =
                    rate_limit::interval(rate, seed, rotation, node_hashes[index], &known[index]);
                limit.set_interval(interval, rotation, now);
            }
            if limit.admits(now) {
                limit.sent(now);
                arrived.push(now + MAX_DELAY.mul_f64(rng.random()));
            }
        }
        elapsed += STEP;
    }
    let mean = arrived.len() as f64 / DURATION.as_secs_f64();
    Arrivals { max_in_window: most_in_window(arrived, WINDOW), mean }
}

/// Guards against each node sending an overloaded endpoint as much as it accepts from all nodes
/// together, and against refusing requests that the endpoint would accept.
#[parameterized(
    one_node = { 1.0, 1, 20.0 },
    small = { 1.0, 6, 60.0 },
    small_and_fast = { 6.0, 6, 60.0 },
    less_than_one = { 0.4, 6, 60.0 },
    large = { 1.0, 89, 500.0 },
    large_and_fast = { 12.0, 89, 500.0 },
    largest = { 1.3, 1_800, 6_000.0 },
)]
fn the_fleet_stays_within_the_reported_rate(rate: f64, n_nodes: usize, demand: f64) {
    for seed in 0..3 {
        let it = arrivals(rate, n_nodes, demand, Duration::ZERO, seed);
        let allowed = rate * 1.5 * WINDOW.as_secs_f64() + EXTRA_REQUESTS;
        assert!(
            it.max_in_window as f64 <= allowed,
            "{} in a window, {allowed} allowed",
            it.max_in_window
        );
        assert!(rate * 0.4 < it.mean, "only {} of {rate} requests per second", it.mean);
        assert!(it.mean <= rate, "{} of {rate} requests per second", it.mean);
    }
}

/// Requests arrive at random times. Guards against refusing those that arrive a little early, while
/// permits stay unused.
#[test]
fn few_requests_per_node_use_most_of_the_rate() {
    for seed in 0..5 {
        let it = arrivals(4.0, 6, 16.0, Duration::ZERO, seed);
        assert!(4.0 * 0.65 < it.mean, "only {} of 4 requests per second", it.mean);
    }
}

/// Guards against all nodes sending a burst of requests at once after their permits were unused.
#[parameterized(small = { 1.0, 6, 60.0 }, large = { 1.0, 89, 500.0 }, fast = { 12.0, 89, 500.0 })]
fn requests_after_an_idle_time_stay_within_the_rate(rate: f64, n_nodes: usize, demand: f64) {
    for seed in 0..3 {
        let it = arrivals(rate, n_nodes, demand, DURATION / 2, seed);
        let allowed = rate * 1.5 * WINDOW.as_secs_f64() + EXTRA_REQUESTS;
        assert!(
            it.max_in_window as f64 <= allowed,
            "{} in a window, {allowed} allowed",
            it.max_in_window
        );
    }
}

/// Guards against nodes that never get a permit. Such a node could never send its callers'
/// requests, nor learn whether the endpoint still reports a limit.
#[parameterized(small = { 1.0, 6 }, large = { 8.0, 89 })]
fn each_node_holds_permits_about_equally_often(rate: f64, n_nodes: usize) {
    const N_ROTATIONS: u64 = 600;
    let nodes: Vec<u64> = (0..n_nodes).map(|it| hash::bytes(&it.to_le_bytes())).collect();
    let n_permits = |node: u64| {
        let holds =
            |rotation: &u64| rate_limit::interval(rate, 7, *rotation, node, &nodes).is_some();
        (0..N_ROTATIONS).filter(holds).count()
    };
    let permit_counts: Vec<usize> = nodes.iter().map(|it| n_permits(*it)).collect();
    let mean = permit_counts.iter().sum::<usize>() / n_nodes;
    assert!(
        permit_counts.iter().all(|it| mean / 2 <= *it && *it <= mean * 2),
        "{permit_counts:?}, {mean} on average"
    );
}

/// An endpoint reports a limit of zero. Guards against sending it no requests at all, so that the
/// end of the limit is never detected.
#[test]
fn an_endpoint_that_accepts_nothing_is_still_probed() {
    for seed in 0..5 {
        let it = arrivals(0.0, 6, 60.0, Duration::ZERO, seed);
        assert!(0.1 < it.mean && it.mean < 0.5, "{} requests per second", it.mean);
        assert!(it.max_in_window <= 3, "{} requests in a window", it.max_in_window);
    }
}

/// Permits that allow requests at any time.
struct UnlimitedPermits;

impl Permits for UnlimitedPermits {
    fn rank(&self, _: u64) -> (u32, u32) {
        (0, 1)
    }

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
    directory.renew_permits("models", &UnlimitedPermits, now);
    directory.get(&"e-1".into()).unwrap().admits(now)
}

/// Guards against a delayed report that restores a withdrawn limit, or withdraws one that is in
/// force.
#[test]
fn an_outdated_report_is_ignored() {
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

/// Guards against a limit that still applies after the endpoint restarted under the same id.
#[test]
fn a_restarted_endpoint_has_no_limit() {
    let (mut directory, now, id) = (Directory::default(), Instant::now(), "e-1".into());
    directory.upsert(entry(1, WARM), now);
    directory.apply_reported_limit(&id, &Notice { rate: Some(1.0), at: Duration::ZERO });
    assert!(!admits(&mut directory, now));
    directory.upsert(entry(2, WARM), now);
    assert!(admits(&mut directory, now));
}

/// Guards against losing a limit when the endpoint's entry lapses during a store outage and is
/// added again.
#[test]
fn a_limit_survives_the_removal_of_the_entry() {
    let (mut directory, now, id) = (Directory::default(), Instant::now(), "e-1".into());
    directory.upsert(entry(1, WARM), now);
    directory.apply_reported_limit(&id, &Notice { rate: Some(1.0), at: Duration::ZERO });
    directory.remove(&id, now);
    directory.upsert(entry(1, WARM), now + Duration::from_secs(2));
    assert!(!admits(&mut directory, now + Duration::from_secs(2)));
}
