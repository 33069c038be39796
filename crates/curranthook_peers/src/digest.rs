//! The state that two nodes send each other in an exchange.
//!
//! A frame has a fixed budget of bytes, whatever the size of the fleet; entries that don't fit are
//! sent in a later frame. All contents merge idempotently, so a frame may be lost, repeated or
//! reordered.

use std::net::SocketAddr;

use curranthook_types::Epoch;
use serde::{Deserialize, Serialize};

use crate::{
    demand,
    documents::Transfer,
    evidence,
    member::Identity,
    node::Node,
    poison, suspect,
    tuning::{Mechanism, Trust},
};

/// Limit on the total size of a frame's sections, in bytes. With it, a node that initiates one
/// exchange and answers one per second stays within 2 KB per second, sent and received, including
/// HTTP heads.
const FRAME_BUDGET_BYTES: usize = 125;
/// The largest delta that is included in an answer, in bytes.
const MAX_INLINE_TRANSFER_BYTES: usize = 2_048;
/// Maximum number of poison entries considered for one frame.
const MAX_POISON_ENTRIES: usize = 8;

/// One side's part of an exchange. Field names are short because every node sends each byte once a
/// second.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// The sender.
    #[serde(rename = "i")]
    pub from: Identity,
    /// The newest epoch that the sender has; zero for none.
    #[serde(rename = "c")]
    pub epoch: Epoch,
    /// Versions that were declared suspect.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<suspect::Entry>,
    /// Fingerprints of requests under which endpoints crashed.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub poison: Vec<poison::Entry>,
    /// Request rates by account at nodes of the sender's site.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub demand: Vec<demand::Entry>,
    /// Counts of calls, errors and ratings by origin, version and kind of work.
    #[serde(rename = "v", default, skip_serializing_if = "Vec::is_empty")]
    pub evidence: Vec<evidence::Entry>,
    /// Peers that the sender reaches.
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    pub members: Vec<Identity>,
    /// In an answer, the delta from the caller's document to the newest one, if it is small.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub transfer: Option<Transfer>,
    /// Peers that the sender can't reach.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub unreachable: Vec<SocketAddr>,
}

/// Bytes left for a frame's sections.
#[derive(Debug)]
struct Budget(usize);

impl Budget {
    fn try_reserve(&mut self, entry: &impl Serialize) -> bool {
        let json = serde_json::to_vec(entry).expect("an entry can be written as JSON");
        let size = json.len() + 1;
        if self.0 < size {
            return false;
        }
        self.0 -= size;
        true
    }

    fn select<T: Serialize>(&mut self, entries: Vec<T>) -> Vec<T> {
        entries.into_iter().filter(|it| self.try_reserve(it)).collect()
    }
}

/// A section of a frame. The section that is filled first rotates: in a fixed order, a large
/// section could always use up the budget, and later sections would never have room for a single
/// entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Topic {
    Evidence,
    Demand,
    Alarms,
    Members,
}

/// The section that is filled first, in successive frames.
const TOPIC_ROTATION: [Topic; 6] =
    [Topic::Evidence, Topic::Demand, Topic::Alarms, Topic::Evidence, Topic::Demand, Topic::Members];

/// The answer to a caller that has epoch `peer_epoch`. It includes a small delta, because the HTTP
/// heads of a separate call would take more bytes than the delta itself.
pub(crate) fn answer(node: &Node, peer_epoch: Epoch) -> Frame {
    let mut frame = build(node);
    if node.is_enabled(Mechanism::PushPull)
        && peer_epoch != Epoch::default()
        && peer_epoch < frame.epoch
    {
        let transfer = node.transfer(peer_epoch);
        let json = serde_json::to_vec(&transfer).expect("a transfer can be written as JSON");
        frame.transfer = Some(transfer).filter(|_| json.len() <= MAX_INLINE_TRANSFER_BYTES);
    }
    frame
}

/// Builds a frame, with as many entries as fit into the budget.
pub(crate) fn build(node: &Node) -> Frame {
    let n_frames = node.next_sequence();
    let mut frame = Frame {
        from: node.members().own_identity().clone(),
        epoch: node.epoch(),
        suspects: Vec::new(),
        poison: Vec::new(),
        demand: Vec::new(),
        evidence: Vec::new(),
        members: Vec::new(),
        transfer: None,
        unreachable: Vec::new(),
    };
    if node.tuning().trust == Trust::Others {
        frame.unreachable = node.members().unreachable();
    }
    let mut budget = Budget(FRAME_BUDGET_BYTES);
    let first = TOPIC_ROTATION[n_frames % TOPIC_ROTATION.len()];
    add_section(node, first, n_frames, &mut budget, &mut frame);
    for topic in [Topic::Alarms, Topic::Evidence, Topic::Demand] {
        if topic != first {
            add_section(node, topic, n_frames, &mut budget, &mut frame);
        }
    }
    frame
}

fn add_section(node: &Node, topic: Topic, n_frames: usize, budget: &mut Budget, frame: &mut Frame) {
    match topic {
        Topic::Evidence => {
            frame.evidence = node.evidence().select_entries(|it| budget.try_reserve(it));
        }
        Topic::Demand => frame.demand = node.demand().select_entries(|it| budget.try_reserve(it)),
        Topic::Alarms => {
            let mut suspects = node.suspects().active_entries();
            let start = n_frames.checked_rem(suspects.len()).unwrap_or(0);
            suspects.rotate_left(start);
            frame.suspects = budget.select(suspects);
            frame.poison =
                budget.select(node.poison().recent_entries(n_frames, MAX_POISON_ENTRIES));
        }
        Topic::Members => {
            frame.members = budget.select(next_member(node, n_frames / TOPIC_ROTATION.len()));
        }
    }
}

/// Merges a peer's frame.
pub(crate) fn merge(node: &Node, frame: &Frame) {
    for entry in &frame.suspects {
        node.suspects().merge(entry);
    }
    for entry in &frame.poison {
        node.poison().merge(entry);
    }
    for entry in &frame.evidence {
        node.evidence().merge(entry);
    }
    if frame.from.site == node.members().own_identity().site {
        for entry in &frame.demand {
            node.demand().merge(entry);
        }
    }
    for identity in &frame.members {
        node.members().add_candidate(identity);
    }
    for addr in &frame.unreachable {
        node.members().record_unreachable_report(*addr);
    }
}

/// Selects one live peer, in rotation. Peers report each other because the VM list lags and can't
/// be read during an outage of the platform.
fn next_member(node: &Node, n_frames: usize) -> Vec<Identity> {
    let alive = node.members().alive();
    let index = n_frames.checked_rem(alive.len());
    index.map(|index| alive[index].identity.clone()).into_iter().collect()
}
