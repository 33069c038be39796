//! The operators' command line.
//!
//! [`args`] says what can be typed, [`command`] has a module for each subcommand, [`store`]
//! reads and replaces the published document and settles lost answers, [`edit`] applies edits
//! that can be applied again when another operator was quicker, and [`output`] prints.

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
