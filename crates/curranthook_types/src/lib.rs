//! Ids, units, refusals and clocks, shared by all other crates.
//!
//! [`refusal`] is the best starting point: it lists every reason for which a request can be
//! refused, whether the refused request ran, and the counter of each reason. [`retry`] does the
//! same for retries. The id types ([`account`], [`version`], [`endpoint`], [`vm`], [`domain`],
//! [`request`], [`session`]) are thin wrappers around strings, so that an id of one type can't be
//! passed for another. [`clock`] is the only source of time in the workspace.

pub mod account;
pub mod bill;
pub mod chat;
pub mod clock;
pub mod domain;
pub mod endpoint;
pub mod epoch;
pub mod header;
mod id;
pub mod kind;
pub mod price;
pub mod refusal;
pub mod request;
pub mod retry;
pub mod session;
pub mod site;
pub mod version;
pub mod vm;

pub use clock::Clock;
pub use epoch::Epoch;
pub use refusal::Refusal;
