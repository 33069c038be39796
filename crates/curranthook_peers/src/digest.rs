//! What two nodes tell each other in an exchange.
//!
//! A frame has a budget of bytes, whatever the fleet's size; what doesn't fit waits its turn.
//! Everything in it merges idempotently, so a frame may be lost, repeated or overtaken.

use std::net::SocketAddr;

use curranthook_types::Epoch;
use serde::{Deserialize, Serialize};

use crate::{demand, evidence, member::Identity, node::Node, poison, suspect};

/// Bytes of a frame's sections together. With the HTTP heads, one exchange made and one
/// answered a second stay within 2 KB.
const BUDGET: usize = 300;
/// Bytes that a section gets before the last one takes what is left.
const SECTION: usize = 100;
/// Entries looked at when a section is filled.
const MAX_PICKED: usize = 8;

/// One side's part of an exchange. Field names are short because each byte is paid for once a
/// second by every node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// Who speaks.
    #[serde(rename = "i")]
    pub from: Identity,
    /// The newest epoch that it has; zero for none.
    #[serde(rename = "c")]
    pub epoch: Epoch,
    /// Suspect versions.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<suspect::Entry>,
    /// Charged fingerprints.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub poison: Vec<poison::Entry>,
    /// Demand of nodes of the speaker's site.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub demand: Vec<demand::Entry>,
    /// Evidence on versions.
    #[serde(rename = "v", default, skip_serializing_if = "Vec::is_empty")]
    pub evidence: Vec<evidence::Entry>,
    /// Peers that the speaker reaches.
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    pub members: Vec<Identity>,
    /// Peers that the speaker can't reach.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub unreachable: Vec<SocketAddr>,
}

/// Fills sections until their bytes are spent.
#[derive(Debug)]
struct Budget(usize);

impl Budget {
    fn take(&mut self, entry: &impl Serialize, section: &mut usize) -> bool {
        let json = serde_json::to_vec(entry).expect("an entry can be written as JSON");
        let size = json.len() + 1;
        if self.0.min(*section) < size {
            return false;
        }
        self.0 -= size;
        *section -= size;
        true
    }

    fn fill<T: Serialize>(&mut self, entries: Vec<T>) -> Vec<T> {
        let mut section = SECTION;
        entries.into_iter().filter(|it| self.take(it, &mut section)).collect()
    }
}

/// A frame of what is most worth telling now.
pub(crate) fn build(node: &Node) -> Frame {
    let turn = node.next_turn();
    let mut budget = Budget(BUDGET);
    let suspects = budget.fill(node.suspects().all());
    let poison = budget.fill(node.poison().pick(turn, MAX_PICKED));
    let demand = budget.fill(node.demand().pick(1));
    let members = budget.fill(hints(node, turn));
    let unreachable = match node.tuning().trust {
        crate::tuning::Trust::Own => Vec::new(),
        crate::tuning::Trust::Others => node.members().unreachable(),
    };
    let mut rest = budget.0;
    let evidence = node.evidence().pick(|entry| budget.take(entry, &mut rest));
    Frame {
        from: node.members().own().clone(),
        epoch: node.epoch(),
        suspects,
        poison,
        demand,
        evidence,
        members,
        unreachable,
    }
}

/// Takes in a frame.
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
    if frame.from.site == node.members().own().site {
        for entry in &frame.demand {
            node.demand().merge(entry.clone());
        }
    }
    for identity in &frame.members {
        node.members().hint(identity);
    }
    for addr in &frame.unreachable {
        node.members().reported(*addr);
    }
}

/// One peer, another each time: the VM list lags, and during an outage there's nothing else.
fn hints(node: &Node, turn: usize) -> Vec<Identity> {
    let alive = node.members().alive();
    let at = turn.checked_rem(alive.len());
    at.map(|at| alive[at].identity.clone()).into_iter().collect()
}
