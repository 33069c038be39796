//! What nodes learn from load owners about endpoints that cannot be reached.

mod support;

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use curranthook_gateway::{
    directory::Directory,
    entry::Entry,
    load::{reports::PeerState, work::Work},
};
use curranthook_types::endpoint;

use self::support::entry;

/// Guards against requests that are sent to an endpoint that owners report as unreachable, and
/// against refusals because its queue counts as known.
#[test]
fn unreachable_endpoints_are_ejected_and_have_no_known_queue() {
    let (mut directory, now) = (Directory::default(), Instant::now());
    for id in ["lost", "busy"] {
        directory.upsert(Entry { id: id.into(), ..entry(0, Duration::ZERO) }, now);
    }
    let (lost, busy) = ("lost".into(), "busy".into());
    let mut peer_state = PeerState {
        waiting: HashMap::from([
            (lost, Work::default()),
            (busy, Work::new(0, Duration::from_secs(3))),
        ]),
        unreachable: vec!["lost".into()],
        ..PeerState::default()
    };
    peer_state.eject_unreachable(&mut directory, now);
    assert_eq!(peer_state.waiting.keys().map(endpoint::Id::as_str).collect::<Vec<_>>(), ["busy"]);
    let is_ejected = |id: &str| directory.get(&id.into()).unwrap().is_ejected(now);
    assert!(is_ejected("lost") && !is_ejected("busy"));
}
