//! The tree by which changes reach the nodes of a large fleet.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use curranthook_gateway::{
    mirror::Mirror,
    relays::{self, Node},
    store::{Batch, Rev, Row, Table},
};
use curranthook_types::domain;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use yare::parameterized;

/// A fleet of equal or unequal nodes, spread over failure domains in turn.
struct Fleet {
    names: Vec<String>,
    domains: Vec<domain::Id>,
    capacities: Vec<f64>,
}

impl Fleet {
    fn new(n_nodes: usize, n_domains: usize) -> Self {
        let domain = |n: usize| domain::Id::new(format!("z-{}", n % n_domains));
        Self {
            names: (0..n_nodes).map(|n| format!("node-{n}")).collect(),
            domains: (0..n_nodes).map(domain).collect(),
            capacities: (0..n_nodes).map(|n| [20.0, 50.0, 200.0][n / n_domains % 3]).collect(),
        }
    }

    fn nodes(&self) -> Vec<Node<'_>> {
        let node = |n: usize| Node {
            name: &self.names[n],
            capacity: self.capacities[n],
            domain: Some(&self.domains[n]),
        };
        (0..self.names.len()).map(node).collect()
    }

    /// The parents of each node, by its place.
    fn parents(&self) -> Vec<Vec<(usize, Duration)>> {
        let nodes = self.nodes();
        let place = |name: &str| self.names.iter().position(|it| it == name).unwrap();
        let parents = |it: &String| relays::parents(it, &nodes);
        let placed = |it: Vec<relays::Parent<'_>>| -> Vec<_> {
            it.into_iter().map(|it| (place(it.name), it.max_age)).collect()
        };
        self.names.iter().map(|it| placed(parents(it))).collect()
    }
}

/// A node that had to serve hundreds of others on a weak link would have no room for its callers.
#[parameterized(
    flat = { 18, 5 },
    middle = { 62, 3 },
    large = { 295, 5 },
    target = { 1_803, 27 },
)]
fn one_node_watches_the_store_and_none_serves_too_many(n_nodes: usize, n_domains: usize) {
    let fleet = Fleet::new(n_nodes, n_domains);
    let parents = fleet.parents();
    let roots = parents.iter().filter(|it| it.is_empty()).count();
    assert_eq!(roots, 1);
    let mut children: HashMap<usize, usize> = HashMap::new();
    for parents in parents.iter().filter(|it| !it.is_empty()) {
        *children.entry(parents[0].0).or_default() += 1;
    }
    let most = *children.values().max().unwrap();
    let bound = 24.max(2 * n_nodes.isqrt());
    assert!(most <= bound, "one node has {most} children");
    let serving: Vec<_> = children.keys().map(|it| fleet.capacities[*it]).collect();
    let is_large = |it: &f64| 50.0 <= *it;
    assert!(serving.iter().all(is_large), "{serving:?}");
}

/// What crosses failure domains is charged for, and a node asks its parent more than once a second.
#[test]
fn leaves_wait_in_their_own_failure_domain() {
    let fleet = Fleet::new(295, 5);
    let parents = fleet.parents();
    let leaves = parents
        .iter()
        .enumerate()
        .filter(|(_, it)| it.first().is_some_and(|(parent, _)| !parents[*parent].is_empty()));
    let mut n_leaves = 0;
    for (leaf, parents) in leaves {
        assert_eq!(fleet.domains[leaf], fleet.domains[parents[0].0], "{}", fleet.names[leaf]);
        n_leaves += 1;
    }
    assert!(250 < n_leaves, "{n_leaves} leaves");
}

/// A failure domain is lost for good, and the rows of its nodes stay. Everybody else must find a parent
/// or watch the store; were all roots in that domain, every relay would watch the store from then on.
#[parameterized(middle = { 62, 3 }, large = { 295, 5 })]
fn the_loss_of_a_failure_domain_leaves_a_root(n_nodes: usize, n_domains: usize) {
    let fleet = Fleet::new(n_nodes, n_domains);
    let parents = fleet.parents();
    for lost in 0..n_domains {
        let is_lost = |it: usize| it % n_domains == lost;
        let left: Vec<_> = (0..n_nodes).filter(|it| !is_lost(*it)).collect();
        let alive = |it: usize| parents[it].iter().filter(|(it, _)| !is_lost(*it)).count();
        let watching: HashSet<_> = left.iter().filter(|it| alive(**it) == 0).collect();
        assert!(watching.len() <= 2, "without {lost}, {} nodes watch the store", watching.len());
    }
}

