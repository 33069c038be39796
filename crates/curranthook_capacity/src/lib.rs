//! Measures what a node costs on this machine, and works out the cost at a larger size.
//!
//! The data goes one way: [`document`] (made-up configurations) -> [`cluster`] (real processes)
//! -> [`usage`] and counters -> [`measure`] (one module for each question) -> [`fit`] (a line
//! through the points) -> [`report`] (tables as Markdown and JSON).

pub mod bench;
pub mod cluster;
pub mod document;
pub mod fit;
pub mod measure;
pub mod report;
pub mod usage;
