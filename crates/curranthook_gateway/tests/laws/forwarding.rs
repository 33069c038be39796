//! Requests that nodes forward while a part of the fleet is cut off from the endpoints.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use curranthook_gateway::{
    fleet::Node,
    forwarding::candidates::{Candidates, MAX_CANDIDATES},
};
use curranthook_types::domain;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::law::{Law, N_NODES};

const N_DOMAINS: usize = 5;
/// The draws that an average is taken over.
const N_DRAWS: usize = 10;
/// The requests of each node that is cut off.
const N_REQUESTS: usize = 10;

fn name(n: usize) -> String {
    format!("node-{n}")
}

fn domain_of(n: usize) -> domain::Id {
    format!("domain-{}", n % N_DOMAINS).as_str().into()
}

fn fleet(n_nodes: usize) -> HashMap<String, Node> {
    let node = |n: usize| Node {
        peers: ([10, 0, (n / 250) as u8, (n % 250) as u8], 7_000).into(),
        reports: None,
        domain: Some(domain_of(n)),
        capacity: 1.0,
        joined: None,
    };
    (0..n_nodes).map(|n| (name(n), node(n))).collect()
}

/// What the forwarded requests of a fleet cost.
#[derive(Debug, Default)]
struct Cost {
    /// The nodes that were asked, for all requests together.
    n_asked: usize,
    n_requests: usize,
    /// The requests that no node took.
    n_refused: usize,
    /// The nodes that one node looked at to choose, over all of its requests.
    n_examined: usize,
    /// The requests that the busiest node took.
    max_taken: usize,
}

/// Cuts off one failure domain and a tenth of the other nodes, each of which then forwards its
/// requests.
fn forward_all(n_nodes: usize) -> Cost {
    let (peers, start) = (fleet(n_nodes), Instant::now());
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let is_cut = |n: usize| n.is_multiple_of(N_DOMAINS) || n % 11 == 1;
    let cut: Vec<usize> = (0..n_nodes).filter(|n| is_cut(*n)).collect();
    let (mut cost, mut taken) = (Cost::default(), HashMap::<String, usize>::new());
    let cut_names: std::collections::HashSet<_> = cut.iter().map(|it| name(*it)).collect();
    for n in cut {
        let mut candidates = Candidates::default();
        for request in 0..N_REQUESTS {
            let now = start + Duration::from_millis(200) * request as u32;
            candidates.refresh(&peers, (&name(n), &domain_of(n)), now, &mut rng);
            cost.n_requests += 1;
            let mut tried = Vec::new();
            let is_taken = loop {
                let Some(chosen) = candidates.choose(&tried, now) else { break false };
                let asked = chosen.name.clone();
                cost.n_asked += 1;
                if !cut_names.contains(&asked) {
                    *taken.entry(asked).or_default() += 1;
                    break true;
                }
                candidates.back_off(&asked, now);
                tried.push(asked);
            };
            cost.n_refused += usize::from(!is_taken);
        }
        cost.n_examined = cost.n_examined.max(candidates.n_examined());
    }
    cost.max_taken = taken.values().copied().max().unwrap_or(0);
    cost
}

/// Guards against a storm of questions as a failure domain and a part of the others are cut off at
/// once.
#[test]
fn nodes_asked_per_request_do_not_grow_with_the_fleet() {
    Law::Constant.assert(&N_NODES, |n| {
        let cost = forward_all(n);
        assert_eq!(cost.n_refused, 0, "{cost:?}");
        assert!(2 * cost.n_asked < 3 * cost.n_requests, "{cost:?}");
        1_000 * cost.n_asked / cost.n_requests
    });
}

/// Guards against a choice that looks at all nodes for each request.
#[test]
fn nodes_are_drawn_once_for_many_requests() {
    for n in N_NODES {
        assert_eq!(forward_all(n).n_examined, n, "one draw in five seconds");
    }
}

/// Guards against many nodes that forward to the same few.
#[test]
fn forwarded_requests_spread_over_the_fleet() {
    // The busiest node of a single draw is a matter of chance.
    let mean = |n| (0..N_DRAWS).map(|_| 100 * forward_all(n).max_taken).sum::<usize>() / N_DRAWS;
    Law::Logarithmic.assert(&N_NODES, mean);
}

/// Guards against asking only nodes of the own failure domain, all of which may be cut off.
#[test]
fn nodes_of_other_failure_domains_are_preferred() {
    let peers = fleet(40);
    let (mut candidates, mut rng) = (Candidates::default(), Pcg64Mcg::seed_from_u64(1));
    let now = Instant::now();
    candidates.refresh(&peers, ("node-0", &domain_of(0)), now, &mut rng);
    let mut asked = Vec::new();
    while let Some(chosen) = candidates.choose(&asked, now) {
        asked.push(chosen.name.clone());
    }
    assert_eq!(asked.len(), MAX_CANDIDATES);
    assert!(asked.iter().all(|it| peers[it].domain != Some(domain_of(0))), "{asked:?}");
}

/// Guards against a node that seems busy for good, as callers left while their requests were
/// forwarded to it.
#[test]
fn request_of_a_caller_who_left_is_not_in_flight() {
    let peers = fleet(3);
    let (mut candidates, mut rng) = (Candidates::default(), Pcg64Mcg::seed_from_u64(1));
    let now = Instant::now();
    candidates.refresh(&peers, ("node-0", &domain_of(0)), now, &mut rng);
    let first = candidates.choose(&[], now).unwrap();
    let (left, second) = (first.name.clone(), candidates.choose(&[], now).unwrap());
    drop(first);
    assert_eq!(candidates.choose(&[], now).unwrap().name, left, "{} is busy", second.name);
}
