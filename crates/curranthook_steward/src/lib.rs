//! Control work under leases.
//!
//! [`lease`] acquires and renews leases in the platform's table. [`shard`] defines how the work is
//! divided, [`poll`] how often leases held by other stewards are polled. [`verdict`] withdraws
//! versions whose quality dropped, [`rollout`] advances rollouts, [`order`] tells engines which
//! versions to serve. [`document`] reads and replaces the published configuration. [`serve`] runs
//! the steward.

pub mod document;
pub mod evidence;
pub mod lease;
pub mod order;
pub mod poll;
pub mod rollout;
pub mod serve;
pub mod shard;
pub mod verdict;
