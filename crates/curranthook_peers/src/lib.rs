//! Peer-to-peer layer of the nodes: membership, gossip digests, distribution of the configuration,
//! and replicas of the bill journal.
//!
//! A router embeds a [`node::Node`]. Once a second it exchanges a [`digest`] with one peer, which
//! [`member`] selects, over [`rpc`]. [`documents`] distributes the newest published configuration
//! to every node, and [`journal`] replicates bill lines to two peers until they are in the object
//! store.
//!
//! This crate runs no consensus protocol: decisions that need agreement go through the platform's
//! table, and all state that peers exchange merges by "highest wins" or by set union.

pub mod auth;
pub mod counters;
pub mod demand;
pub mod digest;
pub mod documents;
pub mod evidence;
pub mod journal;
pub mod member;
pub mod node;
pub mod poison;
pub mod replica;
pub mod rpc;
pub mod store;
pub mod suspect;
mod task;
pub mod transport;
pub mod tuning;

pub use node::{Node, Setup};
