//! How often a steward polls leases held by other stewards.

use std::time::Duration;

use crate::shard::Shard;

/// The shortest time between two polls of one shard.
const MIN_INTERVAL: Duration = Duration::from_secs(4);
/// The maximum rate of polls by all stewards together. The platform's table serves about 2,000
/// reads per second to all clients; at a fixed interval, the stewards alone would use them up in a
/// fleet of 1,100 nodes.
const FLEET_READS_PER_SECOND: f64 = 400.0;

/// The longest time between two polls of one shard, in a fleet of `n_nodes`.
///
/// A large fleet detects a dead holder about as fast as a small one: the interval grows with the
/// number of stewards that poll, and any one of them detects it by polling twice.
///
/// ```
/// # use curranthook_steward::poll;
/// assert_eq!(poll::interval(8).as_secs(), 4);
/// assert_eq!(poll::interval(1_800).as_secs(), 27);
/// ```
pub fn interval(n_nodes: usize) -> Duration {
    let n_shards = Shard::all().len();
    MIN_INTERVAL.max(Duration::from_secs_f64((n_nodes * n_shards) as f64 / FLEET_READS_PER_SECOND))
}
