//! The operators' command line.
//!
//! [`args`] defines the command-line arguments, and [`command`] has one module per subcommand.
//! [`store`] reads and replaces the published document and determines whether a write took
//! effect when its response was lost. [`edit`] applies edits that are retried on the newer
//! document after a conflicting write by another operator. [`output`] prints results.

pub mod args;
pub mod command;
mod context;
pub mod edit;
mod error;
pub mod exit;
pub mod output;
mod run;
pub use curranthook_publish::store;

pub use context::{Context, Platform};
pub use error::{Conflict, Error};
pub use run::{Terminal, run};
