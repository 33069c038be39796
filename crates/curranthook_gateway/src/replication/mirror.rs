//! The node's copy of the store's rows, from which it answers queries of peers that cannot reach
//! the store.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;

use super::{
    currency::{Currency, Statement},
    index::Index,
};
use crate::store::{Batch, Era, Rev, Row, Table};

/// The number of removed rows that are kept, so that their removal can be reported to peers, if a
/// table has fewer rows than that; otherwise as many as it has rows.
const MIN_KEPT_REMOVALS: usize = 1_024;

/// A node's local copy of the store's tables.
#[derive(Debug, Default)]
pub struct Mirror {
    tables: HashMap<Table, Rows>,
    currency: Currency,
    /// The time that the store's clock showed, and when it was read.
    clock: Option<(Duration, Instant)>,
}

#[derive(Debug, Default)]
struct Rows {
    /// Rows without a value were removed.
    index: Index<Arc<str>, Option<Bytes>>,
    /// The removed rows, those removed first at the front.
    removals: VecDeque<(Rev, Arc<str>)>,
    rev: Rev,
    /// The revision since which all changes are known.
    complete_since: Option<Rev>,
    /// Whether the last call for the table failed.
    is_interrupted: bool,
}

impl Rows {
    fn insert(&mut self, row: &Row) {
        if row.value.is_none() {
            self.removals.push_back((row.rev, Arc::clone(&row.key)));
        }
        self.index.insert(Arc::clone(&row.key), row.rev, row.value.clone());
    }

    /// Forgets the oldest removals if there are too many. Peers that missed them read the whole
    /// table.
    fn forget_removals(&mut self) {
        let n_rows = self.index.len().saturating_sub(self.removals.len());
        let n_kept = n_rows.max(MIN_KEPT_REMOVALS);
        let n_forgotten = self.removals.len().saturating_sub(n_kept);
        for (rev, key) in self.removals.drain(..n_forgotten) {
            // The row may have been added again since.
            if self.index.get(&key) == Some((rev, &None)) {
                self.index.remove(&key);
                self.complete_since = self.complete_since.max(Some(rev));
            }
        }
    }
}

/// Why a mirror cannot return the changes of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangesError {
    /// The mirror's history of the table begins after the requested revision.
    HistoryMissing,
    /// The store has not answered for too long.
    Stale,
}

impl Mirror {
    /// Applies changed rows. Returns those that are newer than the mirror's.
    pub fn merge(&mut self, table: Table, batch: Batch) -> Vec<Row> {
        self.currency.record_rows(table, &batch);
        let table_rows = self.tables.entry(table).or_default();
        let mut changed = batch.rows;
        changed.retain(|row| {
            let known = table_rows.index.get(&row.key);
            let is_newer = known.is_none_or(|(rev, _)| rev < row.rev);
            // The store came back from a copy that has the row as it was. Operators' orders are
            // identified by their revision, which has changed.
            let is_copied = table != Table::Operator
                && known.is_some_and(|(rev, value)| {
                    rev.number() == row.rev.number() && *value == row.value
                });
            if is_newer {
                table_rows.insert(row);
            }
            is_newer && !is_copied
        });
        table_rows.rev = table_rows.rev.max(batch.rev);
        table_rows.complete_since.get_or_insert(batch.rev);
        table_rows.is_interrupted = false;
        table_rows.forget_removals();
        changed
    }

    /// Applies a read of a whole table. Returns the rows that are newer than the known ones, and
    /// the removed rows without a value. A read older than the known state changes nothing.
    ///
    /// The first read of a later era keeps the rows that it lacks: the store lost them, and those who
    /// wrote them write them again (see [`Mirror::remove_lost`]).
    pub fn replace(&mut self, table: Table, mut batch: Batch) -> Vec<Row> {
        let table_rows = self.tables.entry(table).or_default();
        if batch.rev < table_rows.rev {
            return Vec::new();
        }
        if table_rows.rev.era() < batch.rev.era() {
            table_rows.complete_since = None;
            return self.merge(table, batch);
        }
        if !batch.rows.is_sorted_by_key(|it| &it.key) {
            batch.rows.sort_by(|a, b| a.key.cmp(&b.key));
        }
        let absent = table_rows.index.keys_not_in(batch.rows.iter().map(|it| &it.key));
        let is_listed = |key: &&Arc<str>| {
            table_rows.index.get(&***key).is_some_and(|(_, value)| value.is_some())
        };
        let removed = absent.into_iter().filter(is_listed);
        let removed = removed.map(|key| Row { key: Arc::clone(key), rev: batch.rev, value: None });
        let mut changed: Vec<_> = removed.collect();
        changed.iter().for_each(|it| table_rows.insert(it));
        changed.extend(self.merge(table, batch));
        changed
    }

