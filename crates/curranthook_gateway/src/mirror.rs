//! The rows of the store as a node knows them, for peers that can't reach the store.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use crate::store::{Batch, Rev, Row, Table};

/// All rows that a node knows.
#[derive(Debug, Default)]
pub struct Mirror {
    tables: HashMap<Table, Rows>,
    /// When the store last answered a call for the operators' rows, which are asked for most often.
    last_answer: Option<Instant>,
    /// The store's clock, and when it was read.
    clock: Option<(Duration, Instant)>,
}

#[derive(Debug, Default)]
struct Rows {
    /// Rows that are gone stay without a value, so that peers hear of their end.
    rows: BTreeMap<String, Row>,
    rev: Rev,
    /// From where on all changes are known.
    complete_since: Option<Rev>,
    /// Whether the last call for them failed.
    is_interrupted: bool,
}

/// Why a mirror can't tell what changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangesError {
    /// It began to follow the table later.
    HistoryMissing,
    /// It hasn't heard from the store for too long.
    Stale,
}

impl Mirror {
    /// Takes in rows that changed. Returns those that are news.
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

    /// Takes in all rows of a table. Returns those that are news, and those that are gone as
    /// rows without a value. An answer older than what is known changes nothing.
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

    /// Notes that the store answered at `at`, this node or one that told it.
    pub fn record_answer(&mut self, at: Instant) {
        self.last_answer = self.last_answer.max(Some(at));
    }

    /// Notes that a call for a table failed. Until the next one that doesn't, its rows may be out of date
    /// though the store answers calls for others.
    pub fn mark_interrupted(&mut self, table: Table) {
        self.tables.entry(table).or_default().is_interrupted = true;
    }

    /// Whether a table has been read.
    pub fn has_read(&self, table: Table) -> bool {
        self.tables.get(&table).is_some_and(|it| it.complete_since.is_some())
    }

    /// Whether all tables have been read once. A node that knows the order of a roll-out and not
    /// yet how far it is would send requests to a version that is gone.
    pub fn has_read_all(&self) -> bool {
        Table::ALL.into_iter().all(|it| self.has_read(it))
    }

    /// How long ago the store answered.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.last_answer.map(|at| now.saturating_duration_since(at))
    }

    /// Whether the rows of a table are at most `max_age` old.
    pub fn is_fresh(&self, table: Table, max_age: Duration, now: Instant) -> bool {
        let is_interrupted = self.tables.get(&table).is_some_and(|it| it.is_interrupted);
        !is_interrupted && self.age(now).is_some_and(|age| age <= max_age)
    }

    /// What changed in a table after `since`.
    pub fn changes(&self, table: Table, since: Rev) -> Result<Batch, ChangesError> {
        let table_rows = self.tables.get(&table).ok_or(ChangesError::HistoryMissing)?;
        if table_rows.complete_since.is_none_or(|from| since < from) {
            return Err(ChangesError::HistoryMissing);
        }
        let rows = table_rows.rows.values().filter(|it| since < it.rev).cloned().collect();
        Ok(Batch { rows, rev: table_rows.rev, now: None })
    }

    /// Notes what the store's clock said.
    pub fn set_clock(&mut self, store: Duration, now: Instant) {
        self.clock = Some((store, now));
    }

    /// The store's clock, as far as it's known.
    pub fn store_time(&self, now: Instant) -> Option<Duration> {
        self.clock.map(|(store, at)| store + now.saturating_duration_since(at))
    }

    /// Up to where a table is known.
    pub fn rev(&self, table: Table) -> Rev {
        self.tables.get(&table).map_or(Rev(0), |it| it.rev)
    }

    /// All rows of a table.
    pub fn batch(&self, table: Table) -> Batch {
        let Some(table_rows) = self.tables.get(&table) else { return Batch::default() };
        let rows = table_rows.rows.values().filter(|it| it.value.is_some()).cloned().collect();
        Batch { rows, rev: table_rows.rev, now: None }
    }

    /// A row of a table.
    pub fn row(&self, table: Table, key: &str) -> Option<&Row> {
        self.tables.get(&table)?.rows.get(key).filter(|it| it.value.is_some())
    }
}
