//! The bound on the open connections of a server.

use std::{sync::Arc, time::Duration};

use async_io::block_on;
use curranthook_http::server::{Connection, Connections};
use curranthook_types::clock::Manual;
use futures_lite::future;

const SECURE_TIME: Duration = Duration::from_secs(1);

fn start(max: usize) -> (Arc<Connections>, Arc<Manual>) {
    let clock = Arc::new(Manual::default());
    (Arc::new(Connections::new(max, Arc::clone(&clock) as _)), clock)
}

/// Whether one more connection is admitted, while the owner of `other` closes it if it has to give way.
fn admit_beside(connections: &Arc<Connections>, other: Connection) -> bool {
    let close = async {
        other.wait_to_give_way().await;
        drop(other);
        future::pending::<bool>().await
    };
    block_on(future::or(async { connections.admit().await.is_some() }, close))
}

/// Guards against answers that are cut off, as the connections of others are needed.
#[test]
fn connection_with_a_request_under_way_never_gives_way() {
    let (connections, clock) = start(1);
    let busy = block_on(connections.admit()).unwrap();
    assert!(busy.begin_request());
    clock.advance(SECURE_TIME * 100);
    assert!(!admit_beside(&connections, busy));
}

/// Guards against a response whose last bytes are cut off.
#[test]
fn connection_gives_way_some_time_after_its_response() {
    for (waited, is_admitted) in
        [(SECURE_TIME - Duration::from_millis(1), false), (SECURE_TIME, true)]
    {
        let (connections, clock) = start(1);
        let idle = block_on(connections.admit()).unwrap();
        idle.begin_request();
        clock.advance(SECURE_TIME * 10);
        idle.end_request();
        clock.advance(waited);
        assert_eq!(admit_beside(&connections, idle), is_admitted, "after {waited:?}");
    }
}

/// Guards against clients that keep connections by never finishing a body.
#[test]
fn connection_gives_way_some_time_after_it_began_a_body() {
    let (connections, clock) = start(1);
    let slow = block_on(connections.admit()).unwrap();
    slow.begin_request();
    slow.begin_body();
    clock.advance(SECURE_TIME);
    assert!(admit_beside(&connections, slow));
}

/// Guards against a request that is passed on although its connection is being closed.
#[test]
fn connection_that_gives_way_takes_no_request() {
    let (connections, _clock) = start(1);
    let idle = block_on(connections.admit()).unwrap();
    // Not admitted yet, as the other one is still open.
    let admitted = block_on(future::poll_once(connections.admit()));
    assert!(admitted.is_none());
    assert!(!idle.begin_request());
}
