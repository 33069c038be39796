//! Requests that take endpoints down.
//!
//! Now and then one request crashes each endpoint that runs it, and its caller sends it again,
//! perhaps over another router. One notices endpoints dying one after the other. The body's
//! fingerprint is charged with each endpoint that died under it; after two it is refused
//! everywhere, because charges travel with the digest.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use curranthook_types::{Clock, endpoint};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};

/// How many different endpoints have to die.
const ENOUGH: usize = 2;
/// How long a charge holds.
const EXPIRY: Duration = Duration::from_secs(600);
/// How many fingerprints are kept.
const MAX_ENTRIES: usize = 1_024;

/// A charge as a digest carries it: fingerprint, endpoints, time of the last charge.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry(#[serde_as(as = "Hex")] pub [u8; 16], pub BTreeSet<endpoint::Id>, pub u64);

#[derive(Debug, Default)]
struct Charge {
    endpoints: BTreeSet<endpoint::Id>,
    /// Set by the node that saw the death and passed on unchanged. If each receiver set it anew,
    /// a charge would go round for ever.
    at_millis: u64,
}

/// The fingerprints charged lately.
#[derive(Debug)]
pub struct Poison {
    clock: Arc<dyn Clock>,
    charges: Mutex<HashMap<[u8; 16], Charge>>,
}

impl Poison {
    /// No charges yet.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self { clock, charges: Mutex::default() }
    }

    /// Charges a fingerprint with an endpoint that died under it.
    pub fn charge(&self, fingerprint: [u8; 16], endpoint: &endpoint::Id) {
        let endpoints = BTreeSet::from([endpoint.clone()]);
        self.merge(&Entry(fingerprint, endpoints, self.clock.unix_millis()));
    }

    /// Whether enough endpoints died under it.
    pub fn is_poison(&self, fingerprint: &[u8; 16]) -> bool {
        let now = self.clock.unix_millis();
        let charges = self.charges.lock();
        charges
            .get(fingerprint)
            .is_some_and(|it| ENOUGH <= it.endpoints.len() && !is_expired(it.at_millis, now))
    }

    /// Takes in a peer's charge.
    pub fn merge(&self, entry: &Entry) {
        let now = self.clock.unix_millis();
        let Entry(fingerprint, endpoints, at_millis) = entry;
        if is_expired(*at_millis, now) {
            return;
        }
        let mut charges = self.charges.lock();
        let charge = charges.entry(*fingerprint).or_default();
        charge.endpoints.extend(endpoints.iter().take(ENOUGH).cloned());
        while ENOUGH < charge.endpoints.len() {
            charge.endpoints.pop_last();
        }
        charge.at_millis = charge.at_millis.max((*at_millis).min(now));
        if MAX_ENTRIES < charges.len() {
            charges.retain(|_, it| !is_expired(it.at_millis, now));
            evict_oldest(&mut charges);
        }
    }

    /// The `n` latest charges, beginning after the first `skip`.
    pub fn pick(&self, skip: usize, n: usize) -> Vec<Entry> {
        let now = self.clock.unix_millis();
        let charges = self.charges.lock();
        let mut live: Vec<_> =
            charges.iter().filter(|(_, it)| !is_expired(it.at_millis, now)).collect();
        live.sort_by_key(|(fingerprint, it)| (std::cmp::Reverse(it.at_millis), **fingerprint));
        let skip = skip.checked_rem(live.len()).unwrap_or(0);
        let entry = |(fingerprint, it): &(&[u8; 16], &Charge)| {
            Entry(**fingerprint, it.endpoints.clone(), it.at_millis)
        };
        live.iter().skip(skip).take(n).map(entry).collect()
    }
}

fn is_expired(at_millis: u64, now_millis: u64) -> bool {
    EXPIRY < Duration::from_millis(now_millis.saturating_sub(at_millis))
}

fn evict_oldest(charges: &mut HashMap<[u8; 16], Charge>) {
    while MAX_ENTRIES < charges.len() {
        let oldest = charges.iter().min_by_key(|(_, it)| it.at_millis).map(|(key, _)| *key);
        let Some(oldest) = oldest else { return };
        charges.remove(&oldest);
    }
}