    /// Removes the rows that are only known from earlier eras, but for those with a key in `kept`.
    /// Returns them without a value.
    pub fn remove_lost(&mut self, table: Table, kept: &HashSet<&str>) -> Vec<Row> {
        let Some(table_rows) = self.tables.get_mut(&table) else { return Vec::new() };
        let rev = table_rows.rev;
        let is_lost = |(key, it, value): &(&Arc<str>, Rev, &Option<Bytes>)| {
            it.era() < rev.era() && value.is_some() && !kept.contains(&***key)
        };
        let lost = table_rows.index.iter().filter(is_lost);
        let lost = lost.map(|(key, _, _)| Row { key: Arc::clone(key), rev, value: None });
        let lost: Vec<_> = lost.collect();
        lost.iter().for_each(|it| table_rows.insert(it));
        lost
    }

    /// Adds a row of an earlier era, which the store may have lost, unless a newer state of it is
    /// known. The table does not count as read for that.
    pub fn insert_lost(&mut self, table: Table, row: &Row) {
        let table_rows = self.tables.entry(table).or_default();
        let known = table_rows.index.get(&row.key);
        if known.is_none_or(|(rev, _)| rev < row.rev) {
            table_rows.insert(row);
        }
    }

    /// The rows of a table that changed after `since` and before the beginning of `era`, the newest
    /// first. Removed rows are included.
    pub fn rows_before(&self, table: Table, era: Era, since: Rev) -> impl Iterator<Item = Row> {
        let end = Rev::first_of(era);
        let rows = self.tables.get(&table).map(|it| it.index.changed_between(since, end));
        rows.into_iter().flatten().map(to_row)
    }

    /// The last known state of a row, without a value if it was removed; none if it never existed.
    pub fn newest(&self, table: Table, key: &str) -> Option<Row> {
        let (rev, value) = self.tables.get(&table)?.index.get(key)?;
        Some(Row { key: key.into(), rev, value: value.clone() })
    }

    /// Whether a row is known to have been removed.
    pub fn is_removed(&self, table: Table, key: &str) -> bool {
        self.newest(table, key).is_some_and(|it| it.value.is_none())
    }

    /// Records that the last read of the whole table contained all changes after `since`, including
    /// removed rows.
    pub fn extend_history(&mut self, table: Table, since: Rev) {
        if let Some(from) = self.tables.get_mut(&table).and_then(|it| it.complete_since.as_mut()) {
            *from = since.min(*from);
        }
    }

    /// Records an answer of the store to a call for a table.
    pub fn record_answer(&mut self, table: Table, batch: &Batch, now: Instant) {
        self.currency.record_answer(table, batch, now);
    }

    /// Records the newest revision of the store as of an answer, which may be that to a write.
    pub fn record_newest(&mut self, newest: Rev, now: Instant) {
        self.currency.record_newest(newest, now);
    }

    /// Records that a parent's copy of a table, which this node reads, lacked nothing at `at`.
    pub fn record_read(&mut self, table: Table, at: Instant) {
        self.currency.record_read(table, at);
    }

    /// Records what a parent states of its copy of a table.
    pub fn record_statement(&mut self, table: Table, statement: Statement, now: Instant) {
        self.currency.record_statement(table, statement, now);
    }

    /// What this node states of its copy of a table; none before it has read it.
    pub fn statement(&self, table: Table) -> Option<Statement> {
        let changed = self.tables.get(&table)?.index.last_rev().unwrap_or_default();
        Some(Statement { changed, current_at: self.currency.current_at(table)? })
    }

    /// The time until a call for changes of a table is suspect, as a change of it seems to have been
    /// missed; none if nothing speaks against it.
    pub fn suspect_in(&self, table: Table, now: Instant) -> Option<Duration> {
        self.currency.suspect_in(table, now)
    }

