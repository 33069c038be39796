//! Control work under leases.
//!
//! [`lease`] gets and keeps leases in the platform's table. [`shard`] says what work there is,
//! [`poll`] how often the shards of others are looked at.
//! [`verdict`] withdraws versions that turned bad, [`rollout`] moves roll-outs on, [`order`]
//! tells engines which versions to serve. [`document`] reads and replaces the published
//! configuration. [`serve`] puts it all together.

pub mod document;
pub mod evidence;
pub mod lease;
pub mod order;
pub mod poll;
pub mod rollout;
pub mod serve;
pub mod shard;
pub mod verdict;
