//! Reading and changing the published configuration document.

use std::sync::Arc;

use curranthook_platform::Table;
use curranthook_publish::store::{self, Outcome, Retry, Stored};
use curranthook_settings::{
    Document,
    document::{Error as EditError, Stamp},
};
use curranthook_types::{Clock, vm};
use parking_lot::Mutex;

/// Reads and replaces the document.
#[derive(Debug)]
pub struct Editor {
    table: Arc<dyn Table>,
    clock: Arc<dyn Clock>,
    author: String,
    cached: Mutex<Option<Arc<Stored>>>,
}

/// The result of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The change was published.
    Published,
    /// Another change was published first; the caller has to read the document and decide again.
    Conflict,
    /// The document already was as requested.
    Unchanged,
}

impl Editor {
    /// Creates an editor that publishes in the name of the steward on `vm`.
    pub fn new(table: Arc<dyn Table>, clock: Arc<dyn Clock>, vm: &vm::Id) -> Self {
        Self { table, clock, author: format!("steward on {vm}"), cached: Mutex::default() }
    }

    /// The current document.
    ///
    /// It is read twice a second per shard and can be some megabytes long, so the row is only
    /// transferred and parsed if it changed since the last read.
    pub async fn read(&self) -> anyhow::Result<Option<Arc<Stored>>> {
        let cached = self.cached.lock().clone();
        let tag = cached.as_ref().map(|it| &it.tag);
        let Some(newer) = store::read_newer(&*self.table, tag).await? else { return Ok(cached) };
        let newer = Arc::new(newer);
        *self.cached.lock() = Some(Arc::clone(&newer));
        Ok(Some(newer))
    }

    /// Publishes `edit` applied to the document that was read. It is a compare-and-set against that
    /// version, so a steward that was frozen and resumes with an old document changes nothing.
    pub async fn change(
        &self,
        stored: &Stored,
        edit: impl FnOnce(&Document, &Stamp<'_>) -> Result<Document, EditError>,
    ) -> anyhow::Result<Change> {
        let publication = ulid::Ulid::generate().to_string();
        let at_millis = self.clock.unix_millis();
        let stamp = Stamp { by: &self.author, at_millis, publication: &publication };
        let next = match edit(&stored.document, &stamp) {
            Ok(next) => next,
            Err(e) if e.is_unchanged() => return Ok(Change::Unchanged),
            Err(e) => return Err(e.into()),
        };
        match store::write(&*self.table, Some(&stored.tag), &next, Retry::default()).await? {
            Outcome::Done => Ok(Change::Published),
            Outcome::Conflict(_) => Ok(Change::Conflict),
        }
    }
}
