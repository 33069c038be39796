//! Nodes acting together, in one process over links that can be cut.

mod calls;
mod digest;
mod document;
mod journal;
mod membership;
mod support;
