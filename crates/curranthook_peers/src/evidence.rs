//! Evidence on versions, counted by each node and summed over nodes.
//!
//! Each origin's counters only grow, and merging keeps the higher of each. So a digest that
//! arrives twice, late or out of order counts nothing twice.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, HashMap},
};

use curranthook_types::{bill::Origin, kind, version, vm};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// How many entries (origin and version) are kept: 1,800 nodes and 7 versions with room for
/// the nodes replaced in a day.
const MAX_ENTRIES: usize = 20_000;
/// How often a changed entry is passed on before it gives way to others.
const SENDS: u32 = 4;
/// Entries tried for one frame; more don't fit.
const LOOKED_AT: usize = 12;

/// Whether an answer failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failed {
    /// It came whole.
    No,
    /// It was an error, broke off or never came.
    Yes,
}

/// What one answer showed.
#[derive(Debug, Clone, Copy)]
pub struct Sample {
    /// The quality, from 0 to 1, if it was rated.
    pub rating: Option<f64>,
    /// Whether it failed.
    pub failed: Failed,
    /// Tokens of the answer.
    pub tokens: u64,
}

/// Sums over samples.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// Samples.
    pub calls: u64,
    /// Samples that failed.
    pub failures: u64,
    /// Samples that were rated.
    pub rated: u64,
    /// The sum of ratings.
    pub rating_sum: f64,
    /// The sum of squared ratings.
    pub rating_sq_sum: f64,
    /// Tokens of answers.
    pub tokens: u64,
    /// The sum of the answers' lengths: for each, the logarithm of its tokens to the base 2, by
    /// sixteenths. It shows answers that became short or long better than the sum of tokens,
    /// which one long answer can rule.
    pub lengths: f64,
}

impl Counts {
    fn add(&mut self, sample: &Sample) {
        self.calls += 1;
        self.failures += u64::from(sample.failed == Failed::Yes);
        self.tokens += sample.tokens;
        if sample.failed == Failed::No {
            self.lengths += ((sample.tokens.max(1) as f64).log2() / LENGTH_SCALE).min(1.0);
        }
        if let Some(rating) = sample.rating {
            self.rated += 1;
            self.rating_sum += rating;
            self.rating_sq_sum += rating * rating;
        }
    }

    /// The sum of two.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            calls: self.calls + other.calls,
            failures: self.failures + other.failures,
            rated: self.rated + other.rated,
            rating_sum: self.rating_sum + other.rating_sum,
            rating_sq_sum: self.rating_sq_sum + other.rating_sq_sum,
            tokens: self.tokens + other.tokens,
            lengths: self.lengths + other.lengths,
        }
    }

    /// The higher of each field.
    pub fn max(&self, other: &Self) -> Self {
        Self {
            calls: self.calls.max(other.calls),
            failures: self.failures.max(other.failures),
            rated: self.rated.max(other.rated),
            rating_sum: self.rating_sum.max(other.rating_sum),
            rating_sq_sum: self.rating_sq_sum.max(other.rating_sq_sum),
            tokens: self.tokens.max(other.tokens),
            lengths: self.lengths.max(other.lengths),
        }
    }

    /// One failure in ten, or ratings below a half.
    fn is_suspicious(&self) -> bool {
        self.calls < self.failures.saturating_mul(10) || self.rating_sum < self.rated as f64 * 0.5
    }

    fn is_sane(&self) -> bool {
        self.failures <= self.calls && self.rated <= self.calls
    }
}

/// What evidence is about: a version at a kind of work. A version may be good at one kind and
/// poor at another.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Subject {
    /// The version.
    pub version: version::Id,
    /// The kind of work.
    pub kind: kind::Id,
}

/// One origin's counters for one subject, as a digest carries them: VM and incarnation of the
/// origin, version, kind, counters.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry(pub vm::Id, pub vm::Incarnation, pub version::Id, pub kind::Id, pub Wire);

