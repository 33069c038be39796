//! The published configuration, as stewards read and change it.

use std::sync::Arc;

use curranthook_platform::Table;
use curranthook_publish::store::{self, Outcome, Retry, Stored};
use curranthook_settings::{
    Document,
    document::{Error as Edit, Stamp},
};
use curranthook_types::{Clock, vm};

/// Reads and replaces the document.
#[derive(Debug)]
pub struct Desk {
    table: Arc<dyn Table>,
    clock: Arc<dyn Clock>,
    by: String,
}

/// How a change ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// It's published.
    Published,
    /// Somebody else published first; look again and decide anew.
    Overtaken,
    /// It was so already.
    Unneeded,
}

impl Desk {
    /// A desk that publishes in the name of the steward on `vm`.
    pub fn new(table: Arc<dyn Table>, clock: Arc<dyn Clock>, vm: &vm::Id) -> Self {
        Self { table, clock, by: format!("steward on {vm}") }
    }

    /// The document as it is now.
    pub async fn read(&self) -> anyhow::Result<Option<Stored>> {
        Ok(store::read(&*self.table).await?)
    }

    /// Publishes `edit` of what was read. It's compare-and-set on what was read, so a steward
    /// that was frozen and woke with an old document changes nothing.
    pub async fn change(
        &self,
        stored: &Stored,
        edit: impl FnOnce(&Document, &Stamp<'_>) -> Result<Document, Edit>,
    ) -> anyhow::Result<Change> {
        let publication = ulid::Ulid::generate().to_string();
        let at_millis = self.clock.unix_millis();
        let stamp = Stamp { by: &self.by, at_millis, publication: &publication };
        let next = match edit(&stored.document, &stamp) {
            Ok(next) => next,
            Err(e) if e.is_unchanged() => return Ok(Change::Unneeded),
            Err(e) => return Err(e.into()),
        };
        match store::write(&*self.table, Some(&stored.tag), &next, Retry::default()).await? {
            Outcome::Done => Ok(Change::Published),
            Outcome::Conflict(_) => Ok(Change::Overtaken),
        }
    }
}
