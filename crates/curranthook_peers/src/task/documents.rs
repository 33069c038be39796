//! Fetching the newest document and announcing it to peers.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use curranthook_settings::{Document, document};
use curranthook_types::Epoch;

use crate::{
    counters::increment,
    documents::Transfer,
    node::Node,
    rpc::{self, Announcement},
    task::{join_all, sleep_with_jitter},
    tuning::Mechanism,
};

/// Limit on reads of the table per second by all nodes together; the platform allows about two
/// thousand.
const MAX_FLEET_READS_PER_SECOND: f64 = 200.0;
/// How many peers a node that read a new epoch from the table announces it to at once. The others
/// wait for their next exchange: by then most have the epoch, and announcing it further would only
/// cost bytes.
const ANNOUNCEMENT_FANOUT: usize = 2;
/// How many peers are asked for the full document at once, at the start of a node or by `refresh`.
const QUERY_FANOUT: usize = 4;

/// Polls the table, at a total rate that doesn't grow with the fleet.
pub(crate) async fn poll_table(node: Arc<Node>) {
    loop {
        read_table(&node).await;
        let min_interval = Duration::from_secs_f64(
            node.members().fleet_size() as f64 / MAX_FLEET_READS_PER_SECOND,
        );
        sleep_with_jitter(node.tuning().poll_interval.max(min_interval)).await;
    }
}

async fn read_table(node: &Node) {
    let tag = node.documents().tag();
    let (table, key) = document::ROW;
    increment(&node.counters().table_reads, 1);
    let row = match node.setup.table.get_newer(table, key, tag.as_ref()).await {
        Ok(Some(row)) => row,
        Ok(None) => return,
        Err(_) => {
            increment(&node.counters().table_failed, 1);
            return;
        }
    };
    increment(&node.counters().table_bytes, row.value.len() as u64);
    let Ok(document) = serde_json::from_slice::<Document>(&row.value) else {
        log::error!("cannot parse the published document in the table");
        return;
    };
    if node.documents().offer(document, Some(row.tag)) {
        increment(&node.counters().epoch_from_table, 1);
        apply_document(node);
        if node.is_enabled(Mechanism::Announcement) {
            announce(node).await;
        }
    } else {
        increment(&node.counters().document_not_newer, 1);
    }
}

/// Fetches the first document: the one with the highest epoch among a few peers. Using the first
/// answer could start the node with an old configuration if that peer has been cut off, and during
/// an outage of the platform nothing would correct it.
pub(crate) async fn bootstrap(node: Arc<Node>) {
    while node.document().is_none() {
        let requests = node.members().random_peers(QUERY_FANOUT);
        let transfers =
            join_all(requests.into_iter().map(|addr| request_document(&node, addr))).await;
        for transfer in transfers.into_iter().flatten() {
            apply_transfer(&node, transfer);
        }
        sleep_with_jitter(node.tuning().exchange_interval).await;
    }
}

async fn request_document(node: &Node, addr: SocketAddr) -> Option<Transfer> {
    let none = Epoch::default();
    node.call(addr, "document", &none, rpc::DOCUMENT_TIMEOUT).await.ok()
}

/// Requests the full document from a few peers and applies each newer one as it arrives: the
/// configuration in force is already old, and a peer that doesn't answer must not delay the
/// documents of the others.
pub(crate) async fn refresh(node: &Node) {
    let requests = node.members().random_peers(QUERY_FANOUT).into_iter().map(|addr| async move {
        if let Some(transfer) = request_document(node, addr).await {
            apply_transfer(node, transfer);
        }
    });
    join_all(requests).await;
}

/// Fetches the changes up to `epoch` from a peer that has it.
pub(crate) async fn fetch(node: &Node, addr: SocketAddr, epoch: Epoch) {
    let _fetch_guard = node.fetch_lock.lock().await;
    let own_epoch = node.epoch();
    // The first document comes from several peers, through `bootstrap`.
    if own_epoch == Epoch::default() || epoch <= own_epoch {
        return;
    }
    let delta = node.call(addr, "document", &own_epoch, rpc::DOCUMENT_TIMEOUT).await;
    let Ok(delta) = delta else { return };
    if apply_transfer(node, delta) {
        return;
    }
    if let Some(full) = request_document(node, addr).await {
        apply_transfer(node, full);
    }
}

/// Applies a transfer. Returns `false` if the delta doesn't match and the full document is needed.
pub(crate) fn apply_transfer(node: &Node, transfer: Transfer) -> bool {
    let counters = node.counters();
    let counter = match transfer {
        Transfer::UpToDate => return true,
        Transfer::Delta { .. } => &counters.delta_applied,
        Transfer::Full { .. } => &counters.document_full,
    };
    match node.documents().apply(transfer) {
        Ok(true) => {
            increment(counter, 1);
            increment(&counters.epoch_from_peer, 1);
            apply_document(node);
        }
        Ok(false) => increment(&counters.document_not_newer, 1),
        Err(_) => {
            increment(&counters.delta_rejected, 1);
            return false;
        }
    }
    true
}

fn apply_document(node: &Node) {
    let Some(document) = node.document() else { return };
    for (site, config) in &document.sites {
        node.members()
            .add_site_domains(site, config.endpoints.values().map(|it| &it.failure_domain));
    }
    node.suspects().prune(&document);
}

async fn announce(node: &Node) {
    let announcement =
        Announcement { from: node.members().own_identity().clone(), epoch: node.epoch() };
    let mut alive = node.members().alive();
    let start = node.next_sequence().checked_rem(alive.len()).unwrap_or(0);
    alive.rotate_left(start);
    let targets = alive.iter().take(ANNOUNCEMENT_FANOUT).map(|it| it.identity.addr);
    let calls = targets.map(|addr| node.call::<()>(addr, "news", &announcement, rpc::TIMEOUT));
    // A peer that misses the announcement gets the epoch in an exchange or from the table.
    let _best_effort = join_all(calls).await;
}
