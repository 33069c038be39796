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
    confirmed: Option<Instant>,
    /// The store's clock, and when it was read.
    clock: Option<(Duration, Instant)>,
}

#[derive(Debug, Default)]
struct Rows {
    /// Rows that are gone stay without a value, so that peers hear of their end.
    rows: BTreeMap<String, Row>,
    rev: Rev,
    /// From where on all changes are known.
    first: Option<Rev>,
    /// Whether the last call for them failed.
    is_interrupted: bool,
}

/// Why a mirror can't tell what changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unknown {
    /// It began to follow the table later.
    Earlier,
    /// It hasn't heard from the store for too long.
    Stale,
}

impl Mirror {
    /// Takes in rows that changed. Returns those that are news.
    pub fn merge(&mut self, table: Table, batch: Batch) -> Vec<Row> {
        let known = self.tables.entry(table).or_default();
        let is_news = |row: &Row| known.rows.get(&row.key).is_none_or(|it| it.rev < row.rev);
        let news: Vec<_> = batch.rows.into_iter().filter(is_news).collect();
        for row in &news {
            known.rows.insert(row.key.clone(), row.clone());
        }
        known.rev = known.rev.max(batch.rev);
        known.first.get_or_insert(batch.rev);
        known.is_interrupted = false;
        news
    }

    /// Takes in all rows of a table. Returns those that are news, and those that are gone as
    /// rows without a value. An answer older than what is known changes nothing.
    pub fn replace(&mut self, table: Table, batch: Batch) -> Vec<Row> {
        let known = self.tables.entry(table).or_default();
        if batch.rev < known.rev {
            return Vec::new();
        }
        let mut gone: Vec<_> = known
            .rows
            .values()
            .filter(|it| it.value.is_some() && !batch.rows.iter().any(|row| row.key == it.key))
            .map(|it| Row { key: it.key.clone(), rev: batch.rev, value: None })
            .collect();
        for row in &gone {
            known.rows.insert(row.key.clone(), row.clone());
        }
        gone.extend(self.merge(table, batch));
        gone
    }

    /// Notes that the store answered at `at`, this node or one that told it.
    pub fn confirm(&mut self, at: Instant) {
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// Notes that a call for a table failed. Until the next one that doesn't, its rows may be out of date
    /// though the store answers calls for others.
    pub fn interrupted(&mut self, table: Table) {
        self.tables.entry(table).or_default().is_interrupted = true;
    }

    /// Whether a table has been read.
    pub fn knows(&self, table: Table) -> bool {
        self.tables.get(&table).is_some_and(|it| it.first.is_some())
    }

    /// Whether all tables have been read once. A node that knows the order of a roll-out and not
    /// yet how far it is would send requests to a version that is gone.
    pub fn is_read(&self) -> bool {
        Table::ALL.into_iter().all(|it| self.knows(it))
    }

    /// How long ago the store answered.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed.map(|at| now.saturating_duration_since(at))
    }

    /// Whether the rows of a table are at most `max_age` old.
    pub fn is_fresh(&self, table: Table, max_age: Duration, now: Instant) -> bool {
        let is_interrupted = self.tables.get(&table).is_some_and(|it| it.is_interrupted);
        !is_interrupted && self.age(now).is_some_and(|age| age <= max_age)
    }

    /// What changed in a table after `since`.
    pub fn changes(&self, table: Table, since: Rev) -> Result<Batch, Unknown> {
        let known = self.tables.get(&table).ok_or(Unknown::Earlier)?;
        if known.first.is_none_or(|first| since < first) {
            return Err(Unknown::Earlier);
        }
        let rows = known.rows.values().filter(|it| since < it.rev).cloned().collect();
        Ok(Batch { rows, rev: known.rev, now: None })
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
        let Some(known) = self.tables.get(&table) else { return Batch::default() };
        let rows = known.rows.values().filter(|it| it.value.is_some()).cloned().collect();
        Batch { rows, rev: known.rev, now: None }
    }

    /// A row of a table.
    pub fn row(&self, table: Table, key: &str) -> Option<&Row> {
        self.tables.get(&table)?.rows.get(key).filter(|it| it.value.is_some())
    }
}
