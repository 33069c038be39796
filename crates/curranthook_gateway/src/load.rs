//! What a node knows about the load of endpoints, and how long work takes there.
//!
//! - [`latency`] estimates the time to the first event and between events of each model, with the
//!   filter in [`prefill`];
//! - [`observed`] records how recent those estimates are;
//! - [`reports`] exchanges pending work with other nodes: in a small fleet with all of them, in a
//!   large one with the endpoints' [`owners`];
//! - [`slowdowns`] encodes the endpoints' slowdowns that nodes tell each other;
//! - [`table`] contains the work that other nodes reported;
//! - [`work`] is pending work by priority, and [`breakdown`] its form in messages;
//! - [`in_flight`] contains the requests that other nodes reported at endpoints of services without
//!   models, and [`occupancy`] estimates the time of a call at such an endpoint from them;
//! - [`snapshot`] contains the latency estimates that nodes keep for those that start, and
//!   [`snapshot_rows`] writes and reads it.

pub mod breakdown;
pub mod in_flight;
pub mod latency;
pub mod observed;
pub mod occupancy;
pub mod owners;
pub mod prefill;
pub mod reports;
pub mod slowdowns;
pub mod snapshot;
pub mod snapshot_rows;
pub mod table;
pub mod work;
