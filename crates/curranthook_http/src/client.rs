//! A client that knows whether bytes may have gone out.
//!
//! Something between two ends can lose track of an open connection: it goes silent for good
//! while new ones work. One notices only that answers stop coming. Hence a connection on which
//! anything went wrong is closed, never reused, and callers can ask for a connection that is
//! new or was in use a moment ago.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use async_io::{Async, Timer};
use bytes::Bytes;
use curranthook_types::Clock;
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use parking_lot::Mutex;
use smol_hyper::rt::FuturesIo;

use crate::{runtime, timeout};

/// How many idle connections are kept for each address.
const MAX_IDLE_PER_ADDRESS: usize = 512;
/// Past this much idle time a connection isn't reused for anything.
const MAX_IDLE_AGE: Duration = Duration::from_secs(20);
/// How long an idle connection may take to be ready for another call.
const READY_TIMEOUT: Duration = Duration::from_millis(50);
/// How long sent bytes may stay unacknowledged before the kernel gives a connection up.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a connection may hear nothing before it's probed, and how long a probe may stay
/// unanswered. The kernel takes whole seconds: of less it keeps none, and probes after two hours.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// How many keep-alive probes in a row may stay unanswered.
const MAX_UNANSWERED_PROBES: u32 = 1;

/// Which connections will do for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// An idle one, however old.
    Any,
    /// An idle one that was in use less than this long ago.
    Within(Duration),
    /// Only a new one.
    New,
}

/// Whether connections that wait for an answer are probed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Probing {
    On,
    Off,
}

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection; nothing was sent.
    #[error("can't connect to {addr}: {message}")]
    Connect {
        /// Where to.
        addr: SocketAddr,
        /// What kind of error it was.
        kind: io::ErrorKind,
        /// What the system said.
        message: String,
    },
    /// The connection closed before the request was handed to it; nothing was sent.
    #[error("the connection closed before the request went out")]
    NotSent,
    /// The connection failed after the request went out, before the head of an answer came.
    #[error("the connection closed before an answer: {0}")]
    Closed(hyper::Error),
}

impl Error {
    /// Whether it's certain that not a byte of the request was handed to a socket.
    pub fn is_unsent(&self) -> bool {
        match self {
            Self::Connect { .. } | Self::NotSent => true,
            Self::Closed(_) => false,
        }
    }

    /// Whether the host is there and said that nobody listens.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Connect { kind: io::ErrorKind::ConnectionRefused, .. })
    }
}

/// A connection lent by a [`Pool`].
#[derive(Debug)]
pub struct Connection {
    addr: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    opened: Opened,
}

/// When a connection was opened.
#[derive(Debug, Clone, Copy)]
enum Opened {
    /// For this call.
    Now(Instant),
    /// For an earlier call.
    Earlier,
}

impl Connection {
    /// Whether it served another call before.
    pub fn is_reused(&self) -> bool {
        matches!(self.opened, Opened::Earlier)
    }

    /// The other end.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sends `req` and waits for the head of the answer.
    pub async fn send(
        &mut self,
        req: http::Request<Bytes>,
    ) -> Result<http::Response<Incoming>, Error> {
        let sent = self.sender.try_send_request(req.map(Full::new));
        sent.await.map_err(|mut e| match e.take_message() {
            // hyper hands the request back only if it never reached the connection.
            Some(_) => Error::NotSent,
            None => Error::Closed(e.into_error()),
        })
    }

    /// Waits for `wait` to see whether the other end drops the connection at once, as an endpoint over
    /// its limit does right after it accepted one. What would have been sent is then known not to have
    /// arrived.
    pub async fn wait_for_early_close(&self, wait: Duration) -> Result<(), Error> {
        Timer::after(wait).await;
        if self.sender.is_closed() { Err(Error::NotSent) } else { Ok(()) }
    }

    /// Closes the connection; whatever still comes on it is dropped.
    pub fn close(self) {
        drop(self);
    }
}

#[derive(Debug)]
struct Idle {
    sender: SendRequest<Full<Bytes>>,
    since: Instant,
}

/// Connections that can be used again, by address.
#[derive(Debug)]
pub struct Pool {
    ex: runtime::Handle,
    clock: Arc<dyn Clock>,
    connect_timeout: Duration,
    unacked_timeout: Duration,
    /// The time between keep-alive probes; none are sent without it.
    probing: Probing,
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
    /// When the newest connection that was answered had been opened.
    newest_answered: Mutex<HashMap<SocketAddr, Instant>>,
}

impl Pool {
    /// An empty pool.
    pub fn new(ex: runtime::Handle, clock: Arc<dyn Clock>) -> Self {
        const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
        Self {
            ex,
            clock,
            connect_timeout: CONNECT_TIMEOUT,
            unacked_timeout: UNACKED_TIMEOUT,
            probing: Probing::Off,
            idle: Mutex::default(),
            newest_answered: Mutex::default(),
        }
    }

    /// Sets how long a connection attempt may take; one second if not set.
    pub fn with_connect_timeout(self, connect_timeout: Duration) -> Self {
        Self { connect_timeout, ..self }
    }

