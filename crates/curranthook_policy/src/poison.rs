//! Requests that take down the endpoints that run them.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use curranthook_types::endpoint;
use serde::{Deserialize, Serialize};

/// A hash of a request's body, the same on every node.
pub type Fingerprint = [u8; 16];

/// How many different endpoints must have died under a request.
const ENDPOINTS: usize = 2;
/// How long a charge stands.
const EXPIRY: Duration = Duration::from_secs(600);

/// What a node knows of one request, for other nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The endpoints that died under it; two are enough.
    pub endpoints: BTreeSet<endpoint::Id>,
    /// Whether an endpoint answered it since.
    pub state: State,
    /// How long ago it was first charged.
    pub age: Duration,
}

/// Whether a charge still stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It does.
    Charged,
    /// An endpoint answered the request, so the deaths had another cause.
    Released,
}

/// Charges against requests, by fingerprint. The oldest are dropped when there are too many.
///
/// ```
/// # use std::time::Instant;
/// # use curranthook_policy::poison::Register;
/// let (now, body) = (Instant::now(), [7; 16]);
/// let mut register = Register::new(1_000);
/// register.record_crash(body, &"engine-1".into(), now);
/// register.record_crash(body, &"engine-1".into(), now);
/// assert!(!register.is_poison(body, now));
/// register.record_crash(body, &"engine-2".into(), now);
/// assert!(register.is_poison(body, now));
/// ```
#[derive(Debug)]
pub struct Register {
    capacity: usize,
    charges: BTreeMap<Fingerprint, Charge>,
    by_age: BTreeSet<(Instant, Fingerprint)>,
}

#[derive(Debug)]
struct Charge {
    endpoints: BTreeSet<endpoint::Id>,
    state: State,
    since: Instant,
}

impl Register {
    /// A register of at most `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, charges: BTreeMap::new(), by_age: BTreeSet::new() }
    }

    /// An endpoint died under this request.
    pub fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        endpoint: &endpoint::Id,
        now: Instant,
    ) {
        self.expire(now);
        let endpoints = BTreeSet::from([endpoint.clone()]);
        self.join(fingerprint, Charge { endpoints, state: State::Charged, since: now });
    }

    /// Whether this request must not be run any more.
    pub fn is_poison(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.charges.get(&fingerprint).is_some_and(|it| {
            it.state == State::Charged
                && ENDPOINTS <= it.endpoints.len()
                && now.saturating_duration_since(it.since) < EXPIRY
        })
    }

    /// An endpoint answered this request.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        if let Some(it) = self.charges.get_mut(&fingerprint) {
            it.state = State::Released;
        }
    }

    /// Everything known, for other nodes.
    pub fn export(&self, now: Instant) -> Vec<Entry> {
        let entries = self.charges.iter().map(|(fingerprint, it)| Entry {
            fingerprint: *fingerprint,
            endpoints: it.endpoints.clone(),
            state: it.state,
            age: now.saturating_duration_since(it.since),
        });
        entries.filter(|it| it.age < EXPIRY).collect()
    }

    /// Takes in what another node knows. Order and repeats don't matter.
    pub fn merge(&mut self, entries: impl IntoIterator<Item = Entry>, now: Instant) {
        self.expire(now);
        for it in entries.into_iter().filter(|it| it.age < EXPIRY) {
            let since = now.checked_sub(it.age).unwrap_or(now);
            let charge = Charge { endpoints: it.endpoints, state: it.state, since };
            self.join(it.fingerprint, charge);
        }
    }

    fn join(&mut self, fingerprint: Fingerprint, charge: Charge) {
        let known = self.charges.remove(&fingerprint);
        if let Some(known) = &known {
            self.by_age.remove(&(known.since, fingerprint));
        }
        let mut joined = match known {
            None => charge,
            Some(known) => Charge {
                endpoints: known.endpoints.into_iter().chain(charge.endpoints).collect(),
                state: known.state.max(charge.state),
                // The earlier time: with the later one, nodes that send an entry to and fro
                // would keep it young for ever by the time it spends on the way.
                since: known.since.min(charge.since),
            },
        };
        while ENDPOINTS < joined.endpoints.len() {
            joined.endpoints.pop_last();
        }
        self.by_age.insert((joined.since, fingerprint));
        self.charges.insert(fingerprint, joined);
        while self.capacity < self.charges.len() {
            self.drop_oldest();
        }
    }

    fn expire(&mut self, now: Instant) {
        while let Some((since, _)) = self.by_age.first()
            && EXPIRY <= now.saturating_duration_since(*since)
        {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, fingerprint)) = self.by_age.pop_first() {
            self.charges.remove(&fingerprint);
        }
    }
}
