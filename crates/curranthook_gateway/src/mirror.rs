//! The node's copy of the store's rows, from which it answers queries of peers that cannot reach
//! the store.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use crate::store::{Batch, Rev, Row, Table};

/// A node's local copy of the store's tables.
#[derive(Debug, Default)]
pub struct Mirror {
    tables: HashMap<Table, Rows>,
    /// When the store last answered a call for the operator table, which is read most often.
    last_answer: Option<Instant>,
    /// The time that the store's clock showed, and when it was read.
    clock: Option<(Duration, Instant)>,
}

#[derive(Debug, Default)]
struct Rows {
    /// Removed rows stay as rows without a value, so that the removal can be reported to peers.
    rows: BTreeMap<String, Row>,
    rev: Rev,
    /// The revision since which all changes are known.
    complete_since: Option<Rev>,
    /// Whether the last call for the table failed.
    is_interrupted: bool,
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
        let table_rows = self.tables.entry(table).or_default();
        let is_newer = |row: &Row| table_rows.rows.get(&row.key).is_none_or(|it| it.rev < row.rev);
        let changed: Vec<_> = batch.rows.into_iter().filter(is_newer).collect();
        for row in &changed {
            table_rows.rows.insert(row.key.clone(), row.clone());
        }
        table_rows.rev = table_rows.rev.max(batch.rev);
        table_rows.complete_since.get_or_insert(batch.rev);
        table_rows.is_interrupted = false;
        changed
    }

    /// Applies a read of a whole table. Returns the rows that are newer than the known ones, and
    /// the removed rows without a value. A read older than the known state changes nothing.
    pub fn replace(&mut self, table: Table, batch: Batch) -> Vec<Row> {
        let table_rows = self.tables.entry(table).or_default();
        if batch.rev < table_rows.rev {
            return Vec::new();
        }
        let mut removed: Vec<_> = table_rows
            .rows
            .values()
            .filter(|it| it.value.is_some() && !batch.rows.iter().any(|row| row.key == it.key))
            .map(|it| Row { key: it.key.clone(), rev: batch.rev, value: None })
            .collect();
        for row in &removed {
            table_rows.rows.insert(row.key.clone(), row.clone());
        }
        removed.extend(self.merge(table, batch));
        removed
    }

    /// Records that the store answered at `at`, to this node or to a peer that reported it.
    pub fn record_answer(&mut self, at: Instant) {
        self.last_answer = self.last_answer.max(Some(at));
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

    /// The time since the store's last answer.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.last_answer.map(|at| now.saturating_duration_since(at))
    }

    /// Whether the rows of a table are at most `max_age` old.
    pub fn is_fresh(&self, table: Table, max_age: Duration, now: Instant) -> bool {
        let is_interrupted = self.tables.get(&table).is_some_and(|it| it.is_interrupted);
        !is_interrupted && self.age(now).is_some_and(|age| age <= max_age)
    }

    /// The changes in a table after `since`.
    pub fn changes(&self, table: Table, since: Rev) -> Result<Batch, ChangesError> {
        let table_rows = self.tables.get(&table).ok_or(ChangesError::HistoryMissing)?;
        if table_rows.complete_since.is_none_or(|from| since < from) {
            return Err(ChangesError::HistoryMissing);
        }
        let rows = table_rows.rows.values().filter(|it| since < it.rev).cloned().collect();
        Ok(Batch { rows, rev: table_rows.rev, now: None })
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

    /// All rows of a table.
    pub fn batch(&self, table: Table) -> Batch {
        let Some(table_rows) = self.tables.get(&table) else { return Batch::default() };
        let rows = table_rows.rows.values().filter(|it| it.value.is_some()).cloned().collect();
        Batch { rows, rev: table_rows.rev, now: None }
    }

    /// The row of a table with this key.
    pub fn row(&self, table: Table, key: &str) -> Option<&Row> {
        self.tables.get(&table)?.rows.get(key).filter(|it| it.value.is_some())
    }
}
