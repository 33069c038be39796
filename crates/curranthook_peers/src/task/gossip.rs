//! One exchange a round, and the VM list now and then.

use std::{sync::Arc, time::Duration};

use curranthook_platform::Role;

use crate::{
    counters::bump,
    digest::{self, Frame},
    node::Node,
    rpc,
    task::{documents, sleep_with_jitter},
    tuning::Mechanism,
};

/// The shortest time between reads of the VM list.
const MIN_LIST_INTERVAL: Duration = Duration::from_secs(10);
/// The time between reads for each VM listed. An entry takes about 120 bytes, so reading costs a
/// node 200 bytes a second whatever the fleet's size; in between, peers name each other.
const LIST_INTERVAL_PER_VM: Duration = Duration::from_millis(600);
/// The pause after a read that failed or that showed no other node.
const LIST_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// For this long after the start peers are met in quick turn.
const JOIN_PERIOD: Duration = Duration::from_secs(5);
/// The pause between two meetings then.
const JOIN_INTERVAL: Duration = Duration::from_millis(50);

/// Meets the first peers. At one a round it would be seconds until bill lines have two copies.
pub(crate) async fn join(node: Arc<Node>) {
    let start = node.setup.clock.now();
    while node.setup.clock.now().saturating_duration_since(start) < JOIN_PERIOD {
        if node.is_joining() {
            exchange(&node).await;
        }
        sleep_with_jitter(JOIN_INTERVAL).await;
    }
}

/// Makes exchanges.
pub(crate) async fn run(node: Arc<Node>) {
    let mut last = node.setup.clock.now();
    loop {
        sleep_with_jitter(node.tuning().exchange_interval).await;
        let now = node.setup.clock.now();
        node.demand().update_rates(now.saturating_duration_since(last));
        last = now;
        if let Some(document) = node.document() {
            node.suspects().prune(&document);
        }
        exchange(&node).await;
    }
}

/// Calls the next peer whose turn it is.
pub(crate) async fn exchange(node: &Node) {
    let Some(addr) = node.members().next_peer() else { return };
    let ours = digest::build(node);
    let Ok(theirs) = node.call::<Frame>(addr, "exchange", &ours, rpc::TIMEOUT).await else {
        bump(&node.counters().exchange_failed, 1);
        return;
    };
    if node.members().record_answer(addr, &theirs.from).is_err() {
        bump(&node.counters().rejected_incarnation, 1);
        return;
    }
    bump(&node.counters().exchange_ok, 1);
    digest::merge(node, &theirs);
    if let Some(transfer) = theirs.transfer {
        documents::apply_transfer(node, transfer);
    }
    if node.is_enabled(Mechanism::PushPull) {
        node.fetch_if_newer(addr, theirs.epoch);
    }
}

/// Reads the VM list.
pub(crate) async fn poll_vm_list(node: Arc<Node>) {
    loop {
        match node.setup.vms.all().await {
            Ok(mut vms) => {
                vms.retain(|it| it.role == Role::Entry);
                node.members().update_vm_list(&vms);
                if vms.len() < 2 {
                    // The list lags behind a site that just started. A node that took this for
                    // the whole truth would tell nobody anything until the next read.
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
