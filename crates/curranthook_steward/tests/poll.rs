//! Tests that polling of leases held by others does not exhaust the table's read rate as the fleet
//! grows.

use std::time::Duration;

use curranthook_steward::{poll, shard::Shard};
use yare::parameterized;

/// Each steward polls each shard. At a fixed interval, 1,800 stewards would read the table more
/// often than the platform allows, and publications by operators would be refused.
#[parameterized(
    small_fleet = { 8 },
    where_the_interval_starts_to_grow = { 267 },
    target_fleet = { 1_800 },
    above_target = { 20_000 },
)]
fn fleet_poll_rate_stays_below_the_table_limit(n_nodes: usize) {
    const MAX_READS_PER_SECOND: f64 = 410.0;
    let n_reads = (n_nodes * Shard::all().len()) as f64;
    let rate = n_reads / poll::interval(n_nodes).as_secs_f64();
    assert!(rate < MAX_READS_PER_SECOND, "{rate} reads per second");
}

/// A small fleet has few other stewards that could detect a dead holder, so each one must poll
/// often.
#[test]
fn small_fleet_polls_at_the_minimum_interval() {
    assert_eq!(poll::interval(1), Duration::from_secs(4));
    assert_eq!(poll::interval(100), Duration::from_secs(4));
}
