//! What a node knows about the load of endpoints, and how long work takes there.
//!
//! - [`latency`] estimates the time to the first event and between events of each model, with the
//!   filter in [`prefill`];
//! - [`observed`] records how recent those estimates are;
//! - [`reports`] exchanges pending work with other nodes: in a small fleet with all of them, in a
//!   large one with the endpoints' [`owners`];
//! - [`table`] contains the work that other nodes reported.

pub mod latency;
pub mod observed;
pub mod owners;
pub mod prefill;
pub mod reports;
pub mod table;
