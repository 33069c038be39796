//! The tree of relays through which changes reach the nodes of a large fleet.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use bytes::Bytes;
use curranthook_gateway::{
    replication::{
        mirror::Mirror,
        relays::{Node, Tree},
    },
    store::{Batch, Rev, Row, Table},
};
use curranthook_types::domain;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use yare::parameterized;

/// The address of all nodes; no test connects to one.
const ADDR: &str = "127.0.0.1:9";

/// A fleet of nodes with different capacities, assigned to the failure domains in turn.
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
            addr: ADDR.parse().unwrap(),
            capacity: self.capacities[n],
            domain: Some(&self.domains[n]),
        };
        (0..self.names.len()).map(node).collect()
    }

    /// The parents of each node, by the node's index.
    fn parents(&self) -> Vec<Vec<(usize, Duration)>> {
        let tree = Tree::new(&self.nodes());
        let index = |name: &str| self.names.iter().position(|it| it == name).unwrap();
        let parents = |(name, n): (&String, usize)| {
            let parents = tree.parents(name, Some(&self.domains[n]));
            parents.into_iter().map(|it| (index(it.name), it.max_age)).collect()
        };
        self.names.iter().zip(0..).map(parents).collect()
    }
}

/// Guards against a node on a weak link that serves hundreds of others, which leaves no capacity
/// for its callers.
#[parameterized(
    flat = { 18, 5 },
    medium = { 62, 3 },
    large = { 295, 5 },
    largest = { 1_803, 27 },
)]
fn one_node_watches_the_store_and_none_has_too_many_children(n_nodes: usize, n_domains: usize) {
    let fleet = Fleet::new(n_nodes, n_domains);
    let parents = fleet.parents();
    let roots = parents.iter().filter(|it| it.is_empty()).count();
    assert_eq!(roots, 1);
    let mut children: HashMap<usize, usize> = HashMap::new();
    for parents in parents.iter().filter(|it| !it.is_empty()) {
        *children.entry(parents[0].0).or_default() += 1;
    }
    let max_children = *children.values().max().unwrap();
    let bound = 24.max(2 * n_nodes.isqrt());
    assert!(max_children <= bound, "one node has {max_children} children");
    let serving: Vec<_> = children.keys().map(|it| fleet.capacities[*it]).collect();
    let is_large = |it: &f64| 50.0 <= *it;
    assert!(serving.iter().all(is_large), "{serving:?}");
}

