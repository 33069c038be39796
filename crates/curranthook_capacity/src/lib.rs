//! Measures the resource usage of a node on this machine and extrapolates it to larger fleets.
//!
//! Data flows one way: [`document`] (synthetic configurations) -> [`cluster`] (real processes)
//! -> [`usage`] and counters -> [`measure`] (one module per measurement) -> [`fit`] (linear
//! regression) -> [`report`] (tables as Markdown and JSON).

pub mod bench;
pub mod cluster;
pub mod document;
pub mod fit;
pub mod measure;
pub mod report;
pub mod usage;
