//! Simulates many nodes that send short calls to three endpoints with few slots, and compares ways
//! to choose the endpoint by the 99th percentile of the call times.

use std::time::{Duration, Instant};

use curranthook_gateway::load::occupancy::{Observation, Occupancy};
use curranthook_policy::slowdown::{Estimate, Factor, Figure};
use rand::{RngExt, SeedableRng, seq::IteratorRandom};
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64;
use yare::parameterized;

const N_NODES: usize = 84;
const SLOTS: u32 = 6;
const SIMULATED_TIME: f64 = 30.0;
/// The delay of a message between failure domains, in seconds.
const NETWORK_DELAY: f64 = 0.0009;
/// The minimum interval between two reports of a node, in seconds.
const REPORT_INTERVAL: f64 = 0.02;
/// The longest work of a call, in seconds.
const MAX_WORK: f64 = 0.11;
/// How long a node uses the load in an answer, in seconds.
const LOAD_EXPIRY: f64 = 1.0;
/// The length of the periods in which an endpoint is slowed down or not, in seconds.
const SLOWDOWN_PERIOD: f64 = 0.6;
/// How long work takes in a period of slowdown, relative to other periods.
const SLOWDOWN: f64 = 2.5;

/// How a node chooses the endpoint of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Method {
    /// Asks the owners of two endpoints, which know the slowdowns that they observed themselves.
    Owners,
    /// Asks the owners of two endpoints, to which nodes also report the slowdowns they observe.
    OwnersWithSlowdowns,
    /// The less loaded of two random endpoints, by the loads in the node's own answers.
    PowerOfTwo,
    /// The endpoint with the fewest requests of all nodes, which the node knows without delay.
    Omniscient,
    /// A random endpoint.
    Random,
}

/// The load of the endpoints.
#[derive(Debug, Clone, Copy)]
struct Demand {
    calls_per_second: f64,
    /// The share of periods in which an endpoint is slowed down.
    slow_share: f64,
    n_endpoints: usize,
}

/// A call at an endpoint. Times are in seconds.
#[derive(Debug, Clone, Copy)]
struct Call {
    node: usize,
    arrived_at: f64,
    ended_at: f64,
    /// Whether the nodes that learn of it have recorded the slowdown in its answer.
    is_recorded: bool,
}

#[derive(Debug, Clone, Default)]
struct Endpoint {
    calls: Vec<Call>,
    slots_free_at: Vec<f64>,
    slow_periods: Vec<bool>,
    /// The slowdown as each node estimates it.
    slowdowns: Vec<Estimate>,
}

impl Endpoint {
    fn slowdown(&self, at: f64) -> f64 {
        let period = (at / SLOWDOWN_PERIOD) as usize;
        if self.slow_periods[period] { SLOWDOWN } else { 1.0 }
    }

    fn n_requests(&self, at: f64) -> u32 {
        let present = self.calls.iter().filter(|it| it.arrived_at <= at && at < it.ended_at);
        present.count() as u32
    }

    /// The number of requests of all nodes but `requester` that the owner knows of.
    fn n_reported(&self, requester: usize, at: f64) -> u32 {
        let others = self.calls.iter().filter(|it| it.node != requester);
        let reported = others.filter(|it| {
            // A call is sent and reported at the same time; the report of its end may have to wait.
            let reported_until = it.ended_at.max(it.arrived_at + REPORT_INTERVAL) + NETWORK_DELAY;
            it.arrived_at <= at && at < reported_until + NETWORK_DELAY
        });
        reported.count() as u32
    }

    fn n_own(&self, node: usize, at: f64) -> u32 {
        let own = self.calls.iter().filter(|it| it.node == node);
        own.filter(|it| at < it.ended_at + NETWORK_DELAY).count() as u32
    }

    /// The load in the last answer that one of the nodes for which `is_observer` returns true has
    /// received.
    fn observation(&self, is_observer: impl Fn(usize) -> bool, at: f64) -> Option<Observation> {
        let answers = self.calls.iter().filter(|it| is_observer(it.node));
        let received = answers.map(|it| it.ended_at).filter(|it| it + NETWORK_DELAY <= at);
        let last = received.max_by(f64::total_cmp)?;
        let requests = self.n_requests(last);
        Some(Observation { requests, age: Duration::from_secs_f64(at - last) })
    }

