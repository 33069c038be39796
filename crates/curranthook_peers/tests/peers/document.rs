//! The newest configuration reaches every node, and a node never goes back to an older one.

use std::{collections::BTreeSet, sync::atomic::Ordering, time::Duration};

use curranthook_peers::documents::{Documents, Mismatch, Transfer};
use curranthook_settings::Document;
use curranthook_types::Epoch;

use crate::support::{Fleet, wait_until};

fn document(epoch: u64) -> Document {
    let by = format!("operator-{epoch}");
    Document { epoch: Epoch(epoch), by, ..Document::default() }
}

/// A peer that was cut off offers the configuration that it still has after a newer one has
/// arrived.
#[test]
fn a_lower_epoch_never_replaces_a_higher_one() {
    let documents = Documents::default();
    assert!(documents.offer(document(5), None));
    for older in [4, 5, 1] {
        assert!(!documents.offer(document(older), None));
        let document = Box::new(document(older));
        assert_eq!(documents.apply(Transfer::Full { document, tag: None }), Ok(false));
    }
    assert_eq!(documents.epoch(), Epoch(5));
}

/// A node's document differs from the one that the sender assumes. Applying the delta would result
/// in a configuration that nobody published.
#[test]
fn a_delta_is_applied_only_to_its_base_document() {
    let (sender, same_base, other_base) =
        (Documents::default(), Documents::default(), Documents::default());
    sender.offer(document(1), None);
    sender.offer(document(2), None);
    same_base.offer(document(1), None);
    other_base.offer(Document { at_millis: 77, ..document(1) }, None);
    let delta = sender.transfer(Epoch(1));
    assert!(matches!(delta, Transfer::Delta { .. }));
    assert_eq!(same_base.apply(delta.clone()), Ok(true));
    assert_eq!(same_base.document(), sender.document());
    assert_eq!(other_base.apply(delta), Err(Mismatch));
    assert_eq!(other_base.epoch(), Epoch(1));
    assert!(matches!(sender.transfer(Epoch(0)), Transfer::Full { .. }));
}

/// A node was cut off while several epochs were published. The peer that it reaches first received
/// some of them from the table and some as deltas.
#[test]
fn a_delta_spans_several_epochs() {
    let (sender, intermediate, late_node) =
        (Documents::default(), Documents::default(), Documents::default());
    for documents in [&sender, &intermediate, &late_node] {
        documents.offer(document(1), None);
    }
    for epoch in 2..=5 {
        sender.offer(document(epoch), None);
        assert_eq!(intermediate.apply(sender.transfer(Epoch(epoch - 1))), Ok(true));
    }
    let delta = intermediate.transfer(Epoch(1));
    assert!(matches!(delta, Transfer::Delta { .. }));
    assert_eq!(late_node.apply(delta), Ok(true));
    assert_eq!(late_node.document(), sender.document());
}

/// If a rejected delta left a partially patched document behind, the node's next deltas would all
/// fail or result in a wrong configuration.
#[test]
fn a_rejected_delta_leaves_the_document_unchanged() {
    let (sender, other_base) = (Documents::default(), Documents::default());
    sender.offer(document(1), None);
    sender.offer(document(2), None);
    let changed = Document { at_millis: 77, ..document(1) };
    other_base.offer(changed.clone(), None);
    assert_eq!(other_base.apply(sender.transfer(Epoch(1))), Err(Mismatch));
    assert_eq!(other_base.document().as_deref(), Some(&changed));

    let other_sender = Documents::default();
    other_sender.offer(changed.clone(), None);
    let next = Document { epoch: Epoch(2), ..changed };
    other_sender.offer(next.clone(), None);
    assert_eq!(other_base.apply(other_sender.transfer(Epoch(1))), Ok(true));
    assert_eq!(other_base.document().as_deref(), Some(&next));
}

/// Nodes request the change since the epoch that they have. If the change replaces nearly the whole
/// document, the full document is sent.
#[test]
fn a_large_change_is_sent_as_a_full_document() {
    const N_VERSIONS: usize = 5_000;
    let withdrawn =
        (0..N_VERSIONS).map(|it| format!("m@{it}").as_str().into()).collect::<BTreeSet<_>>();
    let documents = Documents::default();
    documents.offer(document(1), None);
    documents.offer(Document { withdrawn, ..document(2) }, None);
    assert!(matches!(documents.transfer(Epoch(1)), Transfer::Full { .. }));
}

/// The platform's table is down for all nodes but one; the others get each epoch from their peers.
#[test]
fn peers_distribute_epochs_while_the_table_is_down() {
    async_io::block_on(async {
        let fleet = Fleet::new();
        fleet.platform.publish(1);
        let nodes = fleet.start(8);
        for epoch in 1..=5 {
            fleet.platform.publish(epoch);
            fleet.platform.table_down.store(false, Ordering::SeqCst);
            let document = nodes[0].next_document(Epoch(epoch - 1)).await;
            fleet.platform.table_down.store(true, Ordering::SeqCst);
            assert!(Epoch(epoch) <= document.epoch);
            let all_updated = wait_until(Duration::from_secs(10), || {
                nodes.iter().all(|it| it.document().is_some_and(|it| it.epoch == Epoch(epoch)))
            });
            assert!(all_updated.await.is_some(), "epoch {epoch} didn't reach every node");
        }
    });
}

/// A VM is replaced during an outage of the platform. Its peers have different epochs, as one of
/// them has been cut off; the node must start with the newest.
#[test]
fn a_node_started_during_an_outage_takes_the_newest_epoch_of_its_peers() {
    async_io::block_on(async {
        let fleet = Fleet::new();
        fleet.platform.publish(3);
        let nodes = fleet.start(2);
        nodes[0].next_document(Epoch(0)).await;
        nodes[1].next_document(Epoch(0)).await;
        for (a, b) in [(0, 1), (1, 0)] {
            fleet.network.cut(&nodes[a], &nodes[b]);
        }
        fleet.platform.table_down.store(true, Ordering::SeqCst);
        nodes[1].offer(document(9));
        // Node 0 would otherwise learn the newest epoch from the late node.
        fleet.network.cut_by_index(0, 2);
        let late_node = fleet.node(2, 1);
        let document = late_node.next_document(Epoch(0)).await;
        assert_eq!(document.epoch, Epoch(9));
        assert_eq!(nodes[0].document().map(|it| it.epoch), Some(Epoch(3)));
    });
}