/// Traffic between failure domains is charged for, and a node queries its parent more than once per
/// second. Guards against leaves whose parent is in another domain.
#[test]
fn leaves_have_parents_in_their_own_failure_domain() {
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

/// A failure domain is lost permanently, and the rows of its nodes remain. All other nodes must
/// have an available parent or watch the store. If all roots were in that domain, every relay would
/// watch the store from then on.
#[parameterized(medium = { 62, 3 }, large = { 295, 5 })]
fn a_root_remains_after_the_loss_of_a_failure_domain(n_nodes: usize, n_domains: usize) {
    let fleet = Fleet::new(n_nodes, n_domains);
    let parents = fleet.parents();
    for lost in 0..n_domains {
        let is_lost = |it: usize| it % n_domains == lost;
        let remaining: Vec<_> = (0..n_nodes).filter(|it| !is_lost(*it)).collect();
        let n_alive_parents =
            |it: usize| parents[it].iter().filter(|(it, _)| !is_lost(*it)).count();
        let watching: HashSet<_> =
            remaining.iter().filter(|it| n_alive_parents(**it) == 0).collect();
        assert!(watching.len() <= 2, "without {lost}, {} nodes watch the store", watching.len());
    }
}

/// A new node is not among the known nodes until it has read its own row. Guards against new nodes
/// that act as the root until then, and each read all tables from the store.
#[parameterized(flat = { 18, 5 }, large = { 295, 5 })]
fn a_node_that_is_not_listed_yet_has_parents(n_nodes: usize, n_domains: usize) {
    let fleet = Fleet::new(n_nodes, n_domains);
    assert!(!Tree::new(&fleet.nodes()).parents("node-new", None).is_empty());
}

/// A node of the simulation: its copy of the rows, and which of its connections work.
struct ModelNode {
    mirror: Mirror,
    reaches_store: bool,
    reaches_parents: bool,
}

/// Nodes lose their connections to the store and to their parents at random, and query parents that
/// may have lost theirs. Guards against a node that considers its rows fresh while changes are
/// missing: it would use an outdated configuration, and return it to its children.
#[test]
fn no_node_considers_outdated_rows_fresh() {
    const MAX_AGE: Duration = Duration::from_millis(2_200);
    const STEP: Duration = Duration::from_millis(50);
    for seed in 0..12 {
        let mut rng = StdRng::seed_from_u64(seed);
        let fleet = Fleet::new(rng.random_range(13..60), 3);
        let parents = fleet.parents();
        let new =
            || ModelNode { mirror: Mirror::default(), reaches_store: true, reaches_parents: true };
        let mut nodes: Vec<_> = parents.iter().map(|_| new()).collect();
        let start = Instant::now();
        // The time at which each revision was written.
        let mut write_times = vec![start];
        for step in 0..400_u32 {
            let now = start + STEP * step;
            if rng.random_bool(0.1) {
                write_times.push(now);
            }
            for _ in 0..nodes.len() / 4 {
                let it = rng.random_range(0..nodes.len());
                match rng.random_range(0..12) {
                    0 => nodes[it].reaches_store ^= true,
                    1 => nodes[it].reaches_parents ^= true,
                    _ => poll(&mut nodes, it, &parents[it], &write_times, now),
                }
            }
            for (name, it) in fleet.names.iter().zip(&nodes) {
                if !it.mirror.is_fresh(Table::Operator, MAX_AGE, now) {
                    continue;
                }
                let known = usize::try_from(it.mirror.rev(Table::Operator).0).unwrap();
                let missing = write_times.get(known).is_some_and(|at| MAX_AGE < now - *at);
                assert!(
                    !missing,
                    "seed {seed}: {name} misses revision {known} after {:?}",
                    now - start
                );
            }
        }
    }
}

/// Polls the parents of `node` in order, and then the store, until one of them answers.
fn poll(
    nodes: &mut [ModelNode],
    node: usize,
    parents: &[(usize, Duration)],
    write_times: &[Instant],
    now: Instant,
) {
    for (parent, max_age) in parents.iter().filter(|_| nodes[node].reaches_parents) {
        let known = &nodes[*parent].mirror;
        if !known.is_fresh(Table::Operator, *max_age, now) {
            continue;
        }
        let (batch, age) = (known.batch(Table::Operator), known.age(Table::Operator, now).unwrap());
        let own = &mut nodes[node].mirror;
        own.record_read(Table::Operator, now - age);
        own.merge(Table::Operator, batch);
        return;
    }
    let ModelNode { mirror, reaches_store, .. } = &mut nodes[node];
    if *reaches_store {
        let rev = Rev(write_times.len() as u64);
        let row = Row { key: "config".into(), rev, value: Some(Bytes::new()) };
        let batch = Batch { rows: vec![row], rev, now: None };
        mirror.record_answer(Table::Operator, &batch, now);
        mirror.merge(Table::Operator, batch);
    } else {
        mirror.mark_interrupted(Table::Operator);
    }
}

/// Guards against relays on weak links, whose own callers would be delayed whenever many rows
/// change.
#[test]
fn weak_nodes_are_not_parents_if_strong_ones_suffice() {
    let names: Vec<_> = (0..81).map(|it| format!("node-{it}")).collect();
    let domains: Vec<domain::Id> = ["z-a", "z-b", "z-c"].map(Into::into).to_vec();
    let nodes: Vec<_> = names
        .iter()
        .enumerate()
        .map(|(index, name)| Node {
            name,
            addr: ADDR.parse().unwrap(),
            capacity: if index < 6 { 200.0 } else { 10.0 },
            domain: Some(&domains[index % domains.len()]),
        })
        .collect();
    let tree = Tree::new(&nodes);
    let parents = names.iter().flat_map(|it| tree.parents(it, None));
    let weak: Vec<_> =
        parents.filter(|it| !names[..6].iter().any(|name| name == it.name)).collect();
    assert_eq!(weak, []);
}
