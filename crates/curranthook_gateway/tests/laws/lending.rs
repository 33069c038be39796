//! Permits that one node with all callers borrows from the others.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use curranthook_gateway::{
    permit::lenders::{Lenders, Wanted},
    rate_limit::{self, RateLimit},
};
use curranthook_policy::hash;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::law::{Law, N_NODES};

/// The size of the fleet whose questions are counted, too.
const FLEET: usize = 985;
const N_ENDPOINTS: usize = 32;
/// The requests per second that each endpoint accepts.
const RATE: f64 = 8.0;
/// The share of the granted rate that callers ask for.
const DEMAND: f64 = 0.7;
const DURATION: Duration = Duration::from_secs(12);
/// How long the network takes to the holder and back.
const ROUND_TRIP: Duration = Duration::from_millis(3);
/// The number of holders that are asked for a request.
const MAX_ASKED: usize = 3;

/// What the borrowed permits cost.
#[derive(Debug, Default)]
struct Cost {
    n_requests: usize,
    n_served: usize,
    n_asked: usize,
    n_ranked: usize,
    /// The most requests to one endpoint in any second.
    max_in_a_second: usize,
}

fn addr(n: usize) -> SocketAddr {
    ([10, 0, (n / 250) as u8, (n % 250) as u8], 7_000).into()
}

fn name_hash(n: usize) -> u64 {
    hash::bytes(format!("node-{n}").as_bytes())
}

/// All callers of a fleet of `n_nodes` are at node 0.
fn serve_all_at_one_node(n_nodes: usize) -> Cost {
    let (start, mut rng) = (Instant::now(), Pcg64Mcg::seed_from_u64(5));
    let hashes: Vec<u64> = (0..n_nodes).map(name_hash).collect();
    let by_addr: HashMap<SocketAddr, u64> = (0..n_nodes).map(|n| (addr(n), hashes[n])).collect();
    let endpoints: Vec<u64> = (0..N_ENDPOINTS).map(|n| hash::bytes(&n.to_le_bytes())).collect();
    let mut limits: HashMap<(SocketAddr, usize), RateLimit> = HashMap::new();
    let mut sent: Vec<Vec<Instant>> = vec![Vec::new(); N_ENDPOINTS];
    let (mut lenders, mut cost) = (Lenders::default(), Cost::default());
    let interval =
        Duration::from_secs_f64(1.0 / (DEMAND * rate_limit::granted(RATE) * N_ENDPOINTS as f64));
    let mut elapsed = Duration::ZERO;
    while elapsed < DURATION {
        elapsed += interval;
        cost.n_requests += 1;
        let rotation = rate_limit::rotation(elapsed);
        let wanted = |n: &usize| Wanted {
            id: format!("w-{n}").as_str().into(),
            key: hash::pair(endpoints[*n], rotation),
            rate: rate_limit::granted(RATE),
        };
        let first = cost.n_requests % N_ENDPOINTS;
        let order: Vec<usize> = (first..N_ENDPOINTS).chain(0..first).collect();
        let wanted: Vec<_> = order.iter().map(wanted).collect();
        let (mut asked, mut now) = (Vec::new(), start + elapsed);
        while asked.len() < MAX_ASKED {
            let nodes = || (0..n_nodes).map(|n| (hashes[n], (n != 0).then(|| addr(n)))).collect();
            lenders.refresh(nodes, now);
            let Some(question) = lenders.choose(&wanted, &asked, now, &mut rng) else { break };
            cost.n_asked += 1;
            asked.push(question.holder);
            now += ROUND_TRIP / 2;
            let mut lent = None;
            for id in &question.endpoints {
                let position = wanted.iter().position(|it| it.id == *id).unwrap();
                let limit = limits.entry((question.holder, order[position]));
                let limit = limit.or_insert_with(|| RateLimit::new(RATE));
                if limit.is_outdated(rotation, now) {
                    let endpoint = endpoints[order[position]];
                    let node = by_addr[&question.holder];
                    let interval = rate_limit::interval(RATE, endpoint, rotation, node, &hashes);
                    limit.set_interval(interval, rotation, now);
                }
                if lent.is_none() && limit.admits(now) {
                    limit.sent(now);
                    lent = Some(order[position]);
                }
                let due = limit.due_in(now).expect("only holders are asked");
                lenders.set_due(wanted[position].key, question.holder, now + due);
            }
            now += ROUND_TRIP / 2;
            if let Some(endpoint) = lent {
                sent[endpoint].push(now);
                cost.n_served += 1;
                break;
            }
        }
    }
    cost.n_ranked = lenders.n_ranked();
    let second = Duration::from_secs(1);
    let in_a_second = |times: &Vec<Instant>| {
        let within = |first: &Instant| {
            times.iter().filter(|it| *first <= **it && **it < *first + second).count()
        };
        times.iter().map(within).max().unwrap_or(0)
    };
    cost.max_in_a_second = sent.iter().map(in_a_second).max().unwrap_or(0);
    cost
}

/// Guards against a node with all callers that asks more nodes the larger the fleet is.
#[test]
fn questions_per_request_do_not_grow_with_the_fleet() {
    Law::Constant.assert(&N_NODES, |n| {
        let cost = serve_all_at_one_node(n);
        1_000 * cost.n_asked / cost.n_served
    });
}

/// Guards against permits of many holders that are never found.
#[test]
fn node_with_all_callers_uses_the_permits_of_the_fleet() {
    for n in N_NODES.into_iter().chain([4, 24, 40, 82, FLEET]) {
        let cost = serve_all_at_one_node(n);
        assert!(3 * cost.n_requests <= 4 * cost.n_served, "{n} nodes: {cost:?}");
        assert!(cost.n_asked <= 2 * cost.n_requests, "{n} nodes: {cost:?}");
    }
}

/// Guards against lent permits that exceed the rate of an endpoint.
#[test]
fn lent_permits_stay_within_the_rate() {
    for n in N_NODES.into_iter().chain([4, 24, 40, 82, FLEET]) {
        let cost = serve_all_at_one_node(n);
        // Each holder may send one request before it is due.
        let allowed = 2.0 * RATE + 1.0;
        assert!(cost.max_in_a_second as f64 <= allowed, "{n} nodes: {cost:?}");
    }
}

/// Guards against a pass over all nodes for each endpoint and request.
#[test]
fn holders_are_determined_once_a_second_and_endpoint() {
    for n in N_NODES {
        let cost = serve_all_at_one_node(n);
        let most = N_ENDPOINTS * (DURATION.as_secs() as usize + 1) * 2;
        assert!(cost.n_ranked <= most, "{n} nodes: {cost:?}");
    }
}
