//! How the store's rows reach the nodes.
//!
//! - [`mirror`] is the node's copy of the rows, and [`index`] how it finds those that changed;
//! - [`watch`] keeps the copy up to date: from the store, or from a parent in the tree of
//!   [`relays`];
//! - [`peers`] answers the queries of other nodes, which are children or cannot reach the store;
//! - [`outage`] detects whether the store is unavailable to all nodes.

pub mod index;
pub mod mirror;
pub mod outage;
pub mod peers;
pub mod relays;
pub mod watch;
