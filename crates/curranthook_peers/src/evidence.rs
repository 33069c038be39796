//! Evidence on the quality of versions, counted by each node and summed over all nodes.
//!
//! The counters of each origin only grow, and a merge keeps the higher value of each. A digest that
//! arrives twice, late or out of order is therefore never counted twice.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, HashMap},
};

pub use curranthook_policy::verdict::{Counts, Outcome, Sample};
use curranthook_types::{bill::Origin, kind, version, vm};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// Maximum number of records, one for each origin, version and kind of work. Sized for 1,800 nodes
/// and 7 versions, with room for the nodes that are replaced within a day.
const MAX_RECORDS: usize = 20_000;
/// Number of times that a changed record is sent with priority over unchanged ones.
const SENDS_PER_CHANGE: u32 = 4;
/// Maximum number of records considered for one frame; more would not fit.
const MAX_CANDIDATES: usize = 12;

/// Merges two states of one origin's counters: the higher value of each field.
fn max_counts(a: &Counts, b: &Counts) -> Counts {
    Counts {
        n: a.n.max(b.n),
        sum: a.sum.max(b.sum),
        squares: a.squares.max(b.squares),
        calls: a.calls.max(b.calls),
        errors: a.errors.max(b.errors),
        tokens: a.tokens.max(b.tokens),
        lengths: a.lengths.max(b.lengths),
    }
}

/// Whether there is more than one failure in ten calls, or a mean rating below one half.
fn is_suspicious(counts: &Counts) -> bool {
    counts.calls < counts.errors.saturating_mul(10) || counts.sum < counts.n as f64 * 0.5
}

/// Whether neither errors nor ratings outnumber the calls; other entries are ignored.
fn is_consistent(counts: &Counts) -> bool {
    counts.errors <= counts.calls && counts.n <= counts.calls
}

/// The subject of evidence: a version performing a kind of work. A version may be good at one kind
/// and poor at another.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Subject {
    /// The version.
    pub version: version::Id,
    /// The kind of work.
    pub kind: kind::Id,
}

/// One origin's counters for one subject as they appear in a digest: VM and incarnation of the
/// origin, version, kind, counters.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry(pub vm::Id, pub vm::Incarnation, pub version::Id, pub kind::Id, pub WireCounts);

/// [`Counts`] as a tuple without field names, with ratings in whole ten-thousandths: a sum such as
/// 20.800000000000004 would take more bytes than all other fields.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct WireCounts(u64, u64, u64, u64, u64, u64, u64);

/// Ratings are sent in units of 1/10,000.
const RATING_UNIT: f64 = 10_000.0;
/// Lengths are sent in units of 1/100, which is precise enough for sums over responses.
const LENGTH_UNIT: f64 = 100.0;

impl From<Counts> for WireCounts {
    fn from(it: Counts) -> Self {
        let rounded = |sum: f64, unit: f64| (sum * unit).round() as u64;
        let (sum, squares) = (rounded(it.sum, RATING_UNIT), rounded(it.squares, RATING_UNIT));
        Self(it.calls, it.errors, it.n, sum, squares, it.tokens, rounded(it.lengths, LENGTH_UNIT))
    }
}

impl From<WireCounts> for Counts {
    fn from(it: WireCounts) -> Self {
        let WireCounts(calls, errors, n, sum, squares, tokens, lengths) = it;
        Self {
            n,
            sum: sum as f64 / RATING_UNIT,
            squares: squares as f64 / RATING_UNIT,
            calls,
            errors,
            tokens,
            lengths: lengths as f64 / LENGTH_UNIT,
        }
    }
}

#[derive(Debug, Default)]
struct Record {
    counts: Counts,
    /// How many more times the last change is to be sent with priority.
    sends_left: u32,
    /// The logical time of the last change.
    last_changed: u64,
    /// The logical time of the last send.
    last_sent: u64,
}

#[derive(Debug, Default)]
struct Records {
    by_subject: HashMap<Subject, HashMap<Origin, Record>>,
    n_records: usize,
    logical_time: u64,
}

/// The counts of all versions and origins that a node knows.
#[derive(Debug)]
pub struct Evidence {
    own: Origin,
    records: Mutex<Records>,
}

impl Evidence {
    /// Creates an empty table. `own` is the origin of the responses that [`Self::record`] counts.
    pub fn new(own: Origin) -> Self {
        Self { own, records: Mutex::default() }
    }

    /// Counts the outcome and rating of one response that this node received.
    pub fn record(&self, version: &version::Id, kind: &kind::Id, sample: Sample) {
        let subject = Subject { version: version.clone(), kind: kind.clone() };
        self.records
            .lock()
            .update(&subject, &self.own, |counts| counts.plus(&Counts::from(sample)));
    }

    /// The counts of a version, summed over all origins and kinds of work.
    pub fn total(&self, version: &version::Id) -> Counts {
        let rows = self.by_origin(version);
        rows.iter().fold(Counts::default(), |sum, (_, counts)| sum.plus(counts))
    }

