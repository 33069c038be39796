//! Requests that crash the endpoints that run them: what this node observes of them, and what nodes
//! tell each other.
//!
//! A node reports each crash to a few nodes that follow from the request, its judges. Once one of
//! these, or the node itself, knows of so many crashes that the request is refused, it tells all
//! nodes, and so does one that learns that an endpoint answered the request. A node that starts asks
//! others. Rows of the store keep what was observed while all nodes restart.

mod told;

use std::net::SocketAddr;

use curranthook_policy::poison::{Entry, Fingerprint, Standing};

use crate::{
    Gateway, advertised::Incarnation, event::Event, load::reports::Message, request::Request,
};

pub use self::told::{Audience, Queue, audience};

/// The number of nodes to which the crashes under a request are reported: some may be lost.
const N_JUDGES: usize = 3;
/// The maximum number of datagrams with records for a node that starts.
const MAX_ANSWERS: usize = 16;

/// Where a node learned of crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The row of another node.
    Store,
    /// The row that an earlier process of this node wrote.
    OwnRow,
    /// A message of the node with this address.
    Peer(SocketAddr),
}

impl Source {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::OwnRow => "own_row",
            Self::Peer(_) => "peer",
        }
    }
}

/// Whether a request must not be sent to endpoints, as it crashed several.
pub fn is_refused(gateway: &Gateway, request: &Request) -> bool {
    gateway.poison.lock().is_poison(request.fingerprint, gateway.now())
}

/// Records that an endpoint crashed while running a request.
pub fn record_crash(gateway: &Gateway, request: &Request, endpoint: &Incarnation) {
    let (fingerprint, now) = (request.fingerprint, gateway.now());
    let was_refused = is_refused(gateway, request);
    let (id, incarnation) = (&endpoint.id, endpoint.hash());
    gateway.poison.lock().record_incarnation_crash(fingerprint, id, incarnation, now);
    gateway.metrics.record_poison("charged");
    tell(gateway, fingerprint, Audience::Judges);
    if !was_refused && is_refused(gateway, request) {
        tell(gateway, fingerprint, Audience::All);
    }
}

/// Records that an endpoint answered a request completely, so that it did not cause the crashes
/// attributed to it.
pub fn record_answer(gateway: &Gateway, request: &Request) {
    let (fingerprint, now) = (request.fingerprint, gateway.now());
    let before = {
        let mut poison = gateway.poison.lock();
        let before = poison.standing(fingerprint, now);
        poison.record_answer(fingerprint, now);
        before
    };
    if !matches!(before, Standing::Suspected | Standing::Poison) {
        return;
    }
    gateway.metrics.record_poison("cleared");
    tell(gateway, fingerprint, Audience::Judges);
    if before == Standing::Poison {
        log_learned(gateway, fingerprint, Standing::Cleared, "own");
        tell(gateway, fingerprint, Audience::All);
    }
}

/// Merges what others recorded. A node that reports a crash under a request of which more is known is
/// told.
pub fn receive(gateway: &Gateway, entries: Vec<Entry>, source: Source) {
    let now = gateway.now();
    for it in entries {
        let (fingerprint, is_report) = (it.fingerprint, !it.is_decisive());
        let (before, after, is_decisive) = {
            let mut poison = gateway.poison.lock();
            let before = poison.standing(fingerprint, now);
            match source {
                Source::OwnRow => poison.restore([it], now),
                Source::Store | Source::Peer(_) => poison.merge([it], now),
            }
            let entry = poison.entry(fingerprint, now);
            let is_decisive = entry.is_some_and(|it| it.is_decisive());
            (before, poison.standing(fingerprint, now), is_decisive)
        };
        if let (Source::Peer(from), true, true) = (source, is_report, is_decisive)
            && let Some(reports) = gateway.load_reports.get()
        {
            reports.poison.push(from, fingerprint);
            gateway.pending_work_changed.wake();
        }
        if before == after {
            continue;
        }
        gateway.metrics.record_poison(match after {
            Standing::Unknown | Standing::Suspected => "suspected",
            Standing::Poison => "learned",
            Standing::Cleared => "cleared",
        });
        // Each request in flight at a crash is suspected, so these have no lines.
        if is_decisive {
            log_learned(gateway, fingerprint, after, source.name());
        }
        // All nodes read the rows.
        if matches!(source, Source::Peer(_)) {
            tell(gateway, fingerprint, audience(before, after, is_decisive));
        }
    }
}

fn log_learned(gateway: &Gateway, fingerprint: Fingerprint, standing: Standing, from: &str) {
    let age = gateway.poison.lock().entry(fingerprint, gateway.now()).map(|it| it.age);
    let age_ms = age.map_or(0, |it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX));
    let state = if standing == Standing::Poison { "poison" } else { "cleared" };
    gateway.log.write(&Event::PoisonLearned { fingerprint, state, age_ms, from });
}

/// Queues the record of a request for other nodes.
fn tell(gateway: &Gateway, fingerprint: Fingerprint, audience: Audience) {
    let Some(reports) = gateway.load_reports.get() else { return };
    match audience {
        Audience::Nobody => return,
        Audience::Judges => {
            let own = gateway.settings.reports;
            let others = judges(gateway, fingerprint).into_iter().filter(|it| Some(*it) != own);
            others.for_each(|addr| reports.poison.push(addr, fingerprint));
        }
        Audience::All => reports.poison.push_for_all(fingerprint),
    }
    gateway.pending_work_changed.wake();
}

/// The addresses of the nodes that add up the crashes under a request.
fn judges(gateway: &Gateway, fingerprint: Fingerprint) -> Vec<SocketAddr> {
    gateway.load_owners.lock().nearest(told::hash(fingerprint), N_JUDGES)
}

/// The messages to send now, and to whom: records for judges, and those for all nodes.
pub(crate) fn messages(
    gateway: &Gateway,
    queue: &Queue,
) -> (Vec<(SocketAddr, Message)>, Option<Message>) {
    let (poison, now) = (gateway.poison.lock(), gateway.now());
    queue.take(|fingerprint| poison.entry(fingerprint, now))
}

/// The messages for a node that starts: of the requests under which several endpoints crashed.
pub(crate) fn answers(gateway: &Gateway) -> Vec<Message> {
    let entries = gateway.poison.lock().export_decisive(gateway.now());
    told::pack(entries, MAX_ANSWERS).0
}
