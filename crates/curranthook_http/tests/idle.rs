//! Too many idle connections in a pool would use up the connection limit of an endpoint.

use std::{
    io::{ErrorKind, Read},
    net::{TcpListener, TcpStream},
    sync::Arc,
    time::Duration,
};

use curranthook_http::{
    client::{Freshness, Pool},
    runtime,
};
use curranthook_types::clock;

fn is_open(stream: &mut TcpStream) -> bool {
    stream.set_read_timeout(Some(Duration::from_millis(200))).unwrap();
    let read = stream.read(&mut [0]);
    matches!(read, Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut))
}

/// Guards against a pool that exceeds its limit, or closes the connections used most recently. An
/// endpoint whose connection limit is used up by idle connections rejects new ones.
#[test]
fn the_oldest_idle_connections_are_closed() {
    const MAX_IDLE: usize = 2;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let pool = Pool::new(runtime::start(1), Arc::new(clock::System));
    let taken: Vec<_> =
        (0..5).map(|_| async_io::block_on(pool.take(addr, Freshness::New)).unwrap()).collect();
    let mut accepted: Vec<_> = (0..5).map(|_| listener.accept().unwrap().0).collect();
    taken.into_iter().for_each(|it| pool.put_with_limit(it, MAX_IDLE));
    let open: Vec<_> = accepted.iter_mut().map(is_open).collect();
    assert_eq!(open, [false, false, false, true, true]);
}
