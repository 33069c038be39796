//! Periodic exchanges with peers and polling of the VM list.

use std::{sync::Arc, time::Duration};

use curranthook_platform::Role;

use crate::{
    counters::increment,
    digest::{self, Frame},
    node::Node,
    rpc,
    task::{documents, sleep_with_jitter},
    tuning::Mechanism,
};

/// The shortest time between reads of the VM list.
const MIN_LIST_INTERVAL: Duration = Duration::from_secs(10);
/// The time between reads per VM on the list. An entry takes about 120 bytes, so reading costs a
/// node 200 bytes per second whatever the size of the fleet; between reads, peers report each
/// other.
const LIST_INTERVAL_PER_VM: Duration = Duration::from_millis(600);
/// The pause after a read that failed or that listed no other node.
const LIST_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// How long after its start a node contacts peers at [`JOIN_INTERVAL`].
const JOIN_PERIOD: Duration = Duration::from_secs(5);
/// The pause between two exchanges of a node that is joining.
const JOIN_INTERVAL: Duration = Duration::from_millis(50);

/// Contacts the first peers. At the usual interval it would take seconds until bill lines have two
/// copies.
pub(crate) async fn join(node: Arc<Node>) {
    let start = node.setup.clock.now();
    while node.setup.clock.now().saturating_duration_since(start) < JOIN_PERIOD {
        if node.is_joining() {
            exchange(&node).await;
        }
        sleep_with_jitter(JOIN_INTERVAL).await;
    }
}

/// Initiates an exchange with one peer at each interval.
pub(crate) async fn run(node: Arc<Node>) {
    let mut last_update = node.setup.clock.now();
    loop {
        sleep_with_jitter(node.tuning().exchange_interval).await;
        let now = node.setup.clock.now();
        node.demand().update_rates(now.saturating_duration_since(last_update));
        last_update = now;
        if let Some(document) = node.document() {
            node.suspects().prune(&document);
        }
        exchange(&node).await;
    }
}

/// Exchanges frames with the next peer of the view and merges the answer.
pub(crate) async fn exchange(node: &Node) {
    let Some(addr) = node.members().next_peer() else { return };
    let own_frame = digest::build(node);
    let Ok(peer_frame) = node.call::<Frame>(addr, "exchange", &own_frame, rpc::TIMEOUT).await
    else {
        increment(&node.counters().exchange_failed, 1);
        return;
    };
    if node.members().record_answer(addr, &peer_frame.from).is_err() {
        increment(&node.counters().rejected_incarnation, 1);
        return;
    }
    increment(&node.counters().exchange_ok, 1);
    digest::merge(node, &peer_frame);
    if let Some(transfer) = peer_frame.transfer {
        documents::apply_transfer(node, transfer);
    }
    if node.is_enabled(Mechanism::PushPull) {
        node.fetch_if_newer(addr, peer_frame.epoch);
    }
}

/// Reads the VM list periodically.
pub(crate) async fn poll_vm_list(node: Arc<Node>) {
    loop {
        match node.setup.vms.all().await {
            Ok(mut vms) => {
                vms.retain(|it| it.role == Role::Entry);
                node.members().update_vm_list(&vms);
                if vms.len() < 2 {
                    // The list lags behind a site that has just started. A node that waited for the
                    // usual interval would contact no peer until the next read.
                    sleep_with_jitter(LIST_RETRY_INTERVAL).await;
                    continue;
                }
                let n_vms = u32::try_from(vms.len()).unwrap_or(u32::MAX);
                sleep_with_jitter(
                    MIN_LIST_INTERVAL.max(LIST_INTERVAL_PER_VM.saturating_mul(n_vms)),
                )
                .await;
            }
            Err(_) => sleep_with_jitter(LIST_RETRY_INTERVAL).await,
        }
    }
}
