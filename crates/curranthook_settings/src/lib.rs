//! The configuration files that operators write, and the document published from them.
//!
//! [`config::Config`] is one site's configuration after its overlay is merged in.
//! [`document::Document`] is stored in the platform's table: the configuration of every site
//! under one epoch, with the state that commands change (withdrawals, drains, roll-outs).
//! [`node::Settings`] is the file with the addresses of one VM's processes; [`startup`] reads it
//! and initialises logging.

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
