//! Since when a copy of the store's tables may lack a change.
//!
//! A call that waits for changes of a table says nothing until it is answered, and its answer may be
//! lost. But each answer states the store's newest revision, whatever table it is about. A table is
//! current as long as each revision since its own last answer is known to be a change of another
//! table. Otherwise a change of it may have been missed, and its call is suspect.
//!
//! A node that reads from a parent compares with the last change of each table that the parent states.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::{Duration, Instant},
};

use crate::store::{Batch, Rev, Table};

/// How long the answer with a change may take after another answer has shown that there is one. Rows
/// that change in quick succession are read after a pause.
pub const GRACE: Duration = Duration::from_millis(300);
/// The number of revisions whose tables are known. What is older counts as unknown.
const MAX_REVISIONS: usize = 4_096;
/// The number of observations that are kept while a table is behind them.
const MAX_OBSERVATIONS: usize = 64;

/// What answers have shown of the store's revisions.
#[derive(Debug, Default)]
pub struct Currency {
    tables: HashMap<Table, Known>,
    /// The table that each revision is a change of.
    changes: BTreeMap<Rev, Table>,
    /// The newest revision as of some answers of the store, the earliest answer first.
    observed: VecDeque<(Rev, Instant)>,
}

/// What is known of the copy of a table.
#[derive(Debug, Default)]
struct Known {
    /// The revision up to which the copy is complete.
    complete: Rev,
    /// When the copy was last known to lack nothing.
    current_at: Option<Instant>,
    /// A change that a parent has, and when that was first known.
    expected: Option<(Rev, Instant)>,
}

/// What a parent states of its copy of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Statement {
    /// The revision of the last change.
    pub changed: Rev,
    /// When the copy was last known to lack nothing.
    pub current_at: Instant,
}

impl Currency {
    /// Records an answer of the store to a call for a table, which contains all changes up to the
    /// store's newest revision.
    ///
    /// ```
    /// # use std::time::Instant;
    /// # use curranthook_gateway::replication::currency::{Currency, GRACE};
    /// # use curranthook_gateway::store::{Batch, Rev, Table};
    /// let (mut currency, now) = (Currency::default(), Instant::now());
    /// let answer = |rev| Batch { rev: Rev(rev), ..Batch::default() };
    /// for table in Table::ALL {
    ///     currency.record_answer(table, &answer(7), now);
    /// }
    /// currency.record_answer(Table::Operator, &answer(8), now);
    /// assert_eq!(currency.suspect_in(Table::Endpoints, now), Some(GRACE));
    /// assert_eq!(currency.suspect_in(Table::Operator, now), None);
    /// ```
    pub fn record_answer(&mut self, table: Table, batch: &Batch, now: Instant) {
        self.record_rows(table, batch);
        self.record_newest(batch.rev, now);
        let known = self.tables.entry(table).or_default();
        known.current_at = known.current_at.max(Some(now));
    }

    /// Records the revisions of rows, and that a table is complete up to that of the batch.
    pub fn record_rows(&mut self, table: Table, batch: &Batch) {
        self.changes.extend(batch.rows.iter().map(|it| (it.rev, table)));
        let known = self.tables.entry(table).or_default();
        known.complete = known.complete.max(batch.rev);
        let complete = known.complete;
        known.expected = known.expected.filter(|(rev, _)| complete < *rev);
        self.prune();
    }

    /// Records the newest revision of the store as of an answer, which may be that to a write.
    pub fn record_newest(&mut self, newest: Rev, now: Instant) {
        if self.observed.back().is_none_or(|it| it.0 < newest) {
            if MAX_OBSERVATIONS <= self.observed.len() {
                // The second one is left out, so that the first one still counts from its own time.
                self.observed.remove(1);
            }
            self.observed.push_back((newest, now));
        }
        for table in Table::ALL {
            if !self.may_lack(table, newest)
                && let Some(known) = self.tables.get_mut(&table)
            {
                known.current_at = known.current_at.max(Some(now));
            }
        }
        self.prune();
    }

    /// Records that a copy of a table that has been read lacked nothing at `at`.
    pub fn record_read(&mut self, table: Table, at: Instant) {
        let known = self.tables.entry(table).or_default();
        known.current_at = known.current_at.max(Some(at));
    }

    /// Records what a parent states of a table.
    pub fn record_statement(&mut self, table: Table, statement: Statement, now: Instant) {
        let known = self.tables.entry(table).or_default();
        if statement.changed <= known.complete {
            known.current_at = known.current_at.max(Some(statement.current_at));
        } else if known.expected.is_none() {
            known.expected = Some((statement.changed, now));
        }
    }

    /// When a table was last known to lack nothing.
    pub fn current_at(&self, table: Table) -> Option<Instant> {
        self.tables.get(&table)?.current_at
    }

    /// The time until a call for changes of a table is suspect; none if nothing speaks against it.
    pub fn suspect_in(&self, table: Table, now: Instant) -> Option<Duration> {
        let known = self.tables.get(&table)?;
        let mut behind = self.observed.iter().filter(|(newest, _)| self.may_lack(table, *newest));
        let since = behind.next().map(|it| it.1).into_iter().chain(known.expected.map(|it| it.1));
        since.min().map(|at| (at + GRACE).saturating_duration_since(now))
    }

    /// Whether a change of a table up to the revision `newest` may be unknown.
    fn may_lack(&self, table: Table, newest: Rev) -> bool {
        let Some(known) = self.tables.get(&table) else { return true };
        if newest <= known.complete {
            return false;
        }
        if newest.era() != known.complete.era() {
            return true;
        }
        let after = Rev(known.complete.0 + 1)..=newest;
        let of_others = self.changes.range(after).filter(|(_, it)| **it != table).count();
        (of_others as u64) < newest.number() - known.complete.number()
    }

    /// Forgets what all tables are complete beyond.
    fn prune(&mut self) {
        while MAX_REVISIONS < self.changes.len() {
            self.changes.pop_first();
        }
        let complete = Table::ALL.iter().map(|it| self.tables.get(it).map(|it| it.complete));
        let Some(complete) = complete.min().flatten() else { return };
        self.changes = self.changes.split_off(&Rev(complete.0 + 1));
        while self.observed.front().is_some_and(|it| it.0 <= complete) && 1 < self.observed.len() {
            self.observed.pop_front();
        }
    }
}
