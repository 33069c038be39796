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
const MIN_CRASHED_ENDPOINTS: usize = 2;
/// How long a charge stands.
const RECORD_TTL: Duration = Duration::from_secs(600);

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
    #[serde(rename = "charged")]
    Active,
    /// An endpoint answered the request, so the deaths had another cause.
    #[serde(rename = "released")]
    Cleared,
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
    records: BTreeMap<Fingerprint, Record>,
    by_age: BTreeSet<(Instant, Fingerprint)>,
}

#[derive(Debug)]
struct Record {
    endpoints: BTreeSet<endpoint::Id>,
    state: State,
    since: Instant,
}

impl Register {
    /// A register of at most `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, records: BTreeMap::new(), by_age: BTreeSet::new() }
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
        self.merge_record(fingerprint, Record { endpoints, state: State::Active, since: now });
    }

    /// Whether this request must not be run any more.
    pub fn is_poison(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.records.get(&fingerprint).is_some_and(|it| {
            it.state == State::Active
                && MIN_CRASHED_ENDPOINTS <= it.endpoints.len()
                && now.saturating_duration_since(it.since) < RECORD_TTL
        })
    }

    /// An endpoint answered this request.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        if let Some(it) = self.records.get_mut(&fingerprint) {
            it.state = State::Cleared;
        }
    }

    /// Everything known, for other nodes.
    pub fn export(&self, now: Instant) -> Vec<Entry> {
        let entries = self.records.iter().map(|(fingerprint, it)| Entry {
            fingerprint: *fingerprint,
            endpoints: it.endpoints.clone(),
            state: it.state,
            age: now.saturating_duration_since(it.since),
        });
        entries.filter(|it| it.age < RECORD_TTL).collect()
    }

    /// Takes in what another node knows. Order and repeats don't matter.
    pub fn merge(&mut self, entries: impl IntoIterator<Item = Entry>, now: Instant) {
        self.expire(now);
        for it in entries.into_iter().filter(|it| it.age < RECORD_TTL) {
            let since = now.checked_sub(it.age).unwrap_or(now);
            let record = Record { endpoints: it.endpoints, state: it.state, since };
            self.merge_record(it.fingerprint, record);
        }
    }

    fn merge_record(&mut self, fingerprint: Fingerprint, record: Record) {
        let existing = self.records.remove(&fingerprint);
        if let Some(existing) = &existing {
            self.by_age.remove(&(existing.since, fingerprint));
        }
        let mut merged = match existing {
            None => record,
            Some(existing) => Record {
                endpoints: existing.endpoints.into_iter().chain(record.endpoints).collect(),
                state: existing.state.max(record.state),
                // The earlier time: with the later one, nodes that send an entry to and fro
                // would keep it young for ever by the time it spends on the way.
                since: existing.since.min(record.since),
            },
        };
        while MIN_CRASHED_ENDPOINTS < merged.endpoints.len() {
            merged.endpoints.pop_last();
        }
        self.by_age.insert((merged.since, fingerprint));
        self.records.insert(fingerprint, merged);
        while self.capacity < self.records.len() {
            self.drop_oldest();
        }
    }

    fn expire(&mut self, now: Instant) {
        while let Some((since, _)) = self.by_age.first()
            && RECORD_TTL <= now.saturating_duration_since(*since)
        {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, fingerprint)) = self.by_age.pop_first() {
            self.records.remove(&fingerprint);
        }
    }
}
