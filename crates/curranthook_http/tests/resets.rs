//! Connections that the peer resets before or after a request is written.

use std::{
    io::Read,
    net::{TcpListener, TcpStream},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use curranthook_http::{
    client::{Error, Freshness, Pool},
    runtime, timeout,
};
use curranthook_types::clock;

fn reset(stream: TcpStream) {
    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
    drop(stream);
}

fn request() -> http::Request<Bytes> {
    let body = Bytes::from_static(&[b'x'; 20_000]);
    http::Request::post("/write").header("host", "x").body(body).unwrap()
}

/// Guards against stating that a request may have run, as its connection was reset before the
/// request was written, but the process has not noticed it yet.
#[test]
fn request_on_a_connection_that_was_reset_is_not_sent() {
    for _ in 0..100 {
        runtime::run(1, |ex| async move {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let pool = Pool::new(Arc::clone(&ex), Arc::new(clock::System));
            let addr = listener.local_addr().unwrap();
            let mut conn = pool.take(addr, Freshness::New).await.unwrap();
            reset(listener.accept().unwrap().0);
            let sent = timeout::run(Duration::from_secs(5), conn.send(request())).await;
            let error = sent.expect("an answer or an error").unwrap_err();
            assert!(error.is_unsent(), "{error}");
        });
    }
}

/// Guards against stating that a request was not sent although the peer has read it.
#[test]
fn request_that_the_peer_has_read_is_sent() {
    runtime::run(2, |ex| async move {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let pool = Pool::new(Arc::clone(&ex), Arc::new(clock::System));
        let addr = listener.local_addr().unwrap();
        let mut conn = pool.take(addr, Freshness::New).await.unwrap();
        let peer = std::thread::spawn(move || {
            let mut stream = listener.accept().unwrap().0;
            assert!(0 < stream.read(&mut [0; 100]).unwrap());
            reset(stream);
        });
        let error = conn.send(request()).await.unwrap_err();
        peer.join().unwrap();
        assert!(matches!(error, Error::Closed(_)), "{error}");
        assert!(!error.is_unsent());
    });
}
