//! What is queued for other nodes, and who is told of what.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
};

use curranthook_policy::poison::{Entry, Fingerprint, Standing};
use parking_lot::Mutex;

use crate::load::reports::{MAX_DATAGRAM, Message};

/// The maximum number of requests that are queued for a node, and for all nodes.
const MAX_QUEUED: usize = 1_024;
/// The maximum number of datagrams with records to a node in a round.
const MAX_DATAGRAMS: usize = 4;
/// The size of a message without its records, in bytes.
const ENVELOPE_BYTES: usize = 64;

/// Who is told of a change in what a node knows of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Audience {
    /// No other node.
    Nobody,
    /// The nodes that add up the crashes under the request.
    Judges,
    /// All nodes.
    All,
}

/// Who a node tells that it learned something of a request from others. `is_decisive` is whether
/// several endpoints crashed under it. Each node passes each state on once.
///
/// ```
/// # use curranthook_gateway::poison::{Audience, audience};
/// # use curranthook_policy::poison::Standing;
/// let learned = audience(Standing::Suspected, Standing::Poison, true);
/// assert_eq!(learned, Audience::All);
/// assert_eq!(audience(Standing::Poison, Standing::Poison, true), Audience::Nobody);
/// assert_eq!(audience(Standing::Unknown, Standing::Suspected, false), Audience::Nobody);
/// ```
pub fn audience(before: Standing, after: Standing, is_decisive: bool) -> Audience {
    if before != after && is_decisive { Audience::All } else { Audience::Nobody }
}

/// The requests whose records are to be sent. Records are read as they are sent, so that one which
/// changed meanwhile is sent in its newest state.
#[derive(Debug, Default)]
pub struct Queue {
    by_node: Mutex<HashMap<SocketAddr, BTreeSet<Fingerprint>>>,
    for_all: Mutex<BTreeSet<Fingerprint>>,
}

impl Queue {
    /// Whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.by_node.lock().is_empty() && self.for_all.lock().is_empty()
    }

    /// Queues a request for one node. Drops it if too many are queued.
    pub(super) fn push(&self, addr: SocketAddr, fingerprint: Fingerprint) {
        let mut by_node = self.by_node.lock();
        let queued = by_node.entry(addr).or_default();
        if queued.len() < MAX_QUEUED {
            queued.insert(fingerprint);
        }
    }

    /// Queues a request for all nodes. Drops it if too many are queued.
    pub(super) fn push_for_all(&self, fingerprint: Fingerprint) {
        let mut for_all = self.for_all.lock();
        if for_all.len() < MAX_QUEUED {
            for_all.insert(fingerprint);
        }
    }

    /// Removes and returns what is sent in this round: messages for single nodes, and one for all.
    pub(super) fn take(
        &self,
        entry: impl Fn(Fingerprint) -> Option<Entry>,
    ) -> (Vec<(SocketAddr, Message)>, Option<Message>) {
        let mut messages = Vec::new();
        let mut by_node = self.by_node.lock();
        for (addr, queued) in by_node.iter_mut() {
            let packed = take_from(queued, &entry, MAX_DATAGRAMS);
            messages.extend(packed.into_iter().map(|it| (*addr, it)));
        }
        by_node.retain(|_, it| !it.is_empty());
        drop(by_node);
        let for_all = take_from(&mut self.for_all.lock(), &entry, 1).pop();
        (messages, for_all)
    }
}

/// Removes the requests with the most crashes from `queued`, the newest first, as far as they fit into
/// `n` messages, and returns these.
fn take_from(
    queued: &mut BTreeSet<Fingerprint>,
    entry: impl Fn(Fingerprint) -> Option<Entry>,
    n: usize,
) -> Vec<Message> {
    let taken = std::mem::take(queued);
    let mut entries: Vec<_> = taken.into_iter().filter_map(entry).collect();
    entries.sort_by_key(|it| (Reverse(it.n_crashes()), it.age));
    let (messages, rest) = pack(entries, n);
    queued.extend(rest.iter().map(|it| it.fingerprint));
    messages
}

/// Puts records into `n` messages that each fit into a datagram, and returns these with the records
/// that are left.
pub(super) fn pack(entries: Vec<Entry>, n: usize) -> (Vec<Message>, Vec<Entry>) {
    let (mut packed, mut rest) = (Vec::new(), Vec::new());
    let (mut current, mut n_bytes) = (Vec::new(), ENVELOPE_BYTES);
    for it in entries {
        let size = serde_json::to_vec(&it).map_or(usize::MAX, |it| it.len() + 1);
        // Other nodes read it in this node's row.
        if MAX_DATAGRAM < size.saturating_add(ENVELOPE_BYTES) {
            continue;
        }
        if MAX_DATAGRAM < n_bytes + size && !current.is_empty() {
            packed.push(std::mem::take(&mut current));
            n_bytes = ENVELOPE_BYTES;
        }
        if packed.len() < n {
            current.push(it);
            n_bytes += size;
        } else {
            rest.push(it);
        }
    }
    packed.extend(Some(current).filter(|it| !it.is_empty()));
    (packed.into_iter().map(|entries| Message::Poison { entries }).collect(), rest)
}

/// A hash from which the nodes follow that add up the crashes under a request.
pub(super) fn hash(fingerprint: Fingerprint) -> u64 {
    let [a, b, c, d, e, f, g, h, ..] = fingerprint;
    u64::from_be_bytes([a, b, c, d, e, f, g, h])
}
