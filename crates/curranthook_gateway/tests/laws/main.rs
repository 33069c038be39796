//! How the work of a step grows with the fleet; README.md lists the laws.
//!
//! Each test does the same work at several sizes, counts comparisons, bytes or messages, and
//! compares the counts with a law. None uses a network or reads a clock.

mod brittle;
mod counted;
mod currency;
mod eras;
mod evidence;
mod forwarding;
mod law;
mod lending;
mod lost_rows;
mod owners;
mod poison;
mod retries;
mod rows;
mod storms;
mod suspects;
mod unlisted;
