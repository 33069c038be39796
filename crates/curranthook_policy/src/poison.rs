//! Detection of requests that crash the endpoints that run them.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    time::{Duration, Instant},
};

use curranthook_types::endpoint;
use serde::{Deserialize, Serialize};

/// A hash of a request's body, the same on every node.
pub type Fingerprint = [u8; 16];

/// How many crashes, each of another endpoint or incarnation, a request is refused after.
const MIN_CRASHES: usize = 2;
/// How long after its first crash a record stays valid.
const RECORD_TTL: Duration = Duration::from_secs(600);

/// A node's record of one request, as sent to other nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The endpoints that crashed while running it; at most two are listed, which is enough.
    pub endpoints: BTreeSet<endpoint::Id>,
    /// Hashes of the incarnations that crashed, at most two. Empty where these are not told apart.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub incarnations: BTreeSet<u64>,
    /// Whether the crashes still count against the request, or an endpoint has answered it after
    /// them.
    pub state: State,
    /// The time since the first crash.
    pub age: Duration,
}

impl Entry {
    /// The number of crashes that are told apart.
    pub fn n_crashes(&self) -> usize {
        self.endpoints.len().max(self.incarnations.len())
    }

    /// Whether several endpoints crashed, so that the request is refused unless it is cleared.
    pub fn is_decisive(&self) -> bool {
        MIN_CRASHES <= self.n_crashes()
    }
}

/// Whether the crashes in a record count against the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// No endpoint has answered the request, so its crashes count.
    #[serde(rename = "charged")]
    Active,
    /// An endpoint answered the request, so the crashes had another cause.
    #[serde(rename = "released")]
    Cleared,
}

/// What a register knows of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// No endpoint crashed while running it.
    Unknown,
    /// An endpoint crashed while running it, which may have had another cause.
    Suspected,
    /// So many crashed that it must be refused.
    Poison,
    /// An endpoint answered it.
    Cleared,
}

/// Records of crashes by request fingerprint. The oldest are dropped if there are too many.
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
    answers: Answers,
}

/// When this node's last answers to requests ended, by request.
#[derive(Debug)]
struct Answers {
    capacity: usize,
    ended_at: HashMap<Fingerprint, Instant>,
    in_order: VecDeque<(Instant, Fingerprint)>,
}

impl Answers {
    fn new(capacity: usize) -> Self {
        Self { capacity, ended_at: HashMap::new(), in_order: VecDeque::new() }
    }

    fn record(&mut self, fingerprint: Fingerprint, now: Instant) {
        self.ended_at.insert(fingerprint, now);
        self.in_order.push_back((now, fingerprint));
        while self.capacity < self.in_order.len()
            && let Some((at, fingerprint)) = self.in_order.pop_front()
        {
            if self.ended_at.get(&fingerprint) == Some(&at) {
                self.ended_at.remove(&fingerprint);
            }
        }
    }

    /// Whether the request was answered later than `at`.
    fn is_later(&self, fingerprint: Fingerprint, at: Instant) -> bool {
        self.ended_at.get(&fingerprint).is_some_and(|ended_at| at < *ended_at)
    }
}

#[derive(Debug)]
struct Record {
    endpoints: BTreeSet<endpoint::Id>,
    incarnations: BTreeSet<u64>,
    state: State,
    since: Instant,
    origin: Origin,
}

impl Record {
    fn entry(&self, fingerprint: Fingerprint, now: Instant) -> Entry {
        Entry {
            fingerprint,
            endpoints: self.endpoints.clone(),
            incarnations: self.incarnations.clone(),
            state: self.state,
            age: now.saturating_duration_since(self.since),
        }
    }

    fn n_crashes(&self) -> usize {
        self.endpoints.len().max(self.incarnations.len())
    }
}

/// Whose observation a record is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Origin {
    /// Only other nodes observed the request.
    Others,
    /// This node observed a crash, or the answer that clears the request.
    Own,
}