    /// Records the slowdowns in the answers that arrived until `at`: at the nodes that got them, and
    /// at `owner` if they report them.
    fn record_slowdowns(&mut self, owner: usize, is_reported: bool, start: Instant, at: f64) {
        let is_new = |it: &&mut Call| !it.is_recorded && it.ended_at + NETWORK_DELAY <= at;
        let mut calls: Vec<_> = self.calls.iter_mut().filter(is_new).collect();
        calls.iter_mut().for_each(|it| it.is_recorded = true);
        let ended: Vec<_> = calls.into_iter().map(|it| (it.node, it.ended_at)).collect();
        for (node, ended_at) in ended {
            let factor = Factor::new(self.slowdown(ended_at)).unwrap();
            let received_at = start + Duration::from_secs_f64(ended_at + NETWORK_DELAY);
            let figure = Figure { factor, at: received_at };
            self.slowdowns[node].record(figure);
            if is_reported && node != owner {
                self.slowdowns[owner].record(figure);
            }
        }
    }

    /// Records the newest slowdown that the owner knows at the node that asked it.
    fn answer(&mut self, owner: usize, node: usize) {
        if let Some(figure) = self.slowdowns[owner].newest() {
            self.slowdowns[node].record(figure);
        }
    }

    /// Runs a call that arrives at `now` and returns when it ends.
    fn run(&mut self, node: usize, now: f64, work: f64) -> f64 {
        self.calls.retain(|it| now < it.ended_at + 2.0);
        let slot = self.slots_free_at.iter_mut().min_by(|a, b| a.total_cmp(b)).unwrap();
        let start = slot.max(now);
        let is_slow = self.slow_periods[(start / SLOWDOWN_PERIOD) as usize];
        let slowdown = if is_slow { SLOWDOWN } else { 1.0 };
        let end = start + work * slowdown;
        *slot = end;
        self.calls.push(Call { node, arrived_at: now, ended_at: end, is_recorded: false });
        end
    }
}

/// The endpoint's load as the node estimates it from its own answers.
fn own_estimate(endpoint: &Endpoint, node: usize, now: f64) -> u32 {
    let last = endpoint.observation(|it| it == node, now);
    let recent = last.filter(|it| it.age.as_secs_f64() < LOAD_EXPIRY);
    recent.map_or(0, |it| it.requests) + endpoint.n_own(node, now)
}

fn choose(
    method: Method,
    endpoints: &mut [Endpoint],
    node: usize,
    start: Instant,
    now: f64,
    rng: &mut Pcg64,
) -> usize {
    let two = (0..endpoints.len()).sample(rng, 2);
    let random_order = (0..endpoints.len()).sample(rng, endpoints.len());
    // The nodes 0 to 2 own the endpoints of the same index.
    for (owner, it) in endpoints.iter_mut().enumerate() {
        it.record_slowdowns(owner, method == Method::OwnersWithSlowdowns, start, now);
        if two.contains(&owner) {
            it.answer(owner, node);
        }
    }
    let endpoints = &*endpoints;
    let by_owner = |index: &usize| {
        let endpoint = &endpoints[*index];
        let owner = *index;
        let observers = |it| it == owner || it == node;
        let at = start + Duration::from_secs_f64(now);
        let occupancy = Occupancy {
            own: endpoint.n_own(node, now),
            others: Some(endpoint.n_reported(node, now)),
            observed: endpoint.observation(observers, now),
            slowdown: endpoint.slowdowns[node].expected(at),
            ..Occupancy::default()
        };
        occupancy.expected_time(SLOTS)
    };
    let own = |index: &usize| own_estimate(&endpoints[*index], node, now);
    let chosen = match method {
        Method::Owners | Method::OwnersWithSlowdowns => two.into_iter().min_by_key(by_owner),
        Method::PowerOfTwo => two.into_iter().min_by_key(own),
        Method::Omniscient => {
            random_order.into_iter().min_by_key(|it| endpoints[*it].n_requests(now))
        }
        Method::Random => two.first().copied(),
    };
    chosen.unwrap()
}

