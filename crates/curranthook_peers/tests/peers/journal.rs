//! A line that was recorded is billed, whatever is lost.

use std::{sync::atomic::Ordering, time::Duration};

use curranthook_peers::journal::Durability;

use crate::support::{Fleet, line, wait};

const LIMIT: Duration = Duration::from_secs(20);

/// The store is out, and the VM that recorded lines is lost before it's back. Its replicas bring
/// the lines to the store, each once.
#[test]
fn lines_of_a_killed_owner_are_stored_once() {
    async_io::block_on(async {
        let fleet = Fleet::new();
        let nodes = fleet.start(6);
        wait(LIMIT, || nodes.iter().all(|it| it.view().alive.len() == 5)).await.expect("met");
        fleet.platform.objects_down.store(true, Ordering::SeqCst);
        for n in 0..50 {
            let durability = nodes[0].journal().record(line(&format!("r-{n}"))).await;
            assert_eq!(durability, Durability::Replicated(2));
        }
        fleet.net.kill(&nodes[0]);
        fleet.platform.objects_down.store(false, Ordering::SeqCst);
        let stored = wait(LIMIT, || fleet.platform.billed().len() == 50).await;
        assert!(stored.is_some(), "{} lines of 50", fleet.platform.billed().len());
        assert!(fleet.platform.billed().values().all(|it| *it == 1));
        wait(LIMIT, || nodes[1..].iter().all(|it| it.status().replica_lines == 0))
            .await
            .expect("replicas drop what is stored");
    });
}

/// The store is out for a while, and then answers of its writes are lost though they took
/// effect. Each line ends up stored, and the replicas are told to drop it.
#[test]
fn an_outage_with_lost_answers_loses_and_doubles_nothing() {
    async_io::block_on(async {
        let fleet = Fleet::new();
        let nodes = fleet.start(6);
        wait(LIMIT, || nodes.iter().all(|it| it.view().alive.len() == 5)).await.expect("met");
        fleet.platform.objects_down.store(true, Ordering::SeqCst);
        for n in 0..20 {
            nodes[n % 6].journal().record(line(&format!("r-{n}"))).await;
        }
        fleet.platform.answers_lost.store(true, Ordering::SeqCst);
        fleet.platform.objects_down.store(false, Ordering::SeqCst);
        wait(LIMIT, || fleet.platform.billed().len() == 20).await.expect("all stored");
        for n in 20..40 {
            nodes[n % 6].journal().record(line(&format!("r-{n}"))).await;
        }
        fleet.platform.answers_lost.store(false, Ordering::SeqCst);
        wait(LIMIT, || nodes.iter().all(|it| it.journal().n_lines() == 0)).await.expect("settled");
        let billed = fleet.platform.billed();
        assert_eq!(billed.len(), 40);
        assert!(billed.values().all(|it| *it == 1));
    });
}

/// A node reaches no peer. Its lines go straight to the store; with that out too, the router is
/// told that only this node holds them, and they're stored later.
#[test]
fn without_peers_lines_go_to_the_store_or_wait() {
    async_io::block_on(async {
        let fleet = Fleet::new();
        let node = fleet.node(0, 1);
        assert_eq!(node.journal().record(line("r-1")).await, Durability::Stored);
        fleet.platform.objects_down.store(true, Ordering::SeqCst);
        assert_eq!(node.journal().record(line("r-2")).await, Durability::Alone);
        fleet.platform.objects_down.store(false, Ordering::SeqCst);
        wait(LIMIT, || fleet.platform.billed().len() == 2).await.expect("both stored");
    });
}

/// A node is shut down while the store is out. Its peers take the lines over and store them as
/// soon as they can.
#[test]
fn a_leaving_node_hands_its_lines_over() {
    async_io::block_on(async {
        let fleet = Fleet::new();
        let nodes = fleet.start(6);
        wait(LIMIT, || nodes.iter().all(|it| it.view().alive.len() == 5)).await.expect("met");
        fleet.platform.objects_down.store(true, Ordering::SeqCst);
        nodes[0].journal().record(line("r-1")).await;
        nodes[0].leave().await;
        fleet.net.kill(&nodes[0]);
        fleet.platform.objects_down.store(false, Ordering::SeqCst);
        wait(LIMIT, || fleet.platform.billed().len() == 1).await.expect("stored by a peer");
        let still_known = |it: &std::sync::Arc<curranthook_peers::Node>| {
            it.view().alive.iter().any(|it| it.identity.vm.as_str() == "vm-0")
        };
        assert!(!nodes[1..].iter().any(still_known), "a node that left isn't called any more");
    });
}
