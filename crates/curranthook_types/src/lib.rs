//! Ids, units, refusals and the clock that all other crates share.
//!
//! Start at [`refusal`]: it lists every way in which a request can be turned away, what that
//! says about whether the request ran, and the counter that goes with it. [`retry`] does the
//! same for second attempts. The id types ([`account`], [`version`], [`endpoint`], [`vm`],
//! [`domain`], [`request`], [`session`]) are thin wrappers over strings, so that one can't be
//! passed where another is meant. [`clock`] is the only source of time in the workspace.

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