impl Register {
    /// Creates a register of at most `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        let answers = Answers::new(capacity);
        Self { capacity, records: BTreeMap::new(), by_age: BTreeSet::new(), answers }
    }

    /// Records that an endpoint crashed while running this request.
    pub fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        endpoint: &endpoint::Id,
        now: Instant,
    ) {
        self.record(fingerprint, endpoint, None, now);
    }

    /// Records that an incarnation of an endpoint crashed while running this request. `incarnation` is
    /// a hash of it, the same on every node. Crashes of an endpoint that is back under its id count
    /// each.
    ///
    /// ```
    /// # use std::time::Instant;
    /// # use curranthook_policy::poison::Register;
    /// let (mut register, body, now) = (Register::new(1_000), [7; 16], Instant::now());
    /// register.record_incarnation_crash(body, &"engine-1".into(), 1, now);
    /// assert!(!register.is_poison(body, now));
    /// register.record_incarnation_crash(body, &"engine-1".into(), 2, now);
    /// assert!(register.is_poison(body, now));
    /// ```
    pub fn record_incarnation_crash(
        &mut self,
        fingerprint: Fingerprint,
        endpoint: &endpoint::Id,
        incarnation: u64,
        now: Instant,
    ) {
        self.record(fingerprint, endpoint, Some(incarnation), now);
    }

    fn record(
        &mut self,
        fingerprint: Fingerprint,
        endpoint: &endpoint::Id,
        incarnation: Option<u64>,
        now: Instant,
    ) {
        self.expire(now);
        let record = Record {
            endpoints: BTreeSet::from([endpoint.clone()]),
            incarnations: incarnation.into_iter().collect(),
            state: State::Active,
            since: now,
            origin: Origin::Own,
        };
        self.merge_record(fingerprint, record);
    }

    /// Whether this request must be refused.
    pub fn is_poison(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.standing(fingerprint, now) == Standing::Poison
    }

    /// What is known of this request.
    ///
    /// ```
    /// # use std::time::Instant;
    /// # use curranthook_policy::poison::{Register, Standing};
    /// let (mut register, body, now) = (Register::new(1_000), [7; 16], Instant::now());
    /// register.record_crash(body, &"engine-1".into(), now);
    /// assert_eq!(register.standing(body, now), Standing::Suspected);
    /// register.clear(body);
    /// assert_eq!(register.standing(body, now), Standing::Cleared);
    /// ```
    pub fn standing(&self, fingerprint: Fingerprint, now: Instant) -> Standing {
        let is_valid = |it: &&Record| now.saturating_duration_since(it.since) < RECORD_TTL;
        let Some(record) = self.records.get(&fingerprint).filter(is_valid) else {
            return Standing::Unknown;
        };
        match record.state {
            State::Cleared => Standing::Cleared,
            State::Active if MIN_CRASHES <= record.n_crashes() => Standing::Poison,
            State::Active => Standing::Suspected,
        }
    }

    /// Records that an endpoint answered this request. That clears it also of crashes before the
    /// answer that this node learns of later.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use curranthook_policy::poison::{Register, Standing};
    /// let now = Instant::now();
    /// let (mut ours, mut theirs) = (Register::new(1_000), Register::new(1_000));
    /// theirs.record_crash([7; 16], &"engine-1".into(), now);
    /// theirs.record_crash([7; 16], &"engine-2".into(), now);
    /// let later = now + Duration::from_millis(50);
    /// ours.record_answer([7; 16], later);
    /// ours.merge(theirs.export_own(later), later);
    /// assert_eq!(ours.standing([7; 16], later), Standing::Cleared);
    /// ```
    pub fn record_answer(&mut self, fingerprint: Fingerprint, now: Instant) {
        self.answers.record(fingerprint, now);
        self.clear(fingerprint);
    }

    /// Records that an endpoint answered this request, so that it is no longer refused.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        if let Some(it) = self.records.get_mut(&fingerprint).filter(|it| it.state == State::Active)
        {
            it.state = State::Cleared;
            it.origin = Origin::Own;
        }
    }

    /// All valid records, for nodes that pass on what they hear from each other.
    pub fn export(&self, now: Instant) -> Vec<Entry> {
        self.entries(now, |_| true)
    }

    /// The valid records of what this node has observed itself, for nodes that hear from each other
    /// directly. If these passed on each other's records, every crash would be sent by every node.
    ///
    /// ```
    /// # use std::time::Instant;
    /// # use curranthook_policy::poison::Register;
    /// let now = Instant::now();
    /// let (mut ours, mut theirs) = (Register::new(1_000), Register::new(1_000));
    /// ours.record_crash([7; 16], &"engine-1".into(), now);
    /// theirs.merge(ours.export_own(now), now);
    /// assert_eq!((ours.export_own(now).len(), theirs.export_own(now).len()), (1, 0));
    /// ```
    pub fn export_own(&self, now: Instant) -> Vec<Entry> {
        self.entries(now, |it| it.origin == Origin::Own)
    }

    /// The valid records of requests under which several endpoints crashed, the newest first: those
    /// that are refused, and those that were until an endpoint answered them.
    pub fn export_decisive(&self, now: Instant) -> Vec<Entry> {
        let mut entries = self.entries(now, |it| MIN_CRASHES <= it.n_crashes());
        entries.sort_by_key(|it| it.age);
        entries
    }

    /// The record of a request, if it is valid.
    pub fn entry(&self, fingerprint: Fingerprint, now: Instant) -> Option<Entry> {
        let entry = self.records.get(&fingerprint)?.entry(fingerprint, now);
        (entry.age < RECORD_TTL).then_some(entry)
    }

    fn entries(&self, now: Instant, is_exported: impl Fn(&Record) -> bool) -> Vec<Entry> {
        let records = self.records.iter().filter(|(_, it)| is_exported(it));
        let entries = records.map(|(fingerprint, it)| it.entry(*fingerprint, now));
        entries.filter(|it| it.age < RECORD_TTL).collect()
    }

    /// Merges the records of another node. Order and repetition have no effect.
    pub fn merge(&mut self, entries: impl IntoIterator<Item = Entry>, now: Instant) {
        self.merge_entries(entries, Origin::Others, now);
    }

    /// Merges records that an earlier process of this node exported.
    pub fn restore(&mut self, entries: impl IntoIterator<Item = Entry>, now: Instant) {
        self.merge_entries(entries, Origin::Own, now);
    }

    fn merge_entries(
        &mut self,
        entries: impl IntoIterator<Item = Entry>,
        origin: Origin,
        now: Instant,
    ) {
        self.expire(now);
        for it in entries.into_iter().filter(|it| it.age < RECORD_TTL) {
            let since = now.checked_sub(it.age).unwrap_or(now);
            let Entry { endpoints, incarnations, state, .. } = it;
            let record = Record { endpoints, incarnations, state, since, origin };
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
                incarnations: existing
                    .incarnations
                    .into_iter()
                    .chain(record.incarnations)
                    .collect(),
                state: existing.state.max(record.state),
                // The earlier time: with the later one, an entry that nodes exchange back and forth
                // would be refreshed by its transit time on each exchange and never expire.
                since: existing.since.min(record.since),
                origin: existing.origin.max(record.origin),
            },
        };
        if merged.state == State::Active && self.answers.is_later(fingerprint, merged.since) {
            (merged.state, merged.origin) = (State::Cleared, Origin::Own);
        }
        while MIN_CRASHES < merged.endpoints.len() {
            merged.endpoints.pop_last();
        }
        while MIN_CRASHES < merged.incarnations.len() {
            merged.incarnations.pop_last();
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
