//! Endpoints that are silent for some time: no packet of theirs arrives, and none is acknowledged.

#[path = "support/node.rs"]
#[allow(dead_code, reason = "each test uses a part")]
mod node;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use curranthook_gateway::settings::Contention;
use curranthook_http::client::{Error, Freshness};
use http::StatusCode;
use yare::parameterized;

use self::node::{FleetTable, TestNode};

/// A sound endpoint may be silent for a second or so.
const SHORT: Duration = Duration::from_millis(1_300);
/// The time within which an endpoint that stays silent must be noticed, so that its requests can
/// still be sent elsewhere.
const MAX_DETECTION_TIME: Duration = Duration::from_millis(3_500);

/// When the silence begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum From {
    /// Before the request arrives, so that it is not acknowledged.
    BeforeRequest,
    /// While the response is awaited.
    Waiting,
}

/// Starts an endpoint that is silent for `length`, or for good, and then answers a request.
fn start_endpoint(from: From, length: Option<Duration>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        if from == From::BeforeRequest {
            set_silent(&stream);
        } else {
            let _n = stream.read(&mut [0; 4096]);
            set_silent(&stream);
        }
        std::thread::sleep(length.unwrap_or(Duration::from_secs(30)));
        socket2::SockRef::from(&stream).detach_filter().unwrap();
        if from == From::BeforeRequest {
            let _n = stream.read(&mut [0; 4096]);
        }
        let _closed = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
        std::thread::sleep(Duration::from_secs(1));
    });
    addr
}

/// Drops all packets that arrive, as if the path were interrupted.
fn set_silent(stream: &TcpStream) {
    const RETURN_ZERO_BYTES: u16 = 0x06;
    let filter = [socket2::SockFilter::new(RETURN_ZERO_BYTES, 0, 0, 0)];
    socket2::SockRef::from(stream).attach_filter(&filter).unwrap();
}

/// Sends a request as a node does. Returns the status and how long it took.
fn call(addr: SocketAddr) -> (Result<StatusCode, Error>, Duration) {
    let node = TestNode::start("node-1", Contention::Ignored, &Arc::new(FleetTable::default()));
    let gateway = node.gateway;
    let start = Instant::now();
    let exchange = async {
        let mut conn = gateway.pool.take(addr, Freshness::New).await?;
        // Time in which the endpoint becomes silent.
        async_io::Timer::after(Duration::from_millis(100)).await;
        let request = http::Request::builder().uri("/x").header("host", "x").body(Bytes::new());
        let response = conn.send(request.expect("a valid request")).await?;
        Ok(response.status())
    };
    let result = async_io::block_on(gateway.ex.run(exchange));
    (result, start.elapsed())
}

/// Guards against cutting a request to a sound endpoint that is silent for a second or so: whether
/// it runs would be unknown, and it could not be repeated.
#[parameterized(before_request = { From::BeforeRequest }, waiting = { From::Waiting })]
fn short_silence_cuts_no_request(from: From) {
    let (result, elapsed) = call(start_endpoint(from, Some(SHORT)));
    assert_eq!(result.ok(), Some(StatusCode::OK), "after {elapsed:?}");
}

/// Guards against waiting for an endpoint that stays silent until the request's deadline.
#[parameterized(before_request = { From::BeforeRequest }, waiting = { From::Waiting })]
fn endpoint_that_stays_silent_is_noticed(from: From) {
    let (result, elapsed) = call(start_endpoint(from, None));
    assert!(result.is_err() && elapsed < MAX_DETECTION_TIME, "{result:?} after {elapsed:?}");
}
