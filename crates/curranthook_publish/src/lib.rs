//! Reads and replaces the published configuration.
//!
//! [`store::read`] gives the document with the state of its row, [`store::write`] replaces
//! exactly that state and settles a lost answer by reading back.

pub mod store;
