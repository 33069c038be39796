//! Encoded rows that a node sends to several children.
//!
//! Addresses a relay with tens of children that all wait for the same changes, and a fleet whose
//! nodes start at the same time and all need the same table.

use std::collections::HashMap;

use super::{
    codec::Section,
    mirror::{ChangesError, Mirror},
};
use crate::store::{Rev, Table};

/// The number of revisions since which the changes of a table are kept in encoded form. Nearly all
/// children have the same revision, or the one before.
const MAX_KEPT_CHANGES: usize = 4;
/// An encoded table is used until the changes after it exceed this share of its rows, as a divisor.
/// They are sent after it.
const MAX_CHANGES_DIVISOR: usize = 8;

/// Sections by table, with the revisions that they cover.
#[derive(Debug, Default)]
pub struct Sections {
    tables: HashMap<Table, Kept>,
    n_encoded: u64,
}

#[derive(Debug, Default)]
struct Kept {
    /// The changes since a revision.
    changes: Vec<(Rev, Section)>,
    /// All rows.
    whole: Option<Section>,
}

impl Sections {
    /// The changes of a table after `since`.
    pub fn changes(
        &mut self,
        mirror: &Mirror,
        table: Table,
        since: Rev,
    ) -> Result<Section, ChangesError> {
        let rev = mirror.rev(table);
        let kept = self.tables.entry(table).or_default();
        let known = kept.changes.iter().find(|(it, section)| *it == since && section.rev == rev);
        if let Some((_, section)) = known {
            return Ok(section.clone());
        }
        let section = Section::new(&mirror.changes(table, since)?.rows, rev);
        self.n_encoded += 1;
        kept.changes.truncate(MAX_KEPT_CHANGES - 1);
        kept.changes.insert(0, (since, section.clone()));
        Ok(section)
    }

    /// All rows of a table: a section that may be older than the mirror, and the changes after it.
    pub fn whole(&mut self, mirror: &Mirror, table: Table) -> Vec<Section> {
        let kept = self.tables.get(&table).and_then(|it| it.whole.clone());
        if let Some(whole) = kept.filter(|it| is_usable(mirror, table, it.rev)) {
            if whole.rev == mirror.rev(table) {
                return vec![whole];
            }
            if let Ok(changes) = self.changes(mirror, table, whole.rev) {
                return vec![whole, changes];
            }
        }
        let section = Section::new(&mirror.batch(table).rows, mirror.rev(table));
        self.n_encoded += 1;
        self.keep_whole(table, section.clone());
        vec![section]
    }

    /// Keeps a section with all rows of a table.
    pub fn keep_whole(&mut self, table: Table, section: Section) {
        self.tables.entry(table).or_default().whole = Some(section);
    }

    /// The number of sections that were encoded.
    pub fn n_encoded(&self) -> u64 {
        self.n_encoded
    }
}

/// Whether the changes after `rev` are few enough to be sent in addition to all rows as of `rev`.
fn is_usable(mirror: &Mirror, table: Table, rev: Rev) -> bool {
    let max_changes = mirror.n_rows(table) / MAX_CHANGES_DIVISOR;
    mirror.n_changes(table, rev, max_changes + 1).is_some_and(|it| it <= max_changes)
}
