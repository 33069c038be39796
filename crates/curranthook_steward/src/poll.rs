//! How often a steward looks at shards that others hold.

use std::time::Duration;

use crate::shard::Shard;

/// The shortest time between two looks at one shard.
const MIN_INTERVAL: Duration = Duration::from_secs(4);
/// Looks a second by all stewards together. The platform's table gives about two thousand reads a
/// second to everybody; at a fixed interval, stewards alone would take them all at 1,100 nodes.
const FLEET_READS_PER_SECOND: f64 = 400.0;

/// The longest time between two looks at one shard, in a fleet of `n_nodes`.
///
/// A large fleet finds a dead holder about as soon as a small one: the interval grows with the
/// number of those who look, and it takes only one of them to look twice.
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
