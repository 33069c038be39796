//! Heads of responses that state no body reliably, as the readers of all small responses meet them.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread,
    time::Duration,
};

use bytes::Bytes;
use curranthook_http::{Exchange, client::Pool, exchange, runtime};
use curranthook_types::clock;
use yare::parameterized;

const PAUSE: Duration = Duration::from_millis(10);

/// Starts a server that answers one request with these bytes, sends `rest` a moment later and closes the
/// connection.
fn serve_once(response: &'static str, rest: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        let mut stream = listener.accept().unwrap().0;
        assert!(0 < stream.read(&mut [0; 1024]).unwrap());
        stream.write_all(response.as_bytes()).unwrap();
        if !rest.is_empty() {
            thread::sleep(PAUSE);
            // A client that expects no more may have closed the connection.
            let _closed = stream.write_all(rest.as_bytes());
        }
    });
    addr
}

fn request(response: &'static str) -> Result<http::Response<Bytes>, exchange::Error> {
    request_in_two(response, "")
}

fn request_in_two(
    response: &'static str,
    rest: &'static str,
) -> Result<http::Response<Bytes>, exchange::Error> {
    let addr = serve_once(response, rest);
    runtime::run(1, |ex| async move {
        let pool = Pool::new(ex, Arc::new(clock::System));
        Exchange::get(addr, "/x").run(&pool).await
    })
}

/// Guards against a response that is taken for a complete one although its head doesn't tell where its
/// body ends, or that it is one.
#[parameterized(
    unknown_coding = {
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunkee\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
    },
    coding_before_chunks = {
        "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
    },
    two_codings = {
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ntransfer-encoding: x\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
    },
    switched_protocols = { "HTTP/1.1 101 OK\r\n\r\n" },
    status_600 = { "HTTP/1.1 600 OK\r\ncontent-length: 4\r\n\r\nbody" },
    status_000 = { "HTTP/1.1 000 OK\r\ncontent-length: 4\r\n\r\nbody" },
    small_length = { "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nbody" },
    no_length = { "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\nbody" },
    kept_without_a_length = { "HTTP/1.1 200 OK\r\nkeep-alive: timeout=10\r\n\r\nbody" },
    named_kept_without_a_length = { "HTTP/1.1 200 OK\r\nconnection: Keep-Alive\r\n\r\nbody" },
    kept_by_an_older_protocol = { "HTTP/1.0 200 OK\r\nconnection: keep-alive\r\n\r\nbody" },
    kept_after_an_interim_response = {
        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nkeep-alive: timeout=10\r\n\r\nbody"
    },
    chunks_without_their_coding = { "HTTP/1.1 200 OK\r\n\r\n3\r\nbod\r\n1\r\ny\r\n0\r\n\r\n" },
    chunks_of_a_connection_that_closes = {
        "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n4;name=value\r\nbody\r\n0\r\ntrailer: x\r\n\r\n"
    },
    chunks_of_an_older_protocol = { "HTTP/1.0 200 OK\r\n\r\n04\r\nbody\r\n000\r\n\r\n" },
    body_after_no_content = { "HTTP/1.1 204 OK\r\n\r\nbody" },
)]
fn malformed_response_is_an_error(response: &'static str) {
    let error = request(response).unwrap_err();
    assert!(!error.is_unsent(), "{error}");
}

/// Guards against refusing a response whose body can be read.
#[parameterized(
    chunks = { "HTTP/1.1 200 OK\r\ntransfer-encoding:  CHUNKED \r\n\r\n4\r\nbody\r\n0\r\n\r\n" },
    length = { "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody" },
    end_of_the_connection = { "HTTP/1.1 200 OK\r\n\r\nbody" },
    announced_end = { "HTTP/1.1 200 OK\r\nconnection: x, Close\r\nkeep-alive: timeout=10\r\n\r\nbody" },
    end_of_an_older_protocol = { "HTTP/1.0 200 OK\r\n\r\nbody" },
    interim_response = {
        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody"
    },
    another_response = {
        "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbodyHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
    },
)]
fn sound_response_is_read(response: &'static str) {
    assert_eq!(request(response).unwrap().body(), "body");
}

/// Guards against refusing a body that ends with its connection and only looks like chunks.
#[parameterized(
    numbers = { "1\r\n2\r\n3\r\n" },
    number_and_its_digits = { "3\r\n100\r\n" },
    zero = { "0\r\n" },
    hexadecimal_word = { "face\r\n" },
    line_feeds_only = { "4\nbody\n0\n\n" },
    wrong_size = { "3\r\nbody\r\n0\r\n\r\n" },
    more_after_the_last_chunk = { "4\r\nbody\r\n0\r\n\r\nmore" },
    no_size = { ";x\r\nbody\r\n0\r\n\r\n" },
    huge_size = { "ffffffffffffffffffff\r\nbody\r\n0\r\n\r\n" },
    nothing = { "" },
)]
fn body_that_ends_with_its_connection_is_read(body: &'static str) {
    let response = format!("HTTP/1.1 200 OK\r\n\r\n{body}");
    assert_eq!(request(response.leak()).unwrap().body(), body);
}

/// Guards against a response that is taken for a complete one although more follows before the end of the
/// connection that its head announces.
#[parameterized(
    announced = { "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 3\r\n\r\nbod", "y" },
    empty = { "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 0\r\n\r\n", "body" },
    of_an_older_protocol = { "HTTP/1.0 200 OK\r\ncontent-length: 3\r\n\r\nbod", "y" },
    after_no_content = { "HTTP/1.1 204 OK\r\nconnection: close\r\n\r\n", "body" },
)]
fn rest_before_an_announced_end_is_noticed(response: &'static str, rest: &'static str) {
    let error = request_in_two(response, rest).unwrap_err();
    assert!(!error.is_unsent(), "{error}");
}

/// Guards against refusing a whole response that another one follows on a connection that should close.
#[test]
fn another_response_before_an_announced_end_is_no_rest() {
    let response = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 4\r\n\r\nbody";
    let rest = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    assert_eq!(request_in_two(response, rest).unwrap().body(), "body");
}