    /// The counts of a version by origin, summed over all kinds of work.
    pub fn by_origin(&self, version: &version::Id) -> Vec<(Origin, Counts)> {
        let records = self.records.lock();
        let mut sums: HashMap<&Origin, Counts> = HashMap::new();
        let origins = records.by_subject.iter().filter(|(subject, _)| subject.version == *version);
        for (origin, record) in origins.flat_map(|(_, origins)| origins) {
            let sum = sums.entry(origin).or_default();
            *sum = sum.plus(&record.counts);
        }
        sums.into_iter().map(|(origin, counts)| (origin.clone(), counts)).collect()
    }

    /// For each subject, the sum of the counts of all other nodes.
    pub fn peer_totals(&self) -> Vec<(Subject, Counts)> {
        let records = self.records.lock();
        let others = |origins: &HashMap<Origin, Record>| {
            origins
                .iter()
                .filter(|(origin, _)| **origin != self.own)
                .fold(Counts::default(), |sum, (_, record)| sum.plus(&record.counts))
        };
        records.by_subject.iter().map(|(subject, it)| (subject.clone(), others(it))).collect()
    }

    /// The total counts of every version that has any.
    pub fn totals(&self) -> Vec<(version::Id, Counts)> {
        let versions: BTreeSet<_> =
            self.records.lock().by_subject.keys().map(|it| it.version.clone()).collect();
        versions.into_iter().map(|it| (it.clone(), self.total(&it))).collect()
    }

    /// Merges a peer's entry.
    pub fn merge(&self, entry: &Entry) {
        let Entry(vm, incarnation, version, kind, wire_counts) = entry;
        let origin = Origin { vm: vm.clone(), incarnation: *incarnation };
        let reported = Counts::from(*wire_counts);
        // Only this process updates the counters of its own origin; entries that peers forward for
        // it contain nothing new.
        if origin == self.own || !is_consistent(&reported) {
            return;
        }
        let subject = Subject { version: version.clone(), kind: kind.clone() };
        self.records.lock().update(&subject, &origin, |known| max_counts(known, &reported));
    }

    /// The entries to send next, as far as they fit: recent changes first, the most suspicious of
    /// them before the others, then all other records in rotation. A change that was sent only a
    /// few times and never again could miss some nodes permanently.
    pub fn select_entries(&self, mut fits: impl FnMut(&Entry) -> bool) -> Vec<Entry> {
        let mut records = self.records.lock();
        records.logical_time += 1;
        let logical_time = records.logical_time;
        let mut candidates: Vec<_> = records
            .by_subject
            .iter_mut()
            .flat_map(|(subject, origins)| {
                origins.iter_mut().map(move |(origin, record)| (subject, origin, record))
            })
            .collect();
        if MAX_CANDIDATES < candidates.len() {
            candidates
                .select_nth_unstable_by_key(MAX_CANDIDATES, |(.., record)| record.send_order());
            candidates.truncate(MAX_CANDIDATES);
        }
        candidates.sort_by_key(|(.., record)| record.send_order());
        let mut selected = Vec::new();
        for (subject, origin, record) in candidates {
            let (version, kind) = (subject.version.clone(), subject.kind.clone());
            let wire_counts = record.counts.into();
            let entry = Entry(origin.vm.clone(), origin.incarnation, version, kind, wire_counts);
            if fits(&entry) {
                record.sends_left = record.sends_left.saturating_sub(1);
                record.last_sent = logical_time;
                selected.push(entry);
            }
        }
        selected
    }
}

impl Record {
    /// The sort key for sending; the lowest is sent first.
    fn send_order(&self) -> impl Ord + use<> {
        let is_pending = 0 < self.sends_left;
        (
            Reverse(is_pending && is_suspicious(&self.counts)),
            Reverse(self.sends_left),
            self.last_sent,
        )
    }
}

impl Records {
    fn update(
        &mut self,
        subject: &Subject,
        origin: &Origin,
        update: impl FnOnce(&Counts) -> Counts,
    ) {
        self.logical_time += 1;
        let logical_time = self.logical_time;
        let origins = self.by_subject.entry(subject.clone()).or_default();
        if !origins.contains_key(origin) {
            self.n_records += 1;
        }
        let record = origins.entry(origin.clone()).or_default();
        let counts = update(&record.counts);
        if counts != record.counts {
            *record = Record {
                counts,
                sends_left: SENDS_PER_CHANGE,
                last_changed: logical_time,
                last_sent: record.last_sent,
            };
        }
        if MAX_RECORDS < self.n_records {
            self.evict();
        }
    }

    /// Removes the record that changed longest ago, whose origin has most likely stopped.
    fn evict(&mut self) {
        let oldest = self
            .by_subject
            .iter()
            .flat_map(|(subject, origins)| {
                origins.iter().map(move |(origin, record)| (record.last_changed, subject, origin))
            })
            .min_by_key(|(last_changed, ..)| *last_changed);
        let Some((_, subject, origin)) = oldest else { return };
        let (subject, origin) = (subject.clone(), origin.clone());
        if let Some(origins) = self.by_subject.get_mut(&subject) {
            origins.remove(&origin);
            self.n_records -= 1;
        }
    }
}
