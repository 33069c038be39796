//! Bill lines survive the loss of their owner, outages of the object store and lost answers.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use curranthook_peers::{
    Node,
    counters::Counters,
    journal::{Durability, Journal},
    store,
};
use curranthook_types::bill::Origin;
use futures_lite::future;

use crate::support::{Fleet, Platform, bill_line, wait_until};

const TIMEOUT: Duration = Duration::from_secs(20);

/// The store is down, and the VM that recorded lines is lost before the store is back. Its replicas
/// write the lines to the store, each once.
#[test]
fn lines_of_a_killed_owner_are_stored_once() {
    async_io::block_on(async {
        let fleet = Fleet::new();
        let nodes = fleet.start(6);
        wait_until(TIMEOUT, || nodes.iter().all(|it| it.view().alive.len() == 5))
            .await
            .expect("all nodes connected");
        fleet.platform.objects_down.store(true, Ordering::SeqCst);
        for n in 0..50 {
            let durability = nodes[0].journal().record(bill_line(&format!("r-{n}"))).await;
            assert_eq!(durability, Durability::Replicated(2));
        }
        fleet.network.kill(&nodes[0]);
        fleet.platform.objects_down.store(false, Ordering::SeqCst);
        let stored = wait_until(TIMEOUT, || fleet.platform.stored_line_counts().len() == 50).await;
        assert!(
            stored.is_some(),
            "{} of 50 lines stored",
            fleet.platform.stored_line_counts().len()
        );
        assert!(fleet.platform.stored_line_counts().values().all(|it| *it == 1));
        wait_until(TIMEOUT, || nodes[1..].iter().all(|it| it.status().replica_lines == 0))
            .await
            .expect("replicas drop stored lines");
    });
}

/// The store is down for a while; afterwards the answers of its writes are lost although the writes
/// took effect. Each line ends up stored once, and the replicas drop their copies.
#[test]
fn lost_write_answers_neither_lose_nor_duplicate_lines() {
    async_io::block_on(async {
        let fleet = Fleet::new();
        let nodes = fleet.start(6);
        wait_until(TIMEOUT, || nodes.iter().all(|it| it.view().alive.len() == 5))
            .await
            .expect("all nodes connected");
        fleet.platform.objects_down.store(true, Ordering::SeqCst);
        for n in 0..20 {
            nodes[n % 6].journal().record(bill_line(&format!("r-{n}"))).await;
        }
        fleet.platform.write_answers_lost.store(true, Ordering::SeqCst);
        fleet.platform.objects_down.store(false, Ordering::SeqCst);
        wait_until(TIMEOUT, || fleet.platform.stored_line_counts().len() == 20)
            .await
            .expect("all stored");
        for n in 20..40 {
            nodes[n % 6].journal().record(bill_line(&format!("r-{n}"))).await;
        }
        fleet.platform.write_answers_lost.store(false, Ordering::SeqCst);
        wait_until(TIMEOUT, || nodes.iter().all(|it| it.journal().n_lines() == 0))
            .await
            .expect("all journals empty");
        let stored_line_counts = fleet.platform.stored_line_counts();
        assert_eq!(stored_line_counts.len(), 40);
        assert!(stored_line_counts.values().all(|it| *it == 1));
    });
}

/// A node reaches no peer, so its lines go directly to the store. If the store is down too, the
/// router is informed that only this node holds them, and they are stored later.
#[test]
fn without_peers_lines_are_stored_or_wait_for_the_store() {
    async_io::block_on(async {
        let fleet = Fleet::new();
        let node = fleet.node(0, 1);
        assert_eq!(node.journal().record(bill_line("r-1")).await, Durability::Stored);
        fleet.platform.objects_down.store(true, Ordering::SeqCst);
        assert_eq!(node.journal().record(bill_line("r-2")).await, Durability::LocalOnly);
        fleet.platform.objects_down.store(false, Ordering::SeqCst);
        wait_until(TIMEOUT, || fleet.platform.stored_line_counts().len() == 2)
            .await
            .expect("both stored");
    });
}

/// A node is shut down while the store is down. Its peers take over the lines and store them as
/// soon as they can.
#[test]
fn a_leaving_node_hands_over_its_lines() {
    async_io::block_on(async {
        let fleet = Fleet::new();
        let nodes = fleet.start(6);
        wait_until(TIMEOUT, || nodes.iter().all(|it| it.view().alive.len() == 5))
            .await
            .expect("all nodes connected");
        fleet.platform.objects_down.store(true, Ordering::SeqCst);
        nodes[0].journal().record(bill_line("r-1")).await;
        nodes[0].leave().await;
        fleet.network.kill(&nodes[0]);
        fleet.platform.objects_down.store(false, Ordering::SeqCst);
        wait_until(TIMEOUT, || fleet.platform.stored_line_counts().len() == 1)
            .await
            .expect("stored by a peer");
        let is_still_known =
            |it: &Arc<Node>| it.view().alive.iter().any(|it| it.identity.vm.as_str() == "vm-0");
        assert!(
            !nodes[1..].iter().any(is_still_known),
            "a node that left must not be alive in any view"
        );
    });
}

/// A replica presumes the owner dead and stores the lines that it has; but the owner was only
/// frozen, resumes, and stores a longer segment under the same key. If the taken key counted as
/// success, the lines beyond those of the replica would be lost.
#[test]
fn lines_beyond_an_existing_segment_are_stored() {
    async_io::block_on(async {
        let platform = Platform::default();
        let origin = Origin { vm: "vm-0".into(), incarnation: 1 };
        let lines: Vec<_> = (0..5).map(|it| bill_line(&format!("r-{it}"))).collect();
        store::put(&platform, &origin, 0, lines[..2].to_vec())
            .await
            .expect("stored by the replica");
        store::put(&platform, &origin, 0, lines.clone()).await.expect("stored by the owner");
        store::put(&platform, &origin, 0, lines[..4].to_vec())
            .await
            .expect("stored by another replica");
        assert_eq!(platform.objects.lock().len(), 2);
        assert_eq!(platform.stored_line_counts().len(), 5);
        assert!(platform.stored_line_counts().values().all(|it| *it == 1));
    });
}

/// The store is down for hours. The journal reports that it is full, so that the router accepts no
/// more work; it drops no lines, and is empty again after the outage.
#[test]
fn a_full_journal_reports_it_and_drops_no_lines() {
    async_io::block_on(async {
        let origin = Origin { vm: "vm-0".into(), incarnation: 1 };
        let journal = Journal::new(origin, Arc::new(Counters::default()));
        let platform = Platform::default();
        platform.objects_down.store(true, Ordering::SeqCst);
        let mut n_lines = 0;
        while !journal.is_full() {
            // The caller stops waiting; the line stays in the journal.
            let _dropped =
                future::poll_once(journal.record(bill_line(&format!("r-{n_lines}")))).await;
            n_lines += 1;
        }
        assert!(10_000 < n_lines, "full after {n_lines} lines");
        assert!(!journal.flush(&platform).await);
        assert_eq!(journal.n_lines(), n_lines);
        platform.objects_down.store(false, Ordering::SeqCst);
        assert!(journal.flush(&platform).await);
        assert!(!journal.is_full());
        assert_eq!(platform.stored_line_counts().len(), n_lines);
    });
}