/// [`Counts`] without field names, in their order, ratings in whole ten-thousandths: a sum such
/// as 20.800000000000004 would cost more bytes than all other fields.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Wire(u64, u64, u64, u64, u64, u64, u64);

const RATING_UNIT: f64 = 10_000.0;
/// Lengths are sums over answers and need no more than hundredths.
const LENGTH_UNIT: f64 = 100.0;
/// The logarithm of the longest answer that is told from longer ones.
const LENGTH_SCALE: f64 = 16.0;

impl From<Counts> for Wire {
    fn from(it: Counts) -> Self {
        let whole = |sum: f64| (sum * RATING_UNIT).round() as u64;
        let (sum, sq_sum) = (whole(it.rating_sum), whole(it.rating_sq_sum));
        let lengths = (it.lengths * LENGTH_UNIT).round() as u64;
        Self(it.calls, it.failures, it.rated, sum, sq_sum, it.tokens, lengths)
    }
}

impl From<Wire> for Counts {
    fn from(it: Wire) -> Self {
        let Wire(calls, failures, rated, sum, sq_sum, tokens, lengths) = it;
        let lengths = lengths as f64 / LENGTH_UNIT;
        let rating_sum = sum as f64 / RATING_UNIT;
        let rating_sq_sum = sq_sum as f64 / RATING_UNIT;
        Self { calls, failures, rated, rating_sum, rating_sq_sum, tokens, lengths }
    }
}

#[derive(Debug, Default)]
struct Cell {
    counts: Counts,
    sends_left: u32,
    /// When it last changed, in steps of the table's own count.
    changed: u64,
    /// When it was last sent, likewise.
    sent: u64,
}

#[derive(Debug, Default)]
struct Cells {
    by_subject: HashMap<Subject, HashMap<Origin, Cell>>,
    n_entries: usize,
    steps: u64,
}

/// All that a node knows of versions.
#[derive(Debug)]
pub struct Evidence {
    own: Origin,
    cells: Mutex<Cells>,
}

impl Evidence {
    /// No evidence yet; `own` is the origin of what is added here.
    pub fn new(own: Origin) -> Self {
        Self { own, cells: Mutex::default() }
    }

    /// Counts what an answer to this node showed.
    pub fn add(&self, version: &version::Id, kind: &kind::Id, sample: Sample) {
        let subject = Subject { version: version.clone(), kind: kind.clone() };
        self.cells.lock().update(&subject, &self.own, |counts| {
            let mut next = *counts;
            next.add(&sample);
            next
        });
    }

    /// The sum over all origins and kinds of work.
    pub fn total(&self, version: &version::Id) -> Counts {
        let rows = self.by_origin(version);
        rows.iter().fold(Counts::default(), |sum, (_, counts)| sum.plus(counts))
    }

    /// The counts of each origin, over all kinds of work.
    pub fn by_origin(&self, version: &version::Id) -> Vec<(Origin, Counts)> {
        let cells = self.cells.lock();
        let mut sums: HashMap<&Origin, Counts> = HashMap::new();
        let origins = cells.by_subject.iter().filter(|(subject, _)| subject.version == *version);
        for (origin, cell) in origins.flat_map(|(_, origins)| origins) {
            let sum = sums.entry(origin).or_default();
            *sum = sum.plus(&cell.counts);
        }
        sums.into_iter().map(|(origin, counts)| (origin.clone(), counts)).collect()
    }

    /// For each subject what all other nodes together have counted.
    pub fn of_others(&self) -> Vec<(Subject, Counts)> {
        let cells = self.cells.lock();
        let others = |origins: &HashMap<Origin, Cell>| {
            origins
                .iter()
                .filter(|(origin, _)| **origin != self.own)
                .fold(Counts::default(), |sum, (_, cell)| sum.plus(&cell.counts))
        };
        cells.by_subject.iter().map(|(subject, it)| (subject.clone(), others(it))).collect()
    }

