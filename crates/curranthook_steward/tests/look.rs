//! Looks at shards that others hold must not take up the table as the fleet grows.

use std::time::Duration;

use curranthook_steward::{look, shard::Shard};
use yare::parameterized;

/// Each steward looks at each shard. At a fixed interval, 1,800 stewards would read the table
/// more often than the platform bears, and operators' publications would be refused.
#[parameterized(
    today = { 8 },
    at_the_turn = { 267 },
    target = { 1_800 },
    beyond = { 20_000 },
)]
fn all_stewards_together_stay_within_the_tables_rate(n_nodes: usize) {
    const MOST: f64 = 410.0;
    let looks = (n_nodes * Shard::all().len()) as f64;
    let rate = looks / look::interval(n_nodes).as_secs_f64();
    assert!(rate < MOST, "{rate} looks a second");
}

/// In a small fleet nobody else would notice a dead holder.
#[test]
fn a_small_fleet_looks_often() {
    assert_eq!(look::interval(1), Duration::from_secs(4));
    assert_eq!(look::interval(100), Duration::from_secs(4));
}
