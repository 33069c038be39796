//! Load generator and experiment runner. Reports cost, quality, latency and exposure of a scenario.
//!
//! Data flows one way: [`scenario`] (parsed file) -> [`plan`] (every request, with the
//! time at which it is scheduled to be sent, from one seed) -> [`fleet`] (real processes) ->
//! [`drive`] (open-loop sending through [`client`], timed [`event`]s) -> [`sample`] (results seen
//! by callers) and [`evidence`] (records of endpoints and platform) -> [`report`] -> [`table`] and
//! [`plot`].
//!
//! [`direct`] and [`streams`] load a single address, to measure the overhead of a router.

pub mod client;
pub mod direct;
pub mod drive;
pub mod event;
pub mod evidence;
pub mod fleet;
pub mod plan;
pub mod plot;
pub mod report;
pub mod run;
pub mod sample;
pub mod scenario;
pub mod schedule;
pub mod sse;
pub mod streams;
pub mod table;
pub mod timing;
pub mod truth;
