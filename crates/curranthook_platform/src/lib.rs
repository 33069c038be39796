//! The platform's services as the router and steward see them.
//!
//! [`Table`] is the transactional table, [`Objects`] the object store, [`Vms`] the list of VMs.
//! [`client::Client`] implements all three over HTTP. What matters about a failed write is
//! whether it may have taken effect: [`Error::Lost`] says that it may, and the caller then
//! reads back before it decides anything.

pub mod client;
mod error;
mod traits;

pub use error::Error;
pub use traits::{BoxFuture, Objects, Role, Row, Table, Tag, Vm, VmState, Vms, Write};
