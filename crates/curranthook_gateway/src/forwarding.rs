//! What a node does that is cut off from all endpoints of a service, while its callers, the store
//! and other nodes still reach it.
//!
//! - [`reach`] decides whether the node is cut off;
//! - [`probe`] connects to a few endpoints to find out.

pub mod probe;
pub mod reach;

use parking_lot::Mutex;

use self::reach::Reach;

/// The state of this module.
#[derive(Debug, Default)]
pub struct Forwarding {
    /// Which services this node is cut off from.
    pub reach: Mutex<Reach>,
}
