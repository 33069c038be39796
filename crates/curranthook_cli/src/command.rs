//! The subcommands: one module each, which returns the result to print.

pub mod accounts;
pub mod bills;
pub mod check;
pub mod diff;
pub mod drain;
pub mod epoch;
pub mod explain;
pub mod publish;
pub mod rollout;
pub mod status;
pub mod withdraw;
