//! What it costs a node to find out which nodes collect the load of an endpoint.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use curranthook_gateway::load::owners::Owners;
use curranthook_types::endpoint;

use crate::law::{Law, N_NODES};

const N_ENDPOINTS: usize = 60;

fn addr(node: usize) -> SocketAddr {
    ([10, 0, (node / 250) as u8, (node % 250) as u8], 7_000).into()
}

fn owners(n_nodes: usize) -> Owners {
    let mut owners = Owners::default();
    (0..n_nodes).for_each(|it| owners.set_node(&format!("node-{it}"), Some(addr(it))));
    owners
}

/// Sends a round of reports of brittle endpoints, and asks for each of these.
fn report(owners: &mut Owners, store_time: Duration) {
    let now = Instant::now();
    for id in (0..N_ENDPOINTS).map(|it| endpoint::Id::from(format!("e-{it}").as_str())) {
        assert!(!owners.reported_to(&id, Some(store_time)).is_empty());
        assert!(owners.settled_owner_of(&id, 0, Some(store_time), now).is_some());
        assert!(owners.owner_of(&id, now).is_some());
    }
}

/// Guards against ranking all nodes for each endpoint of each report.
#[test]
fn nodes_are_ranked_once_per_endpoint() {
    let store_time = Duration::from_secs(100);
    Law::Constant.assert(&N_NODES, |n_nodes| {
        let mut owners = owners(n_nodes);
        owners.set_joined("node-0", Some(store_time - Duration::from_secs(1)));
        report(&mut owners, store_time);
        let n_first = owners.n_ranked();
        assert_eq!(n_first, (n_nodes * N_ENDPOINTS) as u64);
        (0..100).for_each(|_| report(&mut owners, store_time));
        (owners.n_ranked() - n_first) as usize
    });
}

/// Guards against reports to most of the nodes while all of them settle one by one.
#[test]
fn few_nodes_are_reported_to_after_a_restart() {
    let (start, spacing) = (Duration::from_secs(100), Duration::from_micros(1_500));
    Law::Logarithmic.assert(&N_NODES, |n_nodes| {
        let mut owners = owners(n_nodes);
        for node in 0..n_nodes {
            let joined = start + spacing * u32::try_from(node).unwrap();
            owners.set_joined(&format!("node-{node}"), Some(joined));
        }
        let n_reported_to = (0..N_ENDPOINTS).map(|it| {
            let id = endpoint::Id::from(format!("e-{it}").as_str());
            let most = (0..80).map(|step| {
                let store_time = start + Duration::from_millis(100) * step;
                owners.reported_to(&id, Some(store_time)).len()
            });
            most.max().unwrap_or(0)
        });
        n_reported_to.sum::<usize>()
    });
}

/// Guards against ranking all nodes anew whenever a node repeats its row.
#[test]
fn unchanged_rows_keep_the_ranking() {
    let store_time = Duration::from_secs(100);
    let mut owners = owners(985);
    report(&mut owners, store_time);
    let n_first = owners.n_ranked();
    for node in 0..985 {
        owners.set_node(&format!("node-{node}"), Some(addr(node)));
        owners.set_joined(&format!("node-{node}"), None);
    }
    report(&mut owners, store_time);
    assert_eq!(owners.n_ranked(), n_first);
}

/// Guards against an owner that has left, or against missing one that has joined.
#[test]
fn changes_of_the_nodes_are_followed() {
    let (store_time, now) = (Duration::from_secs(100), Instant::now());
    let ids = || (0..N_ENDPOINTS).map(|it| endpoint::Id::from(format!("e-{it}").as_str()));
    let mut changed = owners(40);
    report(&mut changed, store_time);
    (30..40).for_each(|it| changed.set_node(&format!("node-{it}"), None));
    let mut small = owners(30);
    for id in ids() {
        assert_eq!(changed.owner_of(&id, now), small.owner_of(&id, now));
        let reported_to = changed.reported_to(&id, Some(store_time));
        assert_eq!(reported_to, small.reported_to(&id, Some(store_time)));
    }
    (30..40).for_each(|it| changed.set_node(&format!("node-{it}"), Some(addr(it))));
    let mut large = owners(40);
    assert!(ids().all(|it| changed.owner_of(&it, now) == large.owner_of(&it, now)));
}
