//! The published document in the platform's table.

use std::time::Duration;

use async_io::Timer;
use curranthook_platform::{Error as Platform, Table, Tag, Write};
use curranthook_settings::{Document, document::ROW};

/// Why the document can't be read or replaced.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The table service gives no answer.
    #[error(transparent)]
    Platform(#[from] Platform),
    /// The row doesn't hold a document that this program understands.
    #[error("the published document can't be read: {0}")]
    Unreadable(String),
    /// An answer was lost and reading back didn't tell whether the write took effect.
    #[error(
        "unknown: the platform's answer to publication {publication} was lost, and whether it \
         took effect couldn't be settled; run the command again"
    )]
    Indeterminate {
        /// The id of the publication.
        publication: String,
    },
}

/// The document as read.
#[derive(Debug)]
pub struct Stored {
    /// The document.
    pub document: Document,
    /// The state of its row, for a later write.
    pub tag: Tag,
}

/// How a write ended.
#[derive(Debug)]
pub enum Outcome {
    /// The document is published.
    Done,
    /// Another one was published first; the one in force now, if it could be read.
    Conflict(Option<Box<Document>>),
}

/// How patiently lost answers are settled.
#[derive(Debug, Clone, Copy)]
pub struct Retry {
    /// How often a write is tried at most.
    pub max_attempts: usize,
    /// The time between two tries.
    pub interval: Duration,
}

impl Default for Retry {
    fn default() -> Self {
        // With the platform's own time limits this bears an outage of some seconds. An operator
        // sits in front of it and won't wait for much longer.
        Self { max_attempts: 8, interval: Duration::from_millis(500) }
    }
}

/// Reads the document; `None` if nothing was published yet.
pub async fn read(table: &dyn Table) -> Result<Option<Stored>, Error> {
    read_newer(table, None).await
}

/// Reads the document unless its row is still in state `known`; `None` then, and if nothing was
/// published yet.
pub async fn read_newer(table: &dyn Table, known: Option<&Tag>) -> Result<Option<Stored>, Error> {
    let (name, key) = ROW;
    let Some(row) = table.get_newer(name, key, known).await? else { return Ok(None) };
    let document =
        serde_json::from_slice(&row.value).map_err(|e| Error::Unreadable(e.to_string()))?;
    Ok(Some(Stored { document, tag: row.tag }))
}

/// Writes `next` in place of the row in state `tag`, or as the first document.
///
/// The answer can be lost after the write took effect. Reporting a failure would then have the
/// operator publish twice, and reporting success might be a lie. So the row is read back: the
/// random id of the publication tells whether it is ours. If the row hasn't changed, the lost
/// write may still be on its way; it's sent again under the same condition, of which at most
/// one can hold.
pub async fn write(
    table: &dyn Table,
    tag: Option<&Tag>,
    next: &Document,
    retry: Retry,
) -> Result<Outcome, Error> {
    let mut fate = Fate::NotDone;
    for attempt in 0..retry.max_attempts {
        if 0 < attempt {
            Timer::after(retry.interval).await;
        }
        let sent = send(table, tag, next).await;
        match (&sent, fate) {
            (Ok(Write::Done(_)), _) => return Ok(Outcome::Done),
            (Err(e @ Platform::Down(_)), Fate::NotDone) => return Err(e.clone().into()),
            (Err(Platform::Lost(_) | Platform::Malformed(_)), _) => fate = Fate::Unknown,
            (Ok(Write::Conflict) | Err(Platform::Down(_)), _) => {}
        }
        match (judge(read(table).await, tag, next), &sent, fate) {
            (Verdict::Ours, ..) => return Ok(Outcome::Done),
            (Verdict::Theirs(document), ..) => return Ok(Outcome::Conflict(Some(document))),
            (Verdict::Unsure, Ok(Write::Conflict), Fate::NotDone) => {
                return Ok(Outcome::Conflict(None));
            }
            (Verdict::Unsure, ..) => {}
        }
    }
    Err(Error::Indeterminate { publication: next.publication.clone() })
}

/// Whether an earlier attempt may have taken effect.
#[derive(Debug, Clone, Copy)]
enum Fate {
    NotDone,
    Unknown,
}

/// Whose publication the row holds.
#[derive(Debug)]
enum Verdict {
    Ours,
    Theirs(Box<Document>),
    Unsure,
}

async fn send(table: &dyn Table, tag: Option<&Tag>, next: &Document) -> Result<Write, Platform> {
    let (name, key) = ROW;
    let value = serde_json::to_vec(next).expect("a document can be written as JSON").into();
    match tag {
        Some(tag) => table.replace(name, key, tag, value).await,
        None => table.insert(name, key, value).await,
    }
}

fn judge(read: Result<Option<Stored>, Error>, tag: Option<&Tag>, next: &Document) -> Verdict {
    let Ok(Some(stored)) = read else { return Verdict::Unsure };
    let document = stored.document;
    if document.includes(&next.publication) {
        return Verdict::Ours;
    }
    // The row as it was before: the write hasn't come, or the answer is an old one.
    if tag == Some(&stored.tag) || document.epoch < next.epoch {
        return Verdict::Unsure;
    }
    // So many publications came on top that the document no longer names all of them.
    let n_since = document.epoch.0 - next.epoch.0;
    let n_named = u64::try_from(document.earlier.len()).unwrap_or(u64::MAX);
    if n_named < n_since {
        return Verdict::Unsure;
    }
    Verdict::Theirs(Box::new(document))
}
