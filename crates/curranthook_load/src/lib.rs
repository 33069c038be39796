//! Load and experiment tool: a scenario in, cost, quality, latency and exposure out.
//!
//! The data goes one way: [`scenario`] (what the file says) -> [`plan`] (every request, with the
//! time at which it is meant to go out, from one seed) -> [`fleet`] (the real processes) ->
//! [`drive`] (open-loop sending through [`client`], timed [`event`]s) -> [`sample`] (what callers
//! saw) and [`evidence`] (what endpoints and platform recorded) -> [`report`] -> [`table`] and
//! [`plot`].
//!
//! [`direct`] and [`streams`] load a single address, to measure what a router adds.

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
