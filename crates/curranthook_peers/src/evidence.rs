//! Evidence on versions, counted by each node and summed over nodes.
//!
//! Each origin's counters only grow, and merging keeps the higher of each. So a digest that
//! arrives twice, late or out of order counts nothing twice.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, HashMap},
};

pub use curranthook_policy::verdict::{Counts, Outcome, Sample};
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

/// The higher of each field of two.
fn max(one: &Counts, other: &Counts) -> Counts {
    Counts {
        n: one.n.max(other.n),
        sum: one.sum.max(other.sum),
        squares: one.squares.max(other.squares),
        calls: one.calls.max(other.calls),
        errors: one.errors.max(other.errors),
        tokens: one.tokens.max(other.tokens),
        lengths: one.lengths.max(other.lengths),
    }
}

/// One failure in ten, or ratings below a half.
fn is_suspicious(counts: &Counts) -> bool {
    counts.calls < counts.errors.saturating_mul(10) || counts.sum < counts.n as f64 * 0.5
}

fn is_sane(counts: &Counts) -> bool {
    counts.errors <= counts.calls && counts.n <= counts.calls
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
pub struct Entry(pub vm::Id, pub vm::Incarnation, pub version::Id, pub kind::Id, pub WireCounts);

/// [`Counts`] without field names, in their order, ratings in whole ten-thousandths: a sum such
/// as 20.800000000000004 would cost more bytes than all other fields.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct WireCounts(u64, u64, u64, u64, u64, u64, u64);

const RATING_UNIT: f64 = 10_000.0;
/// Lengths are sums over answers and need no more than hundredths.
const LENGTH_UNIT: f64 = 100.0;

impl From<Counts> for WireCounts {
    fn from(it: Counts) -> Self {
        let whole = |sum: f64, unit: f64| (sum * unit).round() as u64;
        let (sum, squares) = (whole(it.sum, RATING_UNIT), whole(it.squares, RATING_UNIT));
        Self(it.calls, it.errors, it.n, sum, squares, it.tokens, whole(it.lengths, LENGTH_UNIT))
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
    pub fn record(&self, version: &version::Id, kind: &kind::Id, sample: Sample) {
        let subject = Subject { version: version.clone(), kind: kind.clone() };
        self.cells.lock().update(&subject, &self.own, |counts| counts.plus(&Counts::from(sample)));
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
    pub fn peer_totals(&self) -> Vec<(Subject, Counts)> {
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
        if origin == self.own || !is_sane(&theirs) {
            return;
        }
        let subject = Subject { version: version.clone(), kind: kind.clone() };
        self.cells.lock().update(&subject, &origin, |ours| max(ours, &theirs));
    }

    /// The entries worth sending next, as long as they fit: what changed lately, the most
    /// suspicious first, and then all others in turn. A change that is passed on a few times
    /// only, and never again, misses some nodes for good.
    pub fn select_entries(&self, mut fits: impl FnMut(&Entry) -> bool) -> Vec<Entry> {
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
        (Reverse(is_hot && is_suspicious(&self.counts)), Reverse(self.sends_left), self.sent)
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
