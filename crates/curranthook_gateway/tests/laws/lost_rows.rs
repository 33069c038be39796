//! Nodes that ask others for rows that the store has lost, all at once.

use curranthook_gateway::{
    replication::{
        lost_rows::{MAX_ASKED, MAX_QUERIES, Query, Reply},
        relays::{Node, Tree},
    },
    store::{Rev, Table},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::law::{Law, N_NODES};

/// What a node may send for the control of the fleet, in bytes a second.
const CONTROL_BYTES_PER_SECOND: usize = 2_048;

/// The queries that each of `n` nodes gets when all read a table in a new era at once: each asks its
/// parent, and others at random.
fn queries_by_node(n: usize) -> Vec<usize> {
    let names: Vec<_> = (0..n).map(|it| format!("node-{it}")).collect();
    let addr = |index| ([127, 0, 0, 1], u16::try_from(index).unwrap()).into();
    let node = |(name, index)| Node { name, addr: addr(index), capacity: 1.0, domain: None };
    let nodes: Vec<_> = names.iter().map(String::as_str).zip(0_usize..).map(node).collect();
    let (tree, mut rng) = (Tree::new(&nodes), StdRng::seed_from_u64(7));
    let mut n_queries = vec![0; n];
    for name in &names {
        let parent = tree.parents(name, None).first().map(|it| usize::from(it.addr.port()));
        let others = (0..MAX_ASKED).map(|_| rng.random_range(0..n));
        for asked in parent.into_iter().chain(others).take(MAX_ASKED) {
            n_queries[asked] += 1;
        }
    }
    n_queries
}

/// Guards against a storm when all nodes start, or the store comes back, at the same time.
#[test]
fn queries_for_lost_rows_grow_with_the_nodes_and_are_spread_over_them() {
    Law::Linear.assert(&N_NODES, |n| queries_by_node(n).iter().sum());
    for n in [4, 24, 40, 82, 985] {
        let by_node = queries_by_node(n);
        assert!(by_node.iter().sum::<usize>() <= MAX_ASKED * n);
        let (most, bound) = (*by_node.iter().max().unwrap(), 24.max(2 * n.isqrt()) + 4 * MAX_ASKED);
        assert!(most <= bound, "one of {n} nodes gets {most} queries");
    }
}

/// Guards against queries and empty replies of more bytes than a node may send.
#[test]
fn nodes_that_know_all_rows_exchange_few_bytes() {
    let mut n_bytes = 0;
    for table in Table::ALL {
        let since = Rev::new(1, 1_000_000).unwrap();
        let query = Query { table, era: 2, since, configuration: 1_000_000 };
        let n_query_bytes = serde_json::to_vec(&query).unwrap().len();
        let n_reply_bytes = serde_json::to_vec(&Reply::default()).unwrap().len();
        n_bytes += MAX_ASKED * (n_query_bytes + n_reply_bytes);
        // A node that finds nobody who knows the rows asks more of them, once.
        let n_most_bytes = MAX_QUERIES * (n_query_bytes + n_reply_bytes);
        assert!(n_most_bytes <= 2 * CONTROL_BYTES_PER_SECOND, "{n_most_bytes} bytes");
    }
    assert!(n_bytes <= CONTROL_BYTES_PER_SECOND, "{n_bytes} bytes");
}
