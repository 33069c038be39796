//! The platform's store as a node sees it: rows that change, and changes that are agreed on.

use std::{fmt::Debug, net::SocketAddr, time::Duration};

use curranthook_types::{domain, endpoint};
use serde::{Deserialize, Serialize};

use crate::{document::Document, entry::Entry};

/// A future of a call to the store.
pub type Answer<'a, T> = std::pin::Pin<Box<dyn Future<Output = Result<T, Error>> + Send + 'a>>;

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Refused or not reached; nothing was done.
    #[error("the store is down: {0}")]
    Down(String),
    /// No answer came; a write may have taken effect, or may still.
    #[error("the store's answer was lost: {0}")]
    Lost(String),
    /// The answer can't be understood.
    #[error("the store's answer can't be read: {0}")]
    Garbled(String),
    /// A peer that was asked in its place is itself out of date.
    #[error("{0} hasn't heard from the store for too long")]
    Stale(SocketAddr),
    /// The changes asked for are no longer kept; read everything again.
    #[error("the store no longer has these changes")]
    Compacted,
}

/// A set of rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Table {
    /// What operators write: the configuration and orders for roll-outs.
    Operator,
    /// The endpoints.
    Endpoints,
    /// What the nodes write for each other.
    Fleet,
}

impl Table {
    /// All of them.
    pub const ALL: [Self; 3] = [Self::Operator, Self::Endpoints, Self::Fleet];
}

/// A position in the history of the store; it only grows.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Rev(pub u64);

/// A row that was written or removed.
#[serde_with::serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Its key within the table.
    pub key: String,
    /// When it was last written.
    pub rev: Rev,
    /// Its value; none if it was removed.
    #[serde_as(as = "Option<serde_with::base64::Base64>")]
    pub value: Option<Vec<u8>>,
}

/// Rows, and the moment they are of.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The rows.
    pub rows: Vec<Row>,
    /// Up to where this is complete.
    pub rev: Rev,
    /// The store's own steady clock, if it told.
    pub now: Option<Duration>,
}

/// A change to one row of [`Table::Fleet`], under a condition.
#[derive(Debug, Clone, Copy)]
pub struct Commit<'a> {
    /// The row.
    pub key: &'a str,
    /// The revision that the row must have; [`Rev`] 0 if it mustn't exist. None: no condition.
    pub expected: Option<Rev>,
    /// Its new value.
    pub value: &'a [u8],
    /// What operators are told in the same step.
    pub report: Option<&'a Report>,
}

/// What operators are told of a roll-out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The service.
    pub service: String,
    /// The new version.
    pub target: String,
    /// How far it is.
    pub state: Progress,
}

/// How far a roll-out is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// It goes on.
    Running,
    /// All requests are on the new version; the old one may go.
    Completed,
    /// All requests are on the old version; the new one may go.
    RolledBack,
}

/// How a commit ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Committed {
    /// It took effect at this revision.
    Done(Rev),
    /// The condition didn't hold; nothing changed.
    Conflict,
}

/// The store.
pub trait Store: Debug + Send + Sync {
    /// All rows of a table.
    fn all(&self, table: Table) -> Answer<'_, Batch>;
    /// The rows that changed after `since`; waits up to `wait` for the first.
    fn changes(&self, table: Table, since: Rev, wait: Duration) -> Answer<'_, Batch>;
    /// Changes a row.
    fn commit<'a>(&'a self, commit: Commit<'a>) -> Answer<'a, Committed>;
}

/// A row of [`Table::Operator`], decoded.
#[derive(Debug)]
pub enum Operator {
    /// The configuration.
    Document(Document),
    /// An order to move a service to a version.
    Order(Order),
    /// Something that no node acts on.
    Other,
}

/// An order to move a service's requests to a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The service.
    pub service: String,
    /// The new version.
    pub target: String,
    /// How long it may take.
    pub time_limit: Duration,
}

/// Decodes rows that others wrote.
pub trait Decoder: Debug + Send + Sync {
    /// Decodes a row of [`Table::Operator`].
    fn operator(&self, key: &str, value: &[u8]) -> Result<Operator, Undecodable>;
    /// The failure domain whose evacuation a row of [`Table::Operator`] orders. The order stands for as
    /// long as the row exists, whatever its value.
    fn evacuation(&self, key: &str) -> Option<domain::Id>;
    /// Decodes a row of [`Table::Endpoints`].
    fn endpoint(&self, id: &endpoint::Id, value: &[u8]) -> Result<Entry, Undecodable>;
}

/// A row that can't be understood. It counts as absent; the other rows hold.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("row {key}: {why}")]
pub struct Undecodable {
    /// The row.
    pub key: String,
    /// The field and what is wrong with it.
    pub why: String,
}