/// The 99th percentile of the call times, in milliseconds.
fn simulate(method: Method, demand: Demand, seed: u64) -> f64 {
    let mut rng = Pcg64::seed_from_u64(seed);
    let n_periods = (SIMULATED_TIME / SLOWDOWN_PERIOD) as usize + 1_000;
    let mut endpoints: Vec<_> = (0..demand.n_endpoints)
        .map(|_| Endpoint {
            calls: Vec::new(),
            slots_free_at: vec![0.0; SLOTS as usize],
            slowdowns: vec![Estimate::default(); N_NODES],
            slow_periods: (0..n_periods).map(|_| rng.random::<f64>() < demand.slow_share).collect(),
        })
        .collect();
    let work = LogNormal::new(0.011_f64.ln(), 0.8).unwrap();
    let (start, mut now, mut times) = (Instant::now(), 0.0, Vec::new());
    while now < SIMULATED_TIME {
        now -= (1.0 - rng.random::<f64>()).ln() / demand.calls_per_second;
        let node = rng.random_range(0..N_NODES);
        let work = work.sample(&mut rng).min(MAX_WORK);
        let index = choose(method, &mut endpoints, node, start, now, &mut rng);
        let asks = matches!(method, Method::Owners | Method::OwnersWithSlowdowns);
        let sent_at = if asks { now + 2.0 * NETWORK_DELAY } else { now };
        let ended_at = endpoints[index].run(node, sent_at + NETWORK_DELAY, work);
        times.push(ended_at + NETWORK_DELAY - now);
    }
    times.sort_by(f64::total_cmp);
    times[times.len() * 99 / 100] * 1e3
}

/// Each node sees a call or two per second at three endpoints, so it does not see the load of the
/// others. Guards against an estimate or reports that let the owners' numbers mislead the nodes:
/// calls that ask the owners must be about as fast as if each node knew all requests, in bursts
/// too, and faster if the nodes also share the slowdowns that they observe.
#[parameterized(
    usual = { Demand { calls_per_second: 190.0, slow_share: 0.15, n_endpoints: 3 } },
    burst = { Demand { calls_per_second: 361.0, slow_share: 0.15, n_endpoints: 3 } },
    one_endpoint_lost = { Demand { calls_per_second: 190.0, slow_share: 0.15, n_endpoints: 2 } },
    half_of_all_slots_busy = { Demand { calls_per_second: 600.0, slow_share: 0.15, n_endpoints: 3 } },
)]
fn asking_owners_is_about_as_fast_as_knowing_all_requests(demand: Demand) {
    let p99 = |method| (1..=2).map(|seed| simulate(method, demand, seed)).sum::<f64>() / 2.0;
    let owners = p99(Method::Owners);
    let with_slowdowns = p99(Method::OwnersWithSlowdowns);
    let (power_of_two, omniscient) = (p99(Method::PowerOfTwo), p99(Method::Omniscient));
    let random = p99(Method::Random);
    let all = format!(
        "p99 in ms: owners {owners:.0}, owners with slowdowns {with_slowdowns:.0}, power of two \
         {power_of_two:.0}, omniscient {omniscient:.0}, random {random:.0}"
    );
    println!("{demand:?} {all}");
    assert!(owners < 1.25 * omniscient, "{all}");
    assert!(owners < 1.05 * power_of_two, "{all}");
    assert!(with_slowdowns < 0.95 * owners, "{all}");
    assert!(owners < random, "{all}");
}

/// Without slowdowns and with most slots free, no method may be slower than spreading evenly by
/// more than the round trip to the owners.
#[test]
fn asking_owners_costs_a_round_trip_while_endpoints_are_idle() {
    let demand = Demand { calls_per_second: 113.0, slow_share: 0.0, n_endpoints: 3 };
    let (owners, random) =
        (simulate(Method::Owners, demand, 1), simulate(Method::Random, demand, 1));
    assert!(owners < random + 3.0, "p99 in ms: owners {owners}, random {random}");
}
