//! Without keep-alive probes, a request to a host that lost power hangs until its time limit.

use std::{fs, net::TcpListener, sync::Arc, time::Duration};

use curranthook_http::{
    client::{Freshness, Pool},
    runtime, timeout,
};
use curranthook_types::clock;

const TEST_TIMEOUT: Duration = Duration::from_secs(10);
/// The resolution of timers in `/proc/net/tcp`, in ticks per second.
const TICKS_PER_SECOND: u64 = 100;
/// The code of the keep-alive timer in `/proc/net/tcp`.
const KEEP_ALIVE_TIMER: &str = "02";

/// A host loses power while a request waits for its response: every byte sent has been
/// acknowledged, and no response arrives. Without keep-alive probes, whose interval the kernel
/// accepts in whole seconds only, the request hangs until its own time limit, and its caller gets
/// no response in time.
#[test]
fn a_waiting_connection_is_probed_within_a_second() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let pool = Pool::new(runtime::start(1), Arc::new(clock::System))
        .with_liveness(Duration::from_millis(1_200));
    let take = timeout::run(TEST_TIMEOUT, pool.take(addr, Freshness::New));
    let _conn = async_io::block_on(take).unwrap().unwrap();
    let (_accepted, client) = listener.accept().unwrap();
    let (timer, ticks) = tcp_timer(client.port(), addr.port()).expect("the connection is listed");
    assert_eq!(timer, KEEP_ALIVE_TIMER);
    assert!(ticks <= TICKS_PER_SECOND, "the first probe goes out in {ticks} ticks");
}

/// The active timer of a connection, and in how many ticks it fires.
fn tcp_timer(local: u16, remote: u16) -> Option<(String, u64)> {
    let table = fs::read_to_string("/proc/net/tcp").unwrap();
    let port = |it: &str| u16::from_str_radix(it.split_once(':')?.1, 16).ok();
    table.lines().skip(1).find_map(|line| {
        let fields: Vec<_> = line.split_whitespace().collect();
        let is_match = port(fields[1]) == Some(local) && port(fields[2]) == Some(remote);
        let (kind, when) = fields[5].split_once(':')?;
        is_match.then(|| (kind.to_owned(), u64::from_str_radix(when, 16).unwrap()))
    })
}
