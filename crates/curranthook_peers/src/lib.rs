//! Nodes acting together: membership, digest, configuration documents, journal replicas.
//!
//! [`node::Node`] is what a router embeds. Once a second it makes one [`digest`] exchange with
//! one peer, chosen by [`member`], over [`rpc`]. [`documents`] brings the newest published
//! configuration to every node, [`journal`] keeps bill lines on two peers until they are stored.
//! Nothing here agrees on anything: what has to be agreed goes through the platform's table, and
//! all that travels between peers merges by "highest wins" or by set union.

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