    /// Records that a call for a table failed. Until a call succeeds, the table's rows may be out
    /// of date, even if the store answers calls for other tables.
    pub fn mark_interrupted(&mut self, table: Table) {
        self.tables.entry(table).or_default().is_interrupted = true;
    }

    /// Whether a table has been read.
    pub fn has_read(&self, table: Table) -> bool {
        self.tables.get(&table).is_some_and(|it| it.complete_since.is_some())
    }

    /// Whether all tables have been read once. A node that knows a rollout's order but not yet its
    /// progress would send requests to a version that no longer exists.
    pub fn has_read_all(&self) -> bool {
        Table::ALL.into_iter().all(|it| self.has_read(it))
    }

    /// The time since the copy of a table was last known to lack nothing.
    pub fn age(&self, table: Table, now: Instant) -> Option<Duration> {
        self.currency.current_at(table).map(|at| now.saturating_duration_since(at))
    }

    /// Whether the rows of a table are at most `max_age` old.
    pub fn is_fresh(&self, table: Table, max_age: Duration, now: Instant) -> bool {
        let is_interrupted = self.tables.get(&table).is_some_and(|it| it.is_interrupted);
        !is_interrupted && self.age(table, now).is_some_and(|age| age <= max_age)
    }

    /// The changes in a table after `since`.
    pub fn changes(&self, table: Table, since: Rev) -> Result<Batch, ChangesError> {
        let table_rows = self.tables.get(&table).ok_or(ChangesError::HistoryMissing)?;
        if table_rows.complete_since.is_none_or(|from| since < from) {
            return Err(ChangesError::HistoryMissing);
        }
        let rows = table_rows.index.changed_since(since).map(to_row).collect();
        Ok(Batch { rows, rev: table_rows.rev, now: None })
    }

    /// The number of rows of a table that changed after `since`, or `max` if there are more; none if
    /// the mirror's history begins after `since`.
    pub fn n_changes(&self, table: Table, since: Rev, max: usize) -> Option<usize> {
        let table_rows = self.tables.get(&table)?;
        table_rows.complete_since.filter(|from| *from <= since)?;
        Some(table_rows.index.changed_since(since).take(max).count())
    }

    /// The number of rows of a table, including removed ones.
    pub fn n_rows(&self, table: Table) -> usize {
        self.tables.get(&table).map_or(0, |it| it.index.len())
    }

    /// Records a reading of the store's clock.
    pub fn set_clock(&mut self, store_time: Duration, now: Instant) {
        self.clock = Some((store_time, now));
    }

    /// The current time of the store's clock, if it has been read.
    pub fn store_time(&self, now: Instant) -> Option<Duration> {
        self.clock.map(|(store_time, at)| store_time + now.saturating_duration_since(at))
    }

    /// The revision of the store that the mirror's copy of a table corresponds to.
    pub fn rev(&self, table: Table) -> Rev {
        self.tables.get(&table).map_or(Rev(0), |it| it.rev)
    }

    /// The revision since which all changes of a table are known; none before it has been read.
    pub fn history_start(&self, table: Table) -> Option<Rev> {
        self.tables.get(&table)?.complete_since
    }

    /// All rows of a table.
    pub fn batch(&self, table: Table) -> Batch {
        let Some(table_rows) = self.tables.get(&table) else { return Batch::default() };
        let rows = table_rows.index.iter().filter(|(_, _, value)| value.is_some());
        Batch { rows: rows.map(to_row).collect(), rev: table_rows.rev, now: None }
    }

    /// The row of a table with this key, if the store has it; none if the row is only known from an
    /// earlier era.
    pub fn stored_row(&self, table: Table, key: &str) -> Option<Row> {
        let era = self.rev(table).era();
        self.row(table, key).filter(|it| it.rev.era() == era)
    }

    /// The row of a table with this key, whether or not the store has lost it.
    pub fn row(&self, table: Table, key: &str) -> Option<Row> {
        self.newest(table, key).filter(|it| it.value.is_some())
    }
}

fn to_row((key, rev, value): (&Arc<str>, Rev, &Option<Bytes>)) -> Row {
    Row { key: Arc::clone(key), rev, value: value.clone() }
}
