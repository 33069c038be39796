//! Division of the control work into shards.

use curranthook_types::{endpoint, site};

/// The number of shards among which the engines of a site are divided for load and unload orders.
pub const N_ORDER_SHARDS: u64 = 4;

/// A unit of control work, done by the one steward that holds its lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shard {
    /// Withdrawal of bad versions.
    Verdicts,
    /// Advancing and aborting rollouts.
    Rollouts,
    /// Load and unload orders to the engines whose ids hash to this shard number.
    Orders(u64),
}

impl Shard {
    /// All shards of a site.
    pub fn all() -> Vec<Self> {
        let orders = (0..N_ORDER_SHARDS).map(Self::Orders);
        [Self::Verdicts, Self::Rollouts].into_iter().chain(orders).collect()
    }

    /// The key of the shard's lease. Verdicts and rollouts change the single document, so there is
    /// one shard of each for the whole fleet.
    pub fn key(self, site: &site::Id) -> String {
        match self {
            Self::Verdicts => "verdicts".to_owned(),
            Self::Rollouts => "rollouts".to_owned(),
            Self::Orders(n) => format!("orders-{site}-{n}"),
        }
    }

    /// The shard that an engine belongs to.
    ///
    /// ```
    /// # use curranthook_steward::shard::Shard;
    /// assert!(Shard::all().contains(&Shard::for_endpoint(&"tally-1".into())));
    /// ```
    pub fn for_endpoint(endpoint: &endpoint::Id) -> Self {
        let bytes = endpoint.as_str().as_bytes();
        let hash = bytes.iter().fold(0_u64, |sum, it| sum.wrapping_mul(31) + u64::from(*it));
        Self::Orders(hash % N_ORDER_SHARDS)
    }
}
