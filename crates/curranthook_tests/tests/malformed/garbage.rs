//! A server that answers with garbage.

use std::{
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

/// How many kinds of garbage there are; connections get one after the other.
pub(super) const N_KINDS: usize = ANSWERS.len();

const ANSWERS: &[&[u8]] = &[
    b"",
    b"\0\xff\xfe\x01garbage\r\n\r\n",
    b"HTTP/1.1 999 what\r\n\r\n",
    b"HTTP/1.1 200 OK\r\ncontent-length: -5\r\n\r\n",
    b"HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\nshort",
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: 14\r\n\r\ndata: {{{[[\n\n\n",
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\ndata: \xff\xfe\n\n",
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\ndata: {\"id\":7}\n\n",
    b"HTTP/1.1 200 OK\r\ncontent-type: \xff\xfe\r\netag: \xff\r\ncontent-length: 2\r\n\r\n[]",
    b"HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n",
    b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nnull",
    b"HTTP/1.1 404 Not Found\r\ncontent-length: 3\r\n\r\n{}}",
    b"HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n",
];

/// Whole bodies behind heads that don't tell where the body ends.
pub(super) const BROKEN_FRAMING: &[&[u8]] = &[
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunkee\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
];

/// Whole bodies behind heads without the field that tells where the body ends.
pub(super) const LOST_FRAMING: &[&[u8]] = &[
    b"HTTP/1.1 200 OK\r\nkeep-alive: timeout=10\r\ncontent-lengti: 2\r\n\r\n{}",
    b"HTTP/1.1 200 OK\r\ntransfer-encodinh: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
];

/// Starts it; it lives as long as the test process.
pub(super) fn listen() -> anyhow::Result<SocketAddr> {
    listen_with(ANSWERS)
}

/// The same, with these answers.
pub(super) fn listen_with(answers: &'static [&'static [u8]]) -> anyhow::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let addr = listener.local_addr()?;
    thread::spawn(move || {
        for (stream, answer) in listener.incoming().flatten().zip(answers.iter().cycle()) {
            thread::spawn(move || serve(stream, answer));
        }
    });
    Ok(addr)
}

/// Starts a server whose answers are one event that never ends.
pub(super) fn listen_endless() -> anyhow::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let addr = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve_endless(stream));
        }
    });
    Ok(addr)
}

fn serve_endless(mut stream: TcpStream) {
    const CHUNK: usize = 64 * 1024;
    let mut buf = [0; 4096];
    let mut sent = match stream.read(&mut buf) {
        Ok(0) | Err(_) => return,
        Ok(_) => {
            stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\ndata: ")
        }
    };
    while sent.is_ok() {
        sent = stream.write_all(&[b'x'; CHUNK]);
    }
}

fn serve(mut stream: TcpStream, answer: &[u8]) {
    const WAIT: Duration = Duration::from_secs(5);
    let mut buf = [0; 4096];
    let _any = stream.set_read_timeout(Some(WAIT));
    if stream.read(&mut buf).is_ok_and(|n_read| 0 < n_read) {
        let _any = stream.write_all(answer);
    }
}
