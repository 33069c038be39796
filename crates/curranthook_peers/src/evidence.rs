//! Evidence on versions, counted by each node and summed over nodes.
//!
//! Each origin's counters only grow, and merging keeps the higher of each. So a digest that
//! arrives twice, late or out of order counts nothing twice.

use std::{cmp::Reverse, collections::HashMap};

use curranthook_types::{bill::Origin, version, vm};
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
}

impl Counts {
    fn add(&mut self, sample: &Sample) {
        self.calls += 1;
        self.failures += u64::from(sample.failed == Failed::Yes);
        self.tokens += sample.tokens;
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

/// One origin's counters for one version, as a digest carries them: VM and incarnation of the
/// origin, version, counters.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry(pub vm::Id, pub vm::Incarnation, pub version::Id, pub Wire);

/// [`Counts`] without field names, in their order, ratings in whole ten-thousandths: a sum such
/// as 20.800000000000004 would cost more bytes than all other fields.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Wire(u64, u64, u64, u64, u64, u64);

const RATING_UNIT: f64 = 10_000.0;

impl From<Counts> for Wire {
    fn from(it: Counts) -> Self {
        let whole = |sum: f64| (sum * RATING_UNIT).round() as u64;
        let (sum, sq_sum) = (whole(it.rating_sum), whole(it.rating_sq_sum));
        Self(it.calls, it.failures, it.rated, sum, sq_sum, it.tokens)
    }
}

impl From<Wire> for Counts {
    fn from(it: Wire) -> Self {
        let Wire(calls, failures, rated, sum, sq_sum, tokens) = it;
        let rating_sum = sum as f64 / RATING_UNIT;
        let rating_sq_sum = sq_sum as f64 / RATING_UNIT;
        Self { calls, failures, rated, rating_sum, rating_sq_sum, tokens }
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
    by_version: HashMap<version::Id, HashMap<Origin, Cell>>,
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
    pub fn add(&self, version: &version::Id, sample: Sample) {
        let mut cells = self.cells.lock();
        cells.update(version, &self.own, |counts| {
            let mut next = *counts;
            next.add(&sample);
            next
        });
    }

    /// The sum over all origins.
    pub fn total(&self, version: &version::Id) -> Counts {
        let cells = self.cells.lock();
        let Some(origins) = cells.by_version.get(version) else { return Counts::default() };
        origins.values().fold(Counts::default(), |sum, cell| sum.plus(&cell.counts))
    }

    /// The counts of each origin.
    pub fn by_origin(&self, version: &version::Id) -> Vec<(Origin, Counts)> {
        let cells = self.cells.lock();
        let Some(origins) = cells.by_version.get(version) else { return Vec::new() };
        origins.iter().map(|(origin, cell)| (origin.clone(), cell.counts)).collect()
    }

    /// The totals of every version that was seen.
    pub fn totals(&self) -> Vec<(version::Id, Counts)> {
        let versions: Vec<_> = self.cells.lock().by_version.keys().cloned().collect();
        versions.into_iter().map(|it| (it.clone(), self.total(&it))).collect()
    }

    /// Takes in a peer's entry.
    pub fn merge(&self, entry: &Entry) {
        let Entry(vm, incarnation, version, wire) = entry;
        let origin = Origin { vm: vm.clone(), incarnation: *incarnation };
        let theirs = Counts::from(*wire);
        // Only this process counts for its own origin; an echo of it brings nothing new.
        if origin == self.own || !theirs.is_sane() {
            return;
        }
        self.cells.lock().update(version, &origin, |ours| ours.max(&theirs));
    }

    /// The entries worth sending next, as long as they fit: what changed lately, the most
    /// suspicious first, and then all others in turn. A change that is passed on a few times
    /// only, and never again, misses some nodes for good.
    pub fn pick(&self, mut fits: impl FnMut(&Entry) -> bool) -> Vec<Entry> {
        let mut cells = self.cells.lock();
        cells.steps += 1;
        let steps = cells.steps;
        let mut all: Vec<_> = cells
            .by_version
            .iter_mut()
            .flat_map(|(version, origins)| {
                origins.iter_mut().map(move |(origin, cell)| (version, origin, cell))
            })
            .collect();
        if LOOKED_AT < all.len() {
            all.select_nth_unstable_by_key(LOOKED_AT, |(.., cell)| cell.urgency());
            all.truncate(LOOKED_AT);
        }
        all.sort_by_key(|(.., cell)| cell.urgency());
        let mut picked = Vec::new();
        for (version, origin, cell) in all {
            let (vm, wire) = (origin.vm.clone(), cell.counts.into());
            let entry = Entry(vm, origin.incarnation, version.clone(), wire);
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
    fn update(
        &mut self,
        version: &version::Id,
        origin: &Origin,
        next: impl FnOnce(&Counts) -> Counts,
    ) {
        self.steps += 1;
        let steps = self.steps;
        let origins = self.by_version.entry(version.clone()).or_default();
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
            .by_version
            .iter()
            .flat_map(|(version, origins)| {
                origins.iter().map(move |(origin, cell)| (cell.changed, version, origin))
            })
            .min_by_key(|(changed, ..)| *changed);
        let Some((_, version, origin)) = oldest else { return };
        let (version, origin) = (version.clone(), origin.clone());
        if let Some(origins) = self.by_version.get_mut(&version) {
            origins.remove(&origin);
            self.n_entries -= 1;
        }
    }
}
