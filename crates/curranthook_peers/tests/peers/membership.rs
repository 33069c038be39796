//! A peer counts as alive by this node's own contact only.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use curranthook_peers::{
    Node,
    member::{Identity, Members},
    tuning::Trust,
};
use curranthook_types::{Clock, clock::Manual, vm};
use yare::parameterized;

use crate::support::{Fleet, wait};

const LIMIT: Duration = Duration::from_secs(20);

fn sees(node: &Node, other: &Node) -> bool {
    node.view().alive.iter().any(|it| it.identity.vm == other.identity().vm)
}

async fn all_met(nodes: &[Arc<Node>]) {
    let met = wait(LIMIT, || nodes.iter().all(|it| it.view().alive.len() + 1 == nodes.len()));
    assert!(met.await.is_some(), "nodes didn't find each other");
}

/// Two nodes lose each other, in one direction or both, while all others reach both. Who can't
/// call the other must notice; the others must not drop anyone because of what these two see.
#[parameterized(one_way = { &[(0, 1)] }, both_ways = { &[(0, 1), (1, 0)] })]
fn a_cut_between_two_is_noticed_by_them_alone(cuts: &[(usize, usize)]) {
    async_io::block_on(async {
        let fleet = Fleet::new();
        let nodes = fleet.start(6);
        all_met(&nodes).await;
        for (a, b) in cuts {
            fleet.net.cut(&nodes[*a], &nodes[*b]);
        }
        let noticed = wait(LIMIT, || cuts.iter().all(|(a, b)| !sees(&nodes[*a], &nodes[*b])));
        assert!(noticed.await.is_some(), "the cut wasn't noticed");
        async_io::Timer::after(Duration::from_secs(2)).await;
        for (a, node) in nodes.iter().enumerate() {
            for (b, other) in nodes.iter().enumerate().filter(|(b, _)| *b != a) {
                assert!(cuts.contains(&(a, b)) || sees(node, other), "vm-{a} dropped vm-{b}");
            }
        }
    });
}

/// A VM is replaced, and the new one gets its id and address. The old process, which had only
/// been frozen, wakes and calls: it must not pass for the new one.
#[test]
fn a_replaced_process_is_refused() {
    async_io::block_on(async {
        let fleet = Fleet::new();
        let nodes = fleet.start(3);
        all_met(&nodes).await;
        fleet.net.kill(&nodes[2]);
        let successor = fleet.node(2, 2);
        let met = wait(LIMIT, || {
            let known =
                |it: &Arc<Node>| it.view().alive.iter().any(|it| it.identity.incarnation == 2);
            nodes[..2].iter().all(known)
        });
        assert!(met.await.is_some(), "the successor wasn't met");
        let woken = fleet.node(2, 1);
        let refused = wait(LIMIT, || {
            let n = |it: &Arc<Node>| it.status().counters["rejected_incarnation"];
            0 < nodes[..2].iter().map(n).sum::<u64>()
        });
        assert!(refused.await.is_some(), "the old process was heard");
        woken.kill();
        successor.kill();
    });
}

/// A VM dies. It's still on the list, which lags; limits must be shared among those that live.
#[test]
fn a_dead_node_no_longer_counts_for_the_site() {
    async_io::block_on(async {
        let fleet = Fleet::new();
        let nodes = fleet.start(6);
        all_met(&nodes).await;
        assert!(nodes.iter().all(|it| it.site_nodes() == 6));
        fleet.net.kill(&nodes[5]);
        let noticed = wait(LIMIT, || nodes[..5].iter().all(|it| it.site_nodes() == 5));
        assert!(noticed.await.is_some(), "still counted");
    });
}

/// A VM starts before its neighbour, which its settings name and the list doesn't. The neighbour
/// comes up, but can't call. Were it forgotten at the first read of the list, the VM would be alone
/// until the next one, and its bill lines would have no copies.
#[test]
fn a_neighbour_that_only_the_settings_name_is_met_when_it_comes_up() {
    async_io::block_on(async {
        let fleet = Fleet::new();
        fleet.add_to_list(9);
        let early = fleet.node(0, 1);
        async_io::Timer::after(Duration::from_secs(1)).await;
        fleet.net.cut_from(1, 0);
        let late = fleet.node(1, 1);
        let met = wait(LIMIT, || sees(&early, &late));
        assert!(met.await.is_some(), "the neighbour was forgotten");
    });
}

/// Guards against a live peer that is dropped for one that can't be reached, the moment that is due to be
/// tried again, though the view has room for both.
#[test]
fn a_peer_that_is_tried_again_pushes_nobody_out_of_a_view_with_room() {
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
        let addr = members.next_peer().expect("somebody to call");
        match peers.iter().find(|it| it.addr == addr) {
            Some(peer) if !is_cut || peer.vm != peers[0].vm => {
                members.record_answer(addr, peer).unwrap();
            }
            _ => members.record_failure(addr),
        }
        // Longer than an unreachable peer is left alone.
        clock.advance(Duration::from_secs(61));
    };
    (0..20).for_each(|_| call(false));
    (0..20).for_each(|_| call(true));
    let before: Vec<_> = members.alive().into_iter().map(|it| it.identity.vm).collect();
    for turn in 0..120 {
        call(true);
        let alive: Vec<_> = members.alive().into_iter().map(|it| it.identity.vm).collect();
        assert_eq!(alive, before, "turn {turn}");
    }
}
