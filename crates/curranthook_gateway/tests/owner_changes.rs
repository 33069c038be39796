//! Owners of brittle endpoints while many nodes have just joined.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    time::{Duration, Instant},
};

use curranthook_gateway::load::owners::Owners;
use curranthook_types::endpoint;
use yare::parameterized;

const STEP: Duration = Duration::from_millis(10);
/// The time within which each node repeats its reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The minimum time between two changes of an endpoint's owner.
const CHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// By how much a busy node's idea of the store's clock may be late.
const CLOCK_DELAY: Duration = Duration::from_secs(1);
/// When the first node joins, by the store's clock.
const START: Duration = Duration::from_millis(100_300);

/// Owners of `n_nodes`, of which all but `n_settled` join one after the other, and when the last one
/// does.
fn joined_nodes(n_nodes: u16, n_settled: u16, spacing_ms: u32) -> (Owners, Duration) {
    let spacing = Duration::from_millis(spacing_ms.into());
    let mut owners = Owners::default();
    for n in 0..n_nodes {
        let name = format!("node-{n}");
        owners.set_node(&name, Some(SocketAddr::from(([10, 0, 0, 1], n + 1))));
        let joined = n.checked_sub(n_settled).map(|n| START + spacing * n.into());
        owners.set_joined(&name, joined);
    }
    (owners, START + spacing * (n_nodes - n_settled).into())
}

fn endpoints() -> impl Iterator<Item = endpoint::Id> {
    (0..8).map(|it| endpoint::Id::from(format!("w-{it}").as_str()))
}

/// A node may be asked for the requests at an endpoint only if all others have reported theirs to it
/// for a while. Guards against a new owner that knows a part of them, as nodes settle one by one.
#[parameterized(
    small = { 13, 0, 100 },
    restarted = { 20, 0, 80 },
    restarted_at_once = { 40, 0, 0 },
    joining = { 40, 13, 60 },
    restarted_slowly = { 40, 0, 500 },
    large = { 985, 0, 3 },
    large_joining = { 985, 700, 10 },
)]
fn node_is_asked_after_it_was_reported_to(n_nodes: u16, n_settled: u16, spacing_ms: u32) {
    let (mut owners, last) = joined_nodes(n_nodes, n_settled, spacing_ms);
    let now = Instant::now();
    for id in endpoints() {
        let (mut time, mut reported_to) = (START + Duration::from_millis(1_500), VecDeque::new());
        while time < last + Duration::from_secs(5) {
            reported_to.push_back((time, owners.reported_to(&id, Some(time))));
            reported_to.retain(|(at, _)| time <= *at + REPORT_INTERVAL);
            if START + Duration::from_millis(2_500) <= time {
                let asked = owners.settled_owner_of(&id, 0, Some(time), now).unwrap();
                let n_missed = reported_to.iter().filter(|(_, it)| !it.contains(&asked)).count();
                assert_eq!(n_missed, 0, "{asked} was not reported to at {time:?}");
            }
            time += STEP;
        }
    }
}

/// A new owner does not know which room the one before it gave away a moment ago. Guards against
/// several changes in a row, each of which may let a few requests too many through.
#[parameterized(
    restarted = { 20, 0, 80 },
    restarted_slowly = { 40, 0, 500 },
    joining = { 21, 13, 96 },
    large = { 985, 0, 3 },
    large_joining = { 985, 700, 10 },
)]
fn owner_changes_once_a_second(n_nodes: u16, n_settled: u16, spacing_ms: u32) {
    let (mut owners, last) = joined_nodes(n_nodes, n_settled, spacing_ms);
    for id in endpoints() {
        let (mut time, mut owner, mut changed_at) = (START, None, None);
        while time < last + Duration::from_secs(6) {
            let asked = owners.settled_owner_of(&id, 0, Some(time), Instant::now());
            if owner.is_some() && owner != asked {
                let since = changed_at.map(|at| time - at);
                assert!(since.is_none_or(|it| CHANGE_INTERVAL <= it), "changed after {since:?}");
                changed_at = Some(time);
            }
            owner = asked;
            time += STEP;
        }
    }
}

/// Guards against a node that is asked by one whose clock is late, and no longer reported to by others.
#[parameterized(
    restarted = { 20, 0, 80 },
    restarted_slowly = { 40, 0, 500 },
    joining = { 21, 13, 96 },
    large_joining = { 985, 700, 10 },
)]
fn node_that_is_asked_late_is_reported_to(n_nodes: u16, n_settled: u16, spacing_ms: u32) {
    let (mut owners, last) = joined_nodes(n_nodes, n_settled, spacing_ms);
    let now = Instant::now();
    for id in endpoints() {
        let mut time = START + Duration::from_millis(2_500);
        while time < last + Duration::from_secs(7) {
            let reported_to = owners.reported_to(&id, Some(time));
            let asked = owners.settled_owner_of(&id, 0, Some(time - CLOCK_DELAY), now).unwrap();
            assert!(reported_to.contains(&asked), "{asked} is not reported to at {time:?}");
            time += STEP;
        }
    }
}
