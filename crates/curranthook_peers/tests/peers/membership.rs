//! A node considers a peer alive on the basis of its own calls only.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use curranthook_peers::{
    Node,
    member::{Identity, Members},
    tuning::Trust,
};
use curranthook_types::{Clock, clock::Manual, vm};
use yare::parameterized;

use crate::support::{Fleet, wait_until};

const TIMEOUT: Duration = Duration::from_secs(20);

fn considers_alive(node: &Node, other: &Node) -> bool {
    node.view().alive.iter().any(|it| it.identity.vm == other.identity().vm)
}

async fn wait_until_connected(nodes: &[Arc<Node>]) {
    let connected =
        wait_until(TIMEOUT, || nodes.iter().all(|it| it.view().alive.len() + 1 == nodes.len()));
    assert!(connected.await.is_some(), "nodes didn't connect");
}

/// Two nodes can't reach each other, in one direction or both, while all others reach both. The
/// node whose calls fail must notice; the others must drop no peer because of the failure between
/// these two.
#[parameterized(one_way = { &[(0, 1)] }, both_ways = { &[(0, 1), (1, 0)] })]
fn a_cut_affects_only_the_nodes_on_either_side(cuts: &[(usize, usize)]) {
    async_io::block_on(async {
        let fleet = Fleet::new();
        let nodes = fleet.start(6);
        wait_until_connected(&nodes).await;
        for (a, b) in cuts {
            fleet.network.cut(&nodes[*a], &nodes[*b]);
        }
        let detected = wait_until(TIMEOUT, || {
            cuts.iter().all(|(a, b)| !considers_alive(&nodes[*a], &nodes[*b]))
        });
        assert!(detected.await.is_some(), "the cut wasn't detected");
        async_io::Timer::after(Duration::from_secs(2)).await;
        for (a, node) in nodes.iter().enumerate() {
            for (b, other) in nodes.iter().enumerate().filter(|(b, _)| *b != a) {
                assert!(
                    cuts.contains(&(a, b)) || considers_alive(node, other),
                    "vm-{a} dropped vm-{b}"
                );
            }
        }
    });
}

/// A VM is replaced, and the new one gets its id and address. The old process, which was only
/// frozen, resumes and calls its peers: these calls must not be attributed to the new process.
#[test]
fn calls_of_a_replaced_process_are_rejected() {
    async_io::block_on(async {
        let fleet = Fleet::new();
        let nodes = fleet.start(3);
        wait_until_connected(&nodes).await;
        fleet.network.kill(&nodes[2]);
        let successor = fleet.node(2, 2);
        let connected = wait_until(TIMEOUT, || {
            let knows_successor =
                |it: &Arc<Node>| it.view().alive.iter().any(|it| it.identity.incarnation == 2);
            nodes[..2].iter().all(knows_successor)
        });
        assert!(connected.await.is_some(), "the successor was not contacted");
        let old_process = fleet.node(2, 1);
        let rejected = wait_until(TIMEOUT, || {
            let n_rejected = |it: &Arc<Node>| it.status().counters["rejected_incarnation"];
            0 < nodes[..2].iter().map(n_rejected).sum::<u64>()
        });
        assert!(rejected.await.is_some(), "the calls of the old process were accepted");
        old_process.kill();
        successor.kill();
    });
}

/// A VM dies but remains on the VM list, which lags. Limits must be shared among the live nodes
/// only.
#[test]
fn a_dead_node_is_not_counted_in_the_site() {
    async_io::block_on(async {
        let fleet = Fleet::new();
        let nodes = fleet.start(6);
        wait_until_connected(&nodes).await;
        assert!(nodes.iter().all(|it| it.site_nodes() == 6));
        fleet.network.kill(&nodes[5]);
        let detected = wait_until(TIMEOUT, || nodes[..5].iter().all(|it| it.site_nodes() == 5));
        assert!(detected.await.is_some(), "the dead node is still counted");
    });
}

/// A VM starts before its neighbour, which the settings name as a seed but the VM list doesn't
/// contain. The neighbour starts later and can't call this VM. If the seed were dropped at the
/// first read of the list, the VM would have no peers until the next read, and its bill lines would
/// have no copies.
#[test]
fn a_seed_missing_from_the_vm_list_is_found_once_it_starts() {
    async_io::block_on(async {
        let fleet = Fleet::new();
        fleet.add_to_list(9);
        let first_node = fleet.node(0, 1);
        async_io::Timer::after(Duration::from_secs(1)).await;
        fleet.network.cut_by_index(1, 0);
        let second_node = fleet.node(1, 1);
        let connected = wait_until(TIMEOUT, || considers_alive(&first_node, &second_node));
        assert!(connected.await.is_some(), "the neighbour was not found");
    });
}

/// Guards against a fault where a live peer was dropped for an unreachable one at the moment that
/// its retry was due, although the view had room for both.
#[test]
fn retrying_an_unreachable_peer_evicts_no_live_peer_from_a_view_with_room() {
    let identity = |n: u8| Identity {
        vm: vm::Id::new(format!("vm-{n}")),
        incarnation: 1,
        addr: SocketAddr::from(([127, 0, 0, 1], 9_000 + u16::from(n))),
        domain: "z-a".into(),
        site: "s-a".into(),
    };
    let clock = Arc::new(Manual::default());
    let members = Members::new(identity(0), Trust::Own, Arc::clone(&clock) as Arc<dyn Clock>, 7);
    let peers: Vec<Identity> = (1..=5).map(identity).collect();
    peers.iter().for_each(|it| members.add_seed(it.addr));
    let call = |is_cut: bool| {
        let addr = members.next_peer().expect("a peer to call");
        match peers.iter().find(|it| it.addr == addr) {
            Some(peer) if !is_cut || peer.vm != peers[0].vm => {
                members.record_answer(addr, peer).unwrap();
            }
            _ => members.record_failure(addr),
        }
        // Longer than the maximum backoff of an unreachable peer.
        clock.advance(Duration::from_secs(61));
    };
    (0..20).for_each(|_| call(false));
    (0..20).for_each(|_| call(true));
    let before: Vec<_> = members.alive().into_iter().map(|it| it.identity.vm).collect();
    for n_calls in 0..120 {
        call(true);
        let alive: Vec<_> = members.alive().into_iter().map(|it| it.identity.vm).collect();
        assert_eq!(alive, before, "call {n_calls}");
    }
}
