use std::{fmt::Debug, future::Future, net::SocketAddr, pin::Pin};

use bytes::Bytes;
use curranthook_types::{domain, vm};
use serde::{Deserialize, Serialize};

use crate::Error;

/// The boxed future of a platform call.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, Error>> + Send + 'a>>;

/// The entity tag of a row, which changes with each write to the row.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Tag(pub String);

/// A row as read from the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// The key of the row within the table.
    pub key: String,
    /// The entity tag, for a later conditional write.
    pub tag: Tag,
    /// The stored value, which the platform does not interpret.
    pub value: Bytes,
}

/// The outcome of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// The write took effect. Holds the new entity tag.
    Done(Tag),
    /// The condition didn't hold; nothing changed.
    Conflict,
}

/// The transactional table service.
pub trait Table: Debug + Send + Sync {
    /// Reads a row.
    fn get<'a>(&'a self, table: &'a str, key: &'a str) -> BoxFuture<'a, Option<Row>>;
    /// Reads a row unless its tag is still `known`. Returns `Ok(None)` in that case, and if there
    /// is no row.
    fn get_newer<'a>(
        &'a self,
        table: &'a str,
        key: &'a str,
        known: Option<&'a Tag>,
    ) -> BoxFuture<'a, Option<Row>>;
    /// Reads all rows whose keys begin with `prefix`.
    fn list<'a>(&'a self, table: &'a str, prefix: &'a str) -> BoxFuture<'a, Vec<Row>>;
    /// Inserts a row. Returns `Conflict` if the row exists.
    fn insert<'a>(&'a self, table: &'a str, key: &'a str, value: Bytes) -> BoxFuture<'a, Write>;
    /// Replaces a row. Returns `Conflict` if its tag is no longer `tag`.
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
    /// Stores an object unless the key exists. Returns `Conflict` if it does, which callers can
    /// treat as success if the content is the same.
    fn put_if_absent<'a>(&'a self, key: &'a str, value: Bytes) -> BoxFuture<'a, Write>;
    /// Reads an object.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Option<Bytes>>;
    /// Lists the keys that begin with `prefix`, in ascending order.
    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Vec<String>>;
}

/// Whether the platform is about to remove a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// In service, according to the list, which may be out of date.
    Live,
    /// About to be removed.
    Leaving,
}

/// An entry of the VM list. The list lags behind: it contains VMs that no longer exist and lacks
/// new ones.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The id of the VM.
    pub id: vm::Id,
    /// The address at which peers reach its router, or on which its endpoint listens.
    pub address: SocketAddr,
    /// The failure domain that the VM is in.
    pub failure_domain: domain::Id,
    /// Whether the VM is about to be removed.
    pub state: VmState,
    /// The programs that run on the VM.
    #[serde(default)]
    pub role: Role,
}

/// The programs that run on a VM.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An entry VM, which runs a router and a steward.
    #[default]
    Entry,
    /// A VM that runs an endpoint: a model engine or a plain service.
    Endpoint,
}

/// Access to the platform's list of VMs.
pub trait Vms: Debug + Send + Sync {
    /// Reads the list of VMs.
    fn all(&self) -> BoxFuture<'_, Vec<Vm>>;
}
