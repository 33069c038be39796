//! What operators write, and what is published of it.
//!
//! [`config::Config`] is one site's configuration after its overlay is merged in.
//! [`document::Document`] is what the platform's table keeps: the configuration of every site
//! under one epoch, with the state that commands change (withdrawals, drains, roll-outs).
//! [`node::Settings`] is the small file that tells one process its addresses, [`startup`] reads
//! it and starts the log.

pub mod check;
pub mod config;
pub mod document;
pub mod node;
pub mod overlay;
pub mod rollout;
pub mod source;
pub mod startup;

pub use config::Config;
pub use document::Document;