/// A node that is added isn't in the list until its own row comes back to it. If it took itself for the root
/// meanwhile, each added node would read all tables in the store.
#[parameterized(flat = { 18, 5 }, large = { 295, 5 })]
fn a_node_that_is_not_listed_yet_has_parents(n_nodes: usize, n_domains: usize) {
    let fleet = Fleet::new(n_nodes, n_domains);
    assert!(!relays::parents("node-new", &fleet.nodes()).is_empty());
}

/// A node of the model check: what it knows, and which of its ways are open.
struct Model {
    mirror: Mirror,
    reaches_store: bool,
    reaches_parents: bool,
}

/// Nodes lose the store and each other in any order, for any time, and wait at parents who may be
/// cut off themselves. A node that believed itself fresh while rows were missing would serve a configuration
/// that is no longer in force, and tell others so.
#[test]
fn no_node_believes_itself_fresh_when_it_isnt() {
    const MAX_AGE: Duration = Duration::from_millis(2_200);
    const STEP: Duration = Duration::from_millis(50);
    for seed in 0..12 {
        let mut rng = StdRng::seed_from_u64(seed);
        let fleet = Fleet::new(rng.random_range(13..60), 3);
        let parents = fleet.parents();
        let new =
            || Model { mirror: Mirror::default(), reaches_store: true, reaches_parents: true };
        let mut nodes: Vec<_> = parents.iter().map(|_| new()).collect();
        let start = Instant::now();
        // When each revision was written.
        let mut written = vec![start];
        for step in 0..400_u32 {
            let now = start + STEP * step;
            if rng.random_bool(0.1) {
                written.push(now);
            }
            for _ in 0..nodes.len() / 4 {
                let it = rng.random_range(0..nodes.len());
                match rng.random_range(0..12) {
                    0 => nodes[it].reaches_store ^= true,
                    1 => nodes[it].reaches_parents ^= true,
                    _ => ask(&mut nodes, it, &parents[it], &written, now),
                }
            }
            for (name, it) in fleet.names.iter().zip(&nodes) {
                if !it.mirror.is_fresh(Table::Operator, MAX_AGE, now) {
                    continue;
                }
                let known = usize::try_from(it.mirror.rev(Table::Operator).0).unwrap();
                let missing = written.get(known).is_some_and(|at| MAX_AGE < now - *at);
                assert!(!missing, "seed {seed}: {name} misses {known} at {:?}", now - start);
            }
        }
    }
}

/// A node asks its parents in order and then the store.
fn ask(
    nodes: &mut [Model],
    node: usize,
    parents: &[(usize, Duration)],
    written: &[Instant],
    now: Instant,
) {
    for (parent, max_age) in parents.iter().filter(|_| nodes[node].reaches_parents) {
        let known = &nodes[*parent].mirror;
        if !known.is_fresh(Table::Operator, *max_age, now) {
            continue;
        }
        let (batch, age) = (known.batch(Table::Operator), known.age(now).unwrap());
        let own = &mut nodes[node].mirror;
        own.record_answer(now - age);
        own.merge(Table::Operator, batch);
        return;
    }
    let Model { mirror, reaches_store, .. } = &mut nodes[node];
    if *reaches_store {
        let rev = Rev(written.len() as u64);
        let row = Row { key: "config".to_owned(), rev, value: Some(Vec::new()) };
        mirror.merge(Table::Operator, Batch { rows: vec![row], rev, now: None });
        mirror.record_answer(now);
    } else {
        mirror.mark_interrupted(Table::Operator);
    }
}

/// Guards against relays on weak links, whose own callers wait while many rows change.
#[test]
fn weak_nodes_are_no_parents_if_the_strong_ones_can_carry_all() {
    let names: Vec<_> = (0..81).map(|it| format!("node-{it}")).collect();
    let domains: Vec<domain::Id> = ["z-a", "z-b", "z-c"].map(Into::into).to_vec();
    let nodes: Vec<_> = names
        .iter()
        .enumerate()
        .map(|(index, name)| Node {
            name,
            capacity: if index < 6 { 200.0 } else { 10.0 },
            domain: Some(&domains[index % domains.len()]),
        })
        .collect();
    let parents = names.iter().flat_map(|it| relays::parents(it, &nodes));
    let weak: Vec<_> =
        parents.filter(|it| !names[..6].iter().any(|name| name == it.name)).collect();
    assert_eq!(weak, []);
}
