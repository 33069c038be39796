//! Interfaces and an HTTP client for the platform's services that the router and steward use.
//!
//! [`Table`] is the transactional table, [`Objects`] the object store, [`Vms`] the list of VMs.
//! [`client::Client`] implements all three over HTTP. After a failed write, callers need to know
//! whether it may have taken effect. [`Error::Lost`] means that it may, and the caller must read
//! the value back before it acts.

pub mod client;
mod error;
mod traits;

pub use error::Error;
pub use traits::{BoxFuture, Objects, Role, Row, Table, Tag, Vm, VmState, Vms, Write};
