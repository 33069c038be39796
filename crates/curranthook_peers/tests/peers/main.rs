//! Tests of the peer-to-peer layer: several nodes in one process, over transports that can be cut.

mod calls;
mod digest;
mod document;
mod journal;
mod membership;
mod support;
