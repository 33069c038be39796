//! How the store's rows reach the nodes.
//!
//! - [`mirror`] is the node's copy of the rows, and [`index`] how it finds those that changed;
//! - [`watch`] keeps the copy up to date: from the store, or from a parent in the tree of
//!   [`relays`], of which the node knows what [`topology`] contains;
//! - [`currency`] tells since when the copy may lack a change, as the answer with it may be lost;
//! - [`peers`] answers the queries of other nodes, which are children or cannot reach the store, in
//!   the form of [`codec`]; [`sections`] are encoded once for all of them;
//! - [`eras`] handles a store that comes back from a copy, and [`lost_rows`] asks other nodes for what
//!   the copy lacks;
//! - [`joins`] writes the rows of nodes that are new;
//! - [`outage`] detects whether the store is unavailable to all nodes.

pub mod codec;
pub mod currency;
pub mod eras;
pub mod index;
pub mod joins;
pub mod lost_rows;
pub mod mirror;
pub mod outage;
pub mod peers;
pub mod relays;
pub mod sections;
pub mod topology;
pub mod watch;
