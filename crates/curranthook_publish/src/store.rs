//! Access to the published document in the platform's table.

use std::time::Duration;

use async_io::Timer;
use curranthook_platform::{Error as Platform, Table, Tag, Write};
use curranthook_settings::{Document, document::ROW};

/// Why the document can't be read or replaced.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The call to the table service failed.
    #[error(transparent)]
    Platform(#[from] Platform),
    /// The value of the row can't be parsed as a document.
    #[error("the published document can't be parsed: {0}")]
    Unreadable(String),
    /// A response was lost, and reading the row back did not show whether the write took effect.
    #[error(
        "unknown: the platform's response to publication {publication} was lost, and reading the \
         row back did not show whether it took effect; run the command again"
    )]
    Indeterminate {
        /// The id of the publication.
        publication: String,
    },
}

/// A document as read from the table.
#[derive(Debug)]
pub struct Stored {
    /// The parsed document.
    pub document: Document,
    /// The entity tag of its row, for a later conditional write.
    pub tag: Tag,
}

/// The outcome of a write.
#[derive(Debug)]
pub enum Outcome {
    /// The document is published.
    Done,
    /// Another document was published first. Holds the current one, if it could be read.
    Conflict(Option<Box<Document>>),
}

/// The retry policy for writes.
#[derive(Debug, Clone, Copy)]
pub struct Retry {
    /// The maximum number of attempts of a write.
    pub max_attempts: usize,
    /// The time between two attempts.
    pub interval: Duration,
}

impl Default for Retry {
    fn default() -> Self {
        // Together with the timeouts of the platform calls, this covers an outage of a few
        // seconds. An operator waits for the command and would not wait much longer.
        Self { max_attempts: 8, interval: Duration::from_millis(500) }
    }
}

/// Reads the document. Returns `None` if nothing was published yet.
pub async fn read(table: &dyn Table) -> Result<Option<Stored>, Error> {
    read_newer(table, None).await
}

/// Reads the document unless the tag of its row is still `known`. Returns `None` in that case, and
/// if nothing was published yet.
pub async fn read_newer(table: &dyn Table, known: Option<&Tag>) -> Result<Option<Stored>, Error> {
    let (name, key) = ROW;
    let Some(row) = table.get_newer(name, key, known).await? else { return Ok(None) };
    let document =
        serde_json::from_slice(&row.value).map_err(|e| Error::Unreadable(e.to_string()))?;
    Ok(Some(Stored { document, tag: row.tag }))
}

/// Replaces the row if its tag is still `tag`, or inserts the first document if there is no `tag`.
///
/// The response can be lost after the write took effect. Reporting a failure would then make the
/// operator publish twice, and reporting success could be wrong. The row is therefore read back:
/// the random publication id shows whether this write took effect. If the row has not changed, the
/// lost write may still be in transit. It is then sent again under the same condition, so at most
/// one of the writes can take effect.
pub async fn write(
    table: &dyn Table,
    tag: Option<&Tag>,
    next: &Document,
    retry: Retry,
) -> Result<Outcome, Error> {
    let mut effect = Effect::None;
    for attempt in 0..retry.max_attempts {
        if 0 < attempt {
            Timer::after(retry.interval).await;
        }
        let result = send_write(table, tag, next).await;
        match (&result, effect) {
            (Ok(Write::Done(_)), _) => return Ok(Outcome::Done),
            (Err(e @ Platform::Down(_)), Effect::None) => return Err(e.clone().into()),
            (Err(Platform::Lost(_) | Platform::Malformed(_)), _) => effect = Effect::Unknown,
            (Ok(Write::Conflict) | Err(Platform::Down(_)), _) => {}
        }
        match (classify_read(read(table).await, tag, next), &result, effect) {
            (Observed::Written, ..) => return Ok(Outcome::Done),
            (Observed::Superseded(document), ..) => return Ok(Outcome::Conflict(Some(document))),
            (Observed::Unknown, Ok(Write::Conflict), Effect::None) => {
                return Ok(Outcome::Conflict(None));
            }
            (Observed::Unknown, ..) => {}
        }
    }
    Err(Error::Indeterminate { publication: next.publication.clone() })
}

/// Whether an attempt so far may have taken effect.
#[derive(Debug, Clone, Copy)]
enum Effect {
    None,
    Unknown,
}

/// What a read of the row shows about the write.
#[derive(Debug)]
enum Observed {
    /// The write took effect.
    Written,
    /// Another publication took its place.
    Superseded(Box<Document>),
    /// The read does not show whether the write took effect.
    Unknown,
}

async fn send_write(
    table: &dyn Table,
    tag: Option<&Tag>,
    next: &Document,
) -> Result<Write, Platform> {
    let (name, key) = ROW;
    let value = serde_json::to_vec(next).expect("a document can be written as JSON").into();
    match tag {
        Some(tag) => table.replace(name, key, tag, value).await,
        None => table.insert(name, key, value).await,
    }
}

fn classify_read(
    read: Result<Option<Stored>, Error>,
    tag: Option<&Tag>,
    next: &Document,
) -> Observed {
    let Ok(Some(stored)) = read else { return Observed::Unknown };
    let document = stored.document;
    if document.includes(&next.publication) {
        return Observed::Written;
    }
    // The row is unchanged: the write has not arrived yet, or the read returned stale data.
    if tag == Some(&stored.tag) || document.epoch < next.epoch {
        return Observed::Unknown;
    }
    // More publications followed than the document lists, so the write may have dropped off the
    // list.
    let n_later = document.epoch.0 - next.epoch.0;
    let n_listed = u64::try_from(document.earlier.len()).unwrap_or(u64::MAX);
    if n_listed < n_later {
        return Observed::Unknown;
    }
    Observed::Superseded(Box::new(document))
}
