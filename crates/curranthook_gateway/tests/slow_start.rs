//! Endpoints in slow start, before fleets of any size.

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

const LENGTH: Duration = Duration::from_secs(20);
const STEP: Duration = Duration::from_millis(5);
/// How long a request may be held up on its way to the endpoint.
const MAX_HELD_UP: Duration = Duration::from_millis(60);
/// The share of nodes that each node doesn't know of.
const UNKNOWN: f64 = 0.05;

/// The most requests in any second, and the mean.
fn arrivals(rate: f64, n_nodes: usize, seed: u64) -> (usize, f64) {
    let (mut rng, start) = (Pcg64::seed_from_u64(seed), Instant::now());
    let seeds: Vec<u64> = (0..n_nodes).map(|it| hash::bytes(&it.to_le_bytes())).collect();
    let end = start + LENGTH;
    let mut nodes: Vec<SlowStart> = seeds
        .iter()
        .map(|own| {
            let known = seeds.iter().filter(|it| own == *it || UNKNOWN <= rng.random());
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
            arrived.push(now + MAX_HELD_UP.mul_f64(rng.random()));
        }
        now += STEP;
    }
    let mean = arrived.len() as f64 / LENGTH.as_secs_f64();
    (most_in_window(arrived, Duration::from_secs(1)), mean)
}

/// Guards against a crash of an endpoint that has just started, as all nodes send it what a warm one takes,
/// and against keeping it from work that it would take.
#[parameterized(
    one_node = { 8.4, 1 },
    small = { 8.4, 6 },
    as_many_nodes_as_requests = { 8.4, 9 },
    large = { 8.4, 81 },
    largest = { 8.4, 1_800 },
    fast = { 40.0, 81 },
    slow = { 1.5, 81 },
)]
fn the_fleet_keeps_the_rate_of_a_slow_start(rate: f64, n_nodes: usize) {
    for seed in 0..5 {
        let (most, mean) = arrivals(rate, n_nodes, seed);
        assert!(most as f64 <= rate * 1.5 + 5.0, "{most} requests in a second of {rate}");
        assert!(rate * 0.5 < mean, "only {mean} of {rate} requests a second");
    }
}

/// The permits of a node that holds none.
struct NoPermits;

impl Permits for NoPermits {
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

/// Guards against overlooking an endpoint that turns cold while it's in use, or starts again under its id.
#[parameterized(in_use = { 1 }, started_again = { 2 })]
fn an_endpoint_that_turns_cold_is_in_slow_start(born: u64) {
    let (mut directory, now) = (Directory::default(), Instant::now());
    directory.upsert(entry(1, Duration::ZERO), now);
    assert!(admits(&mut directory, now));
    let warm_in = Duration::from_secs(3);
    directory.upsert(entry(born, warm_in), now);
    assert!(!admits(&mut directory, now));
    assert!(admits(&mut directory, now + warm_in));
}

/// Guards against keeping an endpoint in slow start that says it's warm.
#[test]
fn an_endpoint_that_says_it_is_warm_takes_any_load() {
    let (mut directory, now) = (Directory::default(), Instant::now());
    directory.upsert(entry(1, Duration::from_secs(3)), now);
    directory.upsert(entry(1, Duration::ZERO), now);
    assert!(admits(&mut directory, now));
}
