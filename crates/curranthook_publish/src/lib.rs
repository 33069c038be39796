//! Reads and replaces the published configuration.
//!
//! [`store::read`] returns the document with the entity tag of its row. [`store::write`] replaces
//! the row only if the tag still matches; if the response is lost, it reads the row back to find
//! out whether the write took effect.

pub mod store;
