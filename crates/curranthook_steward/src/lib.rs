//! The steward: control work on the fleet, with each shard done by one steward at a time under a
//! lease.
//!
//! [`lease`] acquires and renews leases in the platform's table. [`shard`] defines how the work is
//! divided, [`poll`] how often leases held by other stewards are polled. [`verdict`] withdraws
//! versions whose quality dropped, [`rollout`] advances rollouts, and [`order`] makes engines load
//! and unload versions. [`evidence`] fetches the counts of all nodes' answers from the router,
//! [`document`] reads and replaces the published configuration. [`serve`] runs the steward.

pub mod document;
pub mod evidence;
pub mod lease;
pub mod order;
pub mod poll;
pub mod rollout;
pub mod serve;
pub mod shard;
pub mod verdict;
