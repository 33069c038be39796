//! The published configuration, as stewards read and change it.

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

/// How a change ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// It's published.
    Published,
    /// Somebody else published first; look again and decide anew.
    Conflict,
    /// It was so already.
    Unchanged,
}

impl Editor {
    /// A desk that publishes in the name of the steward on `vm`.
    pub fn new(table: Arc<dyn Table>, clock: Arc<dyn Clock>, vm: &vm::Id) -> Self {
        Self { table, clock, author: format!("steward on {vm}"), cached: Mutex::default() }
    }

    /// The document as it is now.
    ///
    /// It's asked for twice a second and shard, and can be some megabytes long. So the row is
    /// only sent, and read, when it has changed since the last time.
    pub async fn read(&self) -> anyhow::Result<Option<Arc<Stored>>> {
        let cached = self.cached.lock().clone();
        let known = cached.as_ref().map(|it| &it.tag);
        let Some(newer) = store::read_newer(&*self.table, known).await? else { return Ok(cached) };
        let newer = Arc::new(newer);
        *self.cached.lock() = Some(Arc::clone(&newer));
        Ok(Some(newer))
    }

    /// Publishes `edit` of what was read. It's compare-and-set on what was read, so a steward
    /// that was frozen and woke with an old document changes nothing.
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
