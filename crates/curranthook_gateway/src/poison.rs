//! Requests that crash the endpoints that run them: what this node observes of them, and what it
//! learns from others.

use curranthook_policy::poison::{Entry, Standing};

use crate::{Gateway, advertised::Incarnation, event::Event, request::Request};

/// Where a node learned of crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The row of another node.
    Store,
    /// The row that an earlier process of this node wrote.
    OwnRow,
}

impl Source {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::OwnRow => "own_row",
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
    let (id, incarnation) = (&endpoint.id, endpoint.hash());
    gateway.poison.lock().record_incarnation_crash(fingerprint, id, incarnation, now);
    gateway.metrics.record_poison("charged");
}

/// Records that an endpoint answered a request completely, so that it did not cause the crashes
/// attributed to it.
pub fn record_answer(gateway: &Gateway, request: &Request) {
    let (fingerprint, now) = (request.fingerprint, gateway.now());
    let before = {
        let mut poison = gateway.poison.lock();
        let before = poison.standing(fingerprint, now);
        poison.clear(fingerprint);
        before
    };
    if matches!(before, Standing::Suspected | Standing::Poison) {
        gateway.metrics.record_poison("cleared");
    }
}

/// Merges what others recorded.
pub fn receive(gateway: &Gateway, entries: Vec<Entry>, source: Source) {
    let now = gateway.now();
    for it in entries {
        let (fingerprint, age) = (it.fingerprint, it.age);
        let (before, after) = {
            let mut poison = gateway.poison.lock();
            let before = poison.standing(fingerprint, now);
            match source {
                Source::OwnRow => poison.restore([it], now),
                Source::Store => poison.merge([it], now),
            }
            (before, poison.standing(fingerprint, now))
        };
        if before == after {
            continue;
        }
        gateway.metrics.record_poison(match after {
            Standing::Unknown | Standing::Suspected => "suspected",
            Standing::Poison => "learned",
            Standing::Cleared => "cleared",
        });
        // Each request in flight at a crash is suspected, so these have no lines.
        if after == Standing::Suspected {
            continue;
        }
        let state = if after == Standing::Poison { "poison" } else { "cleared" };
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let from = source.name();
        gateway.log.write(&Event::PoisonLearned { fingerprint, state, age_ms, from });
    }
}