    /// Gives connections up after this long without an acknowledgement of sent bytes, and when a
    /// probe of a connection that is waiting stays unanswered. Without it, a call that waits on a
    /// host that lost its power or is cut off hangs until its own limit; with it, the call fails
    /// within two seconds and can be made elsewhere while there is time.
    pub fn with_liveness(self, unacked_timeout: Duration) -> Self {
        Self { unacked_timeout, probing: Probing::On, ..self }
    }

    /// Lends a connection to `addr`.
    pub async fn take(&self, addr: SocketAddr, freshness: Freshness) -> Result<Connection, Error> {
        while let Some(mut sender) = self.take_idle(addr, freshness) {
            // The task that drives the connection may still be closing the last exchange. One
            // that can't, because the other end stopped reading, would keep us waiting for good.
            if let Ok(Ok(())) = timeout::run(READY_TIMEOUT, sender.ready()).await {
                return Ok(Connection { addr, sender, opened: Opened::Earlier });
            }
        }
        self.connect(addr).await
    }

    /// Takes back a connection whose last answer was read to its end and is beyond doubt.
    pub fn put(&self, conn: Connection) {
        self.put_with_limit(conn, MAX_IDLE_PER_ADDRESS);
    }

    /// Takes back a connection like [`put`](Self::put), and closes those that were idle for longest if
    /// there are more than `max_idle` to the same address.
    pub fn put_with_limit(&self, conn: Connection, max_idle: usize) {
        if conn.sender.is_closed() {
            return;
        }
        let idle = Idle { sender: conn.sender, since: self.clock.now() };
        let mut idle_by_address = self.idle.lock();
        let connections = idle_by_address.entry(conn.addr).or_default();
        connections.retain(|it| !it.sender.is_closed());
        connections.push(idle);
        let n_excess = connections.len().saturating_sub(max_idle.min(MAX_IDLE_PER_ADDRESS));
        connections.drain(..n_excess);
    }

    /// Closes the idle connections to `addr`, after one of them was found to be silent.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.idle.lock().remove(&addr);
    }

    /// Notes that an answer came on `conn`.
    pub fn record_response(&self, conn: &Connection) {
        if let Opened::Now(opened) = conn.opened {
            self.newest_answered.lock().insert(conn.addr, opened);
        }
    }

    /// Whether a connection to `addr` that was opened after `since` has been answered. A call
    /// that began before and still has no answer is likely on a connection that went silent.
    pub fn has_newer_working_connection(&self, addr: SocketAddr, since: Instant) -> bool {
        self.newest_answered.lock().get(&addr).is_some_and(|opened| since < *opened)
    }

    fn take_idle(
        &self,
        addr: SocketAddr,
        freshness: Freshness,
    ) -> Option<SendRequest<Full<Bytes>>> {
        let max_age = match freshness {
            Freshness::Any => MAX_IDLE_AGE,
            Freshness::Within(age) => age.min(MAX_IDLE_AGE),
            Freshness::New => return None,
        };
        let now = self.clock.now();
        let mut idle_by_address = self.idle.lock();
        let connections = idle_by_address.get_mut(&addr)?;
        // The last one was used last; if that is too old, so are the others.
        while let Some(idle) = connections.pop() {
            if max_age < now.saturating_duration_since(idle.since) {
                connections.clear();
                return None;
            }
            if !idle.sender.is_closed() {
                return Some(idle.sender);
            }
        }
        None
    }

    fn configure(&self, stream: &std::net::TcpStream) -> io::Result<()> {
        let socket = socket2::SockRef::from(stream);
        socket.set_tcp_nodelay(true)?;
        socket.set_tcp_user_timeout(Some(self.unacked_timeout))?;
        if self.probing == Probing::On {
            let keepalive = socket2::TcpKeepalive::new()
                .with_time(PROBE_INTERVAL)
                .with_interval(PROBE_INTERVAL)
                .with_retries(MAX_UNANSWERED_PROBES);
            socket.set_tcp_keepalive(&keepalive)?;
        }
        Ok(())
    }

    async fn connect(&self, addr: SocketAddr) -> Result<Connection, Error> {
        let opened = self.clock.now();
        let connect_error = |kind, message: String| Error::Connect { addr, kind, message };
        let connecting =
            timeout::run(self.connect_timeout, Async::<std::net::TcpStream>::connect(addr));
        let connected =
            connecting.await.map_err(|e| connect_error(io::ErrorKind::TimedOut, e.to_string()))?;
        let stream = connected.map_err(|e| connect_error(e.kind(), e.to_string()))?;
        if let Err(e) = self.configure(stream.get_ref()) {
            // Calls still work, but a silent host is noticed late.
            log::warn!("a connection to {addr} can't be configured: {e}");
        }
        let (sender, conn) = http1::handshake(FuturesIo::new(stream))
            .await
            .map_err(|e| connect_error(io::ErrorKind::Other, e.to_string()))?;
        self.ex
            .spawn(async move {
                // The call on the connection learns of a failure by itself.
                let _failed = conn.await;
            })
            .detach();
        Ok(Connection { addr, sender, opened: Opened::Now(opened) })
    }
}
