//! Requests that crash the endpoints that run them.
//!
//! A request may crash every endpoint that runs it, and its caller may retry it, possibly through
//! another router; endpoints then crash one after the other. Each crash is recorded under the
//! fingerprint of the request body. After two endpoints the request is rejected by all nodes,
//! because the records are part of the digest. The [`Register`] of the policy crate decides; this
//! module adds the clock and the wire format.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use curranthook_policy::poison::{self, Fingerprint, Register, State};
use curranthook_types::{Clock, endpoint};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};

/// Maximum number of fingerprints that are stored.
const MAX_FINGERPRINTS: usize = 1_024;

/// A record as it appears in a digest: fingerprint, endpoints, time of the first crash in
/// milliseconds since 1970, and whether the record is still active.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry(
    #[serde_as(as = "Hex")] pub Fingerprint,
    pub BTreeSet<endpoint::Id>,
    pub u64,
    pub State,
);

/// The fingerprints with recent crashes.
#[derive(Debug)]
pub struct Poison {
    clock: Arc<dyn Clock>,
    register: Mutex<Register>,
}

impl Poison {
    /// Creates an empty set.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self { clock, register: Mutex::new(Register::new(MAX_FINGERPRINTS)) }
    }

    /// Records that an endpoint crashed while it ran the request.
    pub fn record_crash(&self, fingerprint: Fingerprint, endpoint: &endpoint::Id) {
        self.register.lock().record_crash(fingerprint, endpoint, self.clock.now());
    }

    /// Clears the record of a fingerprint: an endpoint has answered the request, so the crashes had
    /// another cause, such as a restart.
    pub fn clear(&self, fingerprint: &Fingerprint) {
        self.register.lock().clear(*fingerprint);
    }

    /// Whether enough endpoints have crashed while running the request to reject it.
    pub fn is_poison(&self, fingerprint: &Fingerprint) -> bool {
        self.register.lock().is_poison(*fingerprint, self.clock.now())
    }

    /// Merges a peer's record.
    pub fn merge(&self, entry: &Entry) {
        let Entry(fingerprint, endpoints, at_millis, state) = entry.clone();
        let age = Duration::from_millis(self.clock.unix_millis().saturating_sub(at_millis));
        let incarnations = BTreeSet::new();
        let entry = poison::Entry { fingerprint, endpoints, incarnations, state, age };
        self.register.lock().merge([entry], self.clock.now());
    }

    /// The `n` most recent records after the first `skip`.
    pub fn recent_entries(&self, skip: usize, n: usize) -> Vec<Entry> {
        let now_millis = self.clock.unix_millis();
        let mut live = self.register.lock().export(self.clock.now());
        live.sort_by_key(|it| (it.age, it.fingerprint));
        let skip = skip.checked_rem(live.len()).unwrap_or(0);
        let entry = |it: poison::Entry| {
            let age = u64::try_from(it.age.as_millis()).unwrap_or(u64::MAX);
            Entry(it.fingerprint, it.endpoints, now_millis.saturating_sub(age), it.state)
        };
        live.into_iter().skip(skip).take(n).map(entry).collect()
    }
}
