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
    let (now, start) = (Instant::now(), Duration::from_secs(100));
    let spacing = Duration::from_millis(spacing_ms.into());
    let mut owners = Owners::default();
    for n in 0..n_nodes {
        let name = format!("node-{n}");
        owners.set_node(&name, Some(SocketAddr::from(([10, 0, 0, 1], n + 1))));
        let joined = n.checked_sub(n_settled).map(|n| start + spacing * n.into());
        owners.set_joined(&name, joined);
    }
    let last = start + spacing * (n_nodes - n_settled).into();
    for id in (0..8).map(|it| endpoint::Id::from(format!("e-{it}").as_str())) {
        let (mut time, mut reported_to) = (start + Duration::from_millis(1_500), VecDeque::new());
        while time < last + Duration::from_secs(5) {
            reported_to.push_back((time, owners.reported_to(&id, Some(time), now)));
            reported_to.retain(|(at, _)| time <= *at + REPORT_INTERVAL);
            if start + Duration::from_millis(2_500) <= time {
                let asked = owners.settled_owner_of(&id, 0, Some(time), now).unwrap();
                let n_missed = reported_to.iter().filter(|(_, it)| !it.contains(&asked)).count();
                assert_eq!(n_missed, 0, "{asked} was not reported to at {time:?}");
            }
            time += STEP;
        }
    }
}