    /// The totals of every version that was seen.
    pub fn totals(&self) -> Vec<(version::Id, Counts)> {
        let versions: BTreeSet<_> =
            self.cells.lock().by_subject.keys().map(|it| it.version.clone()).collect();
        versions.into_iter().map(|it| (it.clone(), self.total(&it))).collect()
    }

    /// Takes in a peer's entry.
    pub fn merge(&self, entry: &Entry) {
        let Entry(vm, incarnation, version, kind, wire) = entry;
        let origin = Origin { vm: vm.clone(), incarnation: *incarnation };
        let theirs = Counts::from(*wire);
        // Only this process counts for its own origin; what peers
        // pass on of it brings nothing new.
        if origin == self.own || !theirs.is_sane() {
            return;
        }
        let subject = Subject { version: version.clone(), kind: kind.clone() };
        self.cells.lock().update(&subject, &origin, |ours| ours.max(&theirs));
    }

    /// The entries worth sending next, as long as they fit: what changed lately, the most
    /// suspicious first, and then all others in turn. A change that is passed on a few times
    /// only, and never again, misses some nodes for good.
    pub fn pick(&self, mut fits: impl FnMut(&Entry) -> bool) -> Vec<Entry> {
        let mut cells = self.cells.lock();
        cells.steps += 1;
        let steps = cells.steps;
        let mut all: Vec<_> = cells
            .by_subject
            .iter_mut()
            .flat_map(|(subject, origins)| {
                origins.iter_mut().map(move |(origin, cell)| (subject, origin, cell))
            })
            .collect();
        if LOOKED_AT < all.len() {
            all.select_nth_unstable_by_key(LOOKED_AT, |(.., cell)| cell.urgency());
            all.truncate(LOOKED_AT);
        }
        all.sort_by_key(|(.., cell)| cell.urgency());
        let mut picked = Vec::new();
        for (subject, origin, cell) in all {
            let (version, kind) = (subject.version.clone(), subject.kind.clone());
            let wire = cell.counts.into();
            let entry = Entry(origin.vm.clone(), origin.incarnation, version, kind, wire);
            if fits(&entry) {
                cell.sends_left = cell.sends_left.saturating_sub(1);
                cell.sent = steps;
                picked.push(entry);
            }
        }
        picked
    }
}

impl Cell {
    /// The lowest is sent first.
    fn urgency(&self) -> impl Ord + use<> {
        let is_hot = 0 < self.sends_left;
        (Reverse(is_hot && self.counts.is_suspicious()), Reverse(self.sends_left), self.sent)
    }
}

impl Cells {
    fn update(&mut self, subject: &Subject, origin: &Origin, next: impl FnOnce(&Counts) -> Counts) {
        self.steps += 1;
        let steps = self.steps;
        let origins = self.by_subject.entry(subject.clone()).or_default();
        if !origins.contains_key(origin) {
            self.n_entries += 1;
        }
        let cell = origins.entry(origin.clone()).or_default();
        let counts = next(&cell.counts);
        if counts != cell.counts {
            *cell = Cell { counts, sends_left: SENDS, changed: steps, sent: cell.sent };
        }
        if MAX_ENTRIES < self.n_entries {
            self.evict();
        }
    }

    /// Forgets the entry that changed longest ago: that of a process long gone.
    fn evict(&mut self) {
        let oldest = self
            .by_subject
            .iter()
            .flat_map(|(subject, origins)| {
                origins.iter().map(move |(origin, cell)| (cell.changed, subject, origin))
            })
            .min_by_key(|(changed, ..)| *changed);
        let Some((_, subject, origin)) = oldest else { return };
        let (subject, origin) = (subject.clone(), origin.clone());
        if let Some(origins) = self.by_subject.get_mut(&subject) {
            origins.remove(&origin);
            self.n_entries -= 1;
        }
    }
}
