//! Requests that take endpoints down.
//!
//! Now and then one request crashes each endpoint that runs it, and its caller sends it again,
//! perhaps over another router. One notices endpoints dying one after the other. The body's
//! fingerprint is charged with each endpoint that died under it; after two it is refused
//! everywhere, because charges travel with the digest. The policy's [`Register`] decides; this
//! adds the clock and the form in which charges travel.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use curranthook_policy::poison::{self, Fingerprint, Register, State};
use curranthook_types::{Clock, endpoint};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};

/// How many fingerprints are kept.
const MAX_FINGERPRINTS: usize = 1_024;

/// A charge as a digest carries it: fingerprint, endpoints, time of the first charge in
/// milliseconds since 1970, whether it stands.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry(
    #[serde_as(as = "Hex")] pub Fingerprint,
    pub BTreeSet<endpoint::Id>,
    pub u64,
    pub State,
);

/// The fingerprints charged lately.
#[derive(Debug)]
pub struct Poison {
    clock: Arc<dyn Clock>,
    register: Mutex<Register>,
}

impl Poison {
    /// No charges yet.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self { clock, register: Mutex::new(Register::new(MAX_FINGERPRINTS)) }
    }

    /// Charges a fingerprint with an endpoint that died under it.
    pub fn record_crash(&self, fingerprint: Fingerprint, endpoint: &endpoint::Id) {
        self.register.lock().record_crash(fingerprint, endpoint, self.clock.now());
    }

    /// Takes a fingerprint's charges back: an endpoint answered the request, so those that died
    /// had another cause, such as a restart.
    pub fn clear(&self, fingerprint: &Fingerprint) {
        self.register.lock().clear(*fingerprint);
    }

    /// Whether enough endpoints died under it.
    pub fn is_poison(&self, fingerprint: &Fingerprint) -> bool {
        self.register.lock().is_poison(*fingerprint, self.clock.now())
    }

    /// Takes in a peer's charge.
    pub fn merge(&self, entry: &Entry) {
        let Entry(fingerprint, endpoints, at_millis, state) = entry.clone();
        let age = Duration::from_millis(self.clock.unix_millis().saturating_sub(at_millis));
        let entry = poison::Entry { fingerprint, endpoints, state, age };
        self.register.lock().merge([entry], self.clock.now());
    }

    /// The `n` latest charges, beginning after the first `skip`.
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
