//! The platform's store as seen by a node: rows that change, and conditional writes.

use std::{fmt::Debug, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use curranthook_types::{domain, endpoint};
use futures_lite::future::Boxed;
use serde::{Deserialize, Serialize};

use crate::{document::Document, entry::Entry};

/// The future of a call to the store.
pub type Answer<'a, T> = std::pin::Pin<Box<dyn Future<Output = Result<T, Error>> + Send + 'a>>;

/// Why a call to the store, or to a peer in its place, failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The store rejected the call or could not be reached; a write had no effect.
    #[error("the store is unavailable: {0}")]
    Down(String),
    /// No answer arrived; a write may have taken effect, or may still do so.
    #[error("no answer from the store: {0}")]
    Lost(String),
    /// The answer could not be decoded.
    #[error("malformed answer from the store: {0}")]
    Garbled(String),
    /// A peer that was queried instead of the store is itself out of date.
    #[error("peer {0} has no recent answer from the store")]
    Stale(SocketAddr),
    /// The store's history no longer goes back to the requested revision, or is another one; all
    /// rows have to be read again.
    #[error("the store no longer keeps the requested changes")]
    Compacted,
    /// The answer is of an earlier era than others before it. A write may have taken effect, but is
    /// lost.
    #[error("the answer is of era {answer}, before {newest}")]
    EarlierEra {
        /// The era of the answer.
        answer: Era,
        /// The newest era that the store has announced.
        newest: Era,
    },
}

/// A table of rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Table {
    /// Rows written by operators: the configuration, and orders for rollouts and evacuations.
    Operator,
    /// The entries of the endpoints.
    Endpoints,
    /// Rows that the nodes write for each other.
    Fleet,
}

impl Table {
    /// All tables.
    pub const ALL: [Self; 3] = [Self::Operator, Self::Endpoints, Self::Fleet];
}

/// A position in the histories of the store.
///
/// A store that comes back from a copy continues from there: it begins a new era, and gives out
/// revision numbers again. Positions of a later era come after all of an earlier one, so comparing
/// two of them never compares the numbers of different histories.
///
/// The upper bits are the era, so that the serialized form of era 0 is the number alone, as other
/// builds write it.
///
/// ```
/// # use curranthook_gateway::store::Rev;
/// let (before, after) = (Rev::new(0, 36).unwrap(), Rev::new(1, 32).unwrap());
/// assert!(before < after);
/// assert_eq!((after.era(), after.number()), (1, 32));
/// assert_eq!(before, Rev(36));
/// assert_eq!(Rev::new(0, u64::MAX), None);
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Rev(pub u64);

/// How often a store came back from a copy.
pub type Era = u16;

impl Rev {
    /// The bits of the number within an era.
    const NUMBER_BITS: u32 = 48;

    /// The position of revision `number` of an era; none if the number is too large.
    pub fn new(era: Era, number: u64) -> Option<Self> {
        let is_valid = number >> Self::NUMBER_BITS == 0;
        is_valid.then_some(Self(u64::from(era) << Self::NUMBER_BITS | number))
    }

    /// The position before all revisions of an era.
    pub fn first_of(era: Era) -> Self {
        Self(u64::from(era) << Self::NUMBER_BITS)
    }

    /// The era.
    pub fn era(self) -> Era {
        (self.0 >> Self::NUMBER_BITS) as Era
    }

    /// The revision number within the era.
    pub fn number(self) -> u64 {
        self.0 & ((1 << Self::NUMBER_BITS) - 1)
    }
}

/// A row that was written or removed.
#[serde_with::serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The key within the table.
    pub key: Arc<str>,
    /// The revision at which it was last written.
    pub rev: Rev,
    /// The value; none if the row was removed.
    #[serde_as(as = "Option<serde_with::base64::Base64>")]
    pub value: Option<Bytes>,
}

/// A set of rows, and the revision up to which it is complete.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The rows.
    pub rows: Vec<Row>,
    /// The revision up to which all changes are included.
    pub rev: Rev,
    /// The store's monotonic clock, if the answer contained it.
    pub now: Option<Duration>,
}

/// The first rows of a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// The rows.
    pub batch: Batch,
    /// Whether the table has more rows.
    pub has_more: bool,
}

/// A write to one row of [`Table::Fleet`], with an optional condition.
#[derive(Debug, Clone, Copy)]
pub struct Commit<'a> {
    /// The row's key.
    pub key: &'a str,
    /// The revision that the row must have, or [`Rev`] 0 if it must not exist; none for an
    /// unconditional write.
    pub expected: Option<Rev>,
    /// The new value.
    pub value: &'a [u8],
    /// A status report for operators, written in the same transaction.
    pub report: Option<&'a Report>,
}

/// The status of a rollout, reported to operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The service.
    pub service: String,
    /// The new version.
    pub target: String,
    /// The progress.
    pub state: Progress,
}

/// The progress of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// The rollout is in progress.
    Running,
    /// All requests are on the new version; the old one may be shut down.
    Completed,
    /// All requests are on the old version; the new one may be shut down.
    RolledBack,
}

/// The result of a commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Committed {
    /// The write took effect at this revision.
    Done(Rev),
    /// The row does not have the expected revision; nothing was changed.
    Conflict,
}

/// The store.
pub trait Store: Debug + Send + Sync {
    /// Reads all rows of a table.
    fn all(&self, table: Table) -> Answer<'_, Batch>;
    /// Reads the first `n_rows` rows of a table, by their keys.
    fn first(&self, table: Table, n_rows: usize) -> Answer<'_, Page>;
    /// Reads the rows that changed after `since`; waits up to `wait` for the first change.
    fn changes(&self, table: Table, since: Rev, wait: Duration) -> Answer<'_, Batch>;
    /// Writes a row.
    fn commit<'a>(&'a self, commit: Commit<'a>) -> Answer<'a, Committed>;
    /// Writes rows of [`Table::Fleet`] in one transaction, whatever their revisions. Each is a key
    /// and a value.
    fn write<'a>(&'a self, rows: &'a [(String, Vec<u8>)]) -> Answer<'a, Rev>;
    /// The newest era that any answer announced.
    fn era(&self) -> Era {
        0
    }
    /// Waits until an answer announces an era after `known`.
    fn wait_for_era_after(&self, _known: Era) -> Boxed<()> {
        Box::pin(std::future::pending())
    }
}

/// A decoded row of [`Table::Operator`].
#[derive(Debug)]
pub enum Operator {
    /// The configuration.
    Document(Document),
    /// An order to roll out a version.
    Order(Order),
    /// A row that nodes do not use.
    Other,
}

/// An order to roll out a version of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The service.
    pub service: String,
    /// The new version.
    pub target: String,
    /// The time within which the rollout has to be completed.
    pub time_limit: Duration,
}

/// Decodes rows that others wrote.
pub trait Decoder: Debug + Send + Sync {
    /// Decodes a row of [`Table::Operator`].
    fn operator(&self, key: &str, value: &[u8]) -> Result<Operator, Undecodable>;
    /// The failure domain whose evacuation a row of [`Table::Operator`] orders. The order is in
    /// force for as long as the row exists, whatever its value.
    fn evacuation(&self, key: &str) -> Option<domain::Id>;
    /// Decodes a row of [`Table::Endpoints`].
    fn endpoint(&self, id: &endpoint::Id, value: &[u8]) -> Result<Entry, Undecodable>;
}

/// A row that could not be decoded. It is treated as absent; other rows are not affected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("row {key}: {why}")]
pub struct Undecodable {
    /// The row's key.
    pub key: String,
    /// The invalid field and the reason.
    pub why: String,
}
