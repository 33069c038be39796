use std::{fmt::Debug, future::Future, net::SocketAddr, pin::Pin};

use bytes::Bytes;
use curranthook_types::{domain, vm};
use serde::{Deserialize, Serialize};

use crate::Error;

/// A future of a platform call.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, Error>> + Send + 'a>>;

/// The state of a row, changed by each write to it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Tag(pub String);

/// A row as read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Its key within the table.
    pub key: String,
    /// Its state, for a later conditional write.
    pub tag: Tag,
    /// Its value.
    pub value: Bytes,
}

/// How a conditional write ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// It took effect; the row's new state.
    Done(Tag),
    /// The condition didn't hold; nothing changed.
    Conflict,
}

/// The transactional table service.
pub trait Table: Debug + Send + Sync {
    /// Reads a row.
    fn get<'a>(&'a self, table: &'a str, key: &'a str) -> BoxFuture<'a, Option<Row>>;
    /// Reads a row unless its state is still `known`; `Ok(None)` then, and when there's no row.
    fn get_newer<'a>(
        &'a self,
        table: &'a str,
        key: &'a str,
        known: Option<&'a Tag>,
    ) -> BoxFuture<'a, Option<Row>>;
    /// Reads the rows whose keys begin with `prefix`.
    fn list<'a>(&'a self, table: &'a str, prefix: &'a str) -> BoxFuture<'a, Vec<Row>>;
    /// Writes a row that must not exist yet.
    fn insert<'a>(&'a self, table: &'a str, key: &'a str, value: Bytes) -> BoxFuture<'a, Write>;
    /// Replaces a row that must still be in state `tag`.
    fn replace<'a>(
        &'a self,
        table: &'a str,
        key: &'a str,
        tag: &'a Tag,
        value: Bytes,
    ) -> BoxFuture<'a, Write>;
}

/// The object store.
pub trait Objects: Debug + Send + Sync {
    /// Stores an object unless there is one of that key; `Conflict` then, which for equal
    /// content is as good as done.
    fn put_if_absent<'a>(&'a self, key: &'a str, value: Bytes) -> BoxFuture<'a, Write>;
    /// Reads an object.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Option<Bytes>>;
    /// The keys that begin with `prefix`, in order.
    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Vec<String>>;
}

/// Whether the platform means to keep a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// In service, as far as the list knows.
    Live,
    /// About to be taken away.
    Leaving,
}

/// An entry of the VM list. The list lags: it names VMs that are gone and misses new ones.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Its id.
    pub id: vm::Id,
    /// Where its router's peers reach it, or where its endpoint listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub failure_domain: domain::Id,
    /// Whether it stays.
    pub state: VmState,
    /// What runs on it.
    #[serde(default)]
    pub role: Role,
}

/// What runs on a VM.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// A router and a steward.
    #[default]
    Entry,
    /// A model engine or a plain service.
    Endpoint,
}

/// The list of VMs.
pub trait Vms: Debug + Send + Sync {
    /// The list as the platform knows it.
    fn all(&self) -> BoxFuture<'_, Vec<Vm>>;
}
