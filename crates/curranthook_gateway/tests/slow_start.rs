//! Endpoints in slow start, in simulated fleets of different sizes.

mod support;

use std::time::{Duration, Instant};

use curranthook_gateway::{
    directory::{Directory, Permits, Tracked},
    permit,
    slow_start::{self, SlowStart},
};
use curranthook_policy::hash;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use yare::parameterized;

use self::support::{entry, most_in_window};

/// The simulated time span of each case.
const DURATION: Duration = Duration::from_secs(20);
/// The time step of the simulation.
const STEP: Duration = Duration::from_millis(5);
/// The maximum delay of a request on its way to the endpoint.
const MAX_DELAY: Duration = Duration::from_millis(60);
/// The share of the other nodes that each node does not know yet.
const UNKNOWN_SHARE: f64 = 0.05;

/// Simulates a fleet of `n_nodes` with unlimited demand. Returns the maximum number of requests
/// that arrive in any second, and the average requests per second.
fn arrivals(rate: f64, n_nodes: usize, seed: u64) -> (usize, f64) {
    let (mut rng, start) = (Pcg64::seed_from_u64(seed), Instant::now());
    let node_hashes: Vec<u64> = (0..n_nodes).map(|it| hash::bytes(&it.to_le_bytes())).collect();
    let end = start + DURATION;
    let mut nodes: Vec<SlowStart> = node_hashes
        .iter()
        .map(|own| {
            let known = node_hashes.iter().filter(|it| own == *it || UNKNOWN_SHARE <= rng.random());
            let known: Vec<u64> = known.copied().collect();
            let mut it = SlowStart::new(end);
            it.share.set_interval(
                permit::interval(slow_start::granted(rate), seed, *own, &known),
                start,
            );
            it
        })
        .collect();
    let mut arrived = Vec::new();
    let mut now = start;
    while now < end {
        for it in nodes.iter_mut().filter(|it| it.admits(now)) {
            it.share.sent(now);
            arrived.push(now + MAX_DELAY.mul_f64(rng.random()));
        }
        now += STEP;
    }
    let mean = arrived.len() as f64 / DURATION.as_secs_f64();
    (most_in_window(arrived, Duration::from_secs(1)), mean)
}

/// Guards against overloading an endpoint that has just started with as many requests from each
/// node as a warm one accepts, and against refusing requests that it would accept.
#[parameterized(
    one_node = { 8.4, 1 },
    small = { 8.4, 6 },
    as_many_nodes_as_requests = { 8.4, 9 },
    large = { 8.4, 81 },
    largest = { 8.4, 1_800 },
    fast = { 40.0, 81 },
    slow = { 1.5, 81 },
)]
fn the_fleet_stays_within_the_rate_of_a_slow_start(rate: f64, n_nodes: usize) {
    for seed in 0..5 {
        let (max_per_second, mean) = arrivals(rate, n_nodes, seed);
        assert!(
            max_per_second as f64 <= rate * 1.5 + 5.0,
            "{max_per_second} requests in a second of {rate}"
        );
        assert!(rate * 0.5 < mean, "only {mean} of {rate} requests per second");
    }
}

/// The permits of a node that may send no requests.
struct NoPermits;

impl Permits for NoPermits {
    fn rank(&self, _: u64) -> (u32, u32) {
        (0, 1)
    }

    fn slow_start(&self, _endpoint: u64) -> Option<Duration> {
        None
    }

    fn rate_limited(&self, _endpoint: u64, _rate: f64) -> Option<Duration> {
        None
    }

    fn rotation(&self) -> u64 {
        0
    }
}

fn admits(directory: &mut Directory, now: Instant) -> bool {
    directory.renew_permits("models", &NoPermits, now);
    directory.get(&"e-1".into()).is_some_and(|it: &Tracked| it.admits(now))
}

/// Guards against sending an endpoint the load of a warm one when its entry says that it is cold:
/// because its slow start began while it was in use, or because it restarted under the same id.
#[parameterized(in_use = { 1 }, restarted = { 2 })]
fn an_endpoint_whose_entry_turns_cold_is_in_slow_start(started_ms: u64) {
    let (mut directory, now) = (Directory::default(), Instant::now());
    directory.upsert(entry(1, Duration::ZERO), now);
    assert!(admits(&mut directory, now));
    let remaining = Duration::from_secs(3);
    directory.upsert(entry(started_ms, remaining), now);
    assert!(!admits(&mut directory, now));
    assert!(admits(&mut directory, now + remaining));
}

/// Guards against an endpoint that stays in slow start although its entry says that it is warm.
#[test]
fn a_warm_endpoint_leaves_slow_start() {
    let (mut directory, now) = (Directory::default(), Instant::now());
    directory.upsert(entry(1, Duration::from_secs(3)), now);
    directory.upsert(entry(1, Duration::ZERO), now);
    assert!(admits(&mut directory, now));
}
