//! An HTTP/1.1 client that knows whether request bytes may have been sent.
//!
//! A middlebox can lose the state of an open connection: its packets are then dropped without an
//! error while new connections work, and the only sign is that responses stop arriving. Therefore a
//! connection on which anything failed is closed and never reused, and callers can require a
//! connection that is new or was recently used.

mod chunks;
pub mod head;
mod progress;
pub mod response;

use std::{
    collections::HashMap,
    fmt, io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use async_io::{Async, Timer};
use bytes::Bytes;
use curranthook_types::Clock;
use futures_lite::future;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use parking_lot::Mutex;
use smol_hyper::rt::FuturesIo;

use self::{
    head::{Framing, Persistence},
    progress::Progress,
    response::Body,
};
use crate::{runtime, timeout};

/// The maximum number of idle connections in a pool per address.
const MAX_IDLE_PER_ADDRESS: usize = 512;
/// A connection that has been idle for longer than this is not reused.
const MAX_IDLE_AGE: Duration = Duration::from_secs(20);
/// How long an idle connection may take to become ready for another request, and how long its peer may
/// take to close it after a response that announces this.
const READY_TIMEOUT: Duration = Duration::from_millis(50);
/// How long after the end of its connection a request's result may still arrive.
const END_GRACE: Duration = Duration::from_millis(20);
/// How long sent bytes may stay unacknowledged before the kernel closes the connection.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a connection may receive nothing before a keep-alive probe is sent, and how long the
/// probe may stay unanswered. The kernel accepts only whole seconds: it ignores a shorter interval,
/// and sends the first probe after its default of two hours.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// The size of a connection's read buffer, and with it of the largest head, in bytes.
const MAX_BUFFER_BYTES: usize = 16 * 1024;
/// How many keep-alive probes in a row may stay unanswered. The kernel ignores this number where a
/// time limit for unacknowledged bytes is set: it then closes the connection at the first probe that
/// is due after that limit, counted from the last packet received.
const MAX_UNANSWERED_PROBES: u32 = 1;

/// Which connections may be used for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// A pooled connection that has been idle for at most `MAX_IDLE_AGE`, or a new one.
    Any,
    /// A pooled connection that was last used less than this long ago, or a new one.
    Within(Duration),
    /// Only a new connection.
    New,
}

/// Whether keep-alive probes are sent on connections that wait for a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Probing {
    On,
    Off,
}

/// Why a request failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection could be opened; nothing was sent.
    #[error("can't connect to {addr}: {message}")]
    Connect {
        /// The address that was connected to.
        addr: SocketAddr,
        /// The kind of I/O error.
        kind: io::ErrorKind,
        /// The error message of the operating system.
        message: String,
    },
    /// The connection closed before the request was passed to it; nothing was sent.
    #[error("the connection closed before the request went out")]
    NotSent,
    /// The connection failed after the request was sent, before a response head arrived.
    #[error("the connection closed before an answer: {0}")]
    Closed(hyper::Error),
    /// The same, and nothing states why.
    #[error("the connection ended before an answer")]
    Ended,
    /// A response with a malformed head arrived after the request was sent.
    #[error("malformed head: {0}")]
    Malformed(#[from] head::Malformed),
}

impl Error {
    /// Whether it is certain that no byte of the request was passed to a socket.
    pub fn is_unsent(&self) -> bool {
        match self {
            Self::Connect { .. } | Self::NotSent => true,
            Self::Closed(_) | Self::Ended | Self::Malformed(_) => false,
        }
    }

    /// Whether the host refused the connection because no process listens on the port.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Connect { kind: io::ErrorKind::ConnectionRefused, .. })
    }
}

/// The way to pass requests to a connection, shared with the body of the current response.
type Sender = Mutex<SendRequest<Full<Bytes>>>;

/// Is notified of bytes that arrive on an idle connection after a response whose end only its head stated,
/// and that do not begin another one: the response was longer than it stated.
pub trait Observer: fmt::Debug + Send {
    /// Such bytes have arrived, and the connection is closed.
    fn on_surplus(self: Box<Self>);
}

/// A connection checked out of a [`Pool`].
#[derive(Debug)]
pub struct Connection {
    addr: SocketAddr,
    sender: Arc<Sender>,
    progress: Progress,
    opened: Opened,
    empty_body_grace: Duration,
    /// What marked the end of the last response; none before the first one.
    framing: Option<Framing>,
}

/// When a connection was opened.
#[derive(Debug, Clone, Copy)]
enum Opened {
    /// For the current request.
    Now(Instant),
    /// For an earlier request.
    Earlier,
}

impl Connection {
    fn new(addr: SocketAddr, sender: Arc<Sender>, progress: Progress, opened: Opened) -> Self {
        let (empty_body_grace, framing) = (Duration::ZERO, None);
        Self { addr, sender, progress, opened, empty_body_grace, framing }
    }

    /// Whether the connection has served another request before.
    pub fn is_reused(&self) -> bool {
        matches!(self.opened, Opened::Earlier)
    }

    /// The remote address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Waits up to `grace` before a success counts as empty that states a length of zero and comes on a
    /// connection that is kept. Its body shows within that time if the length is wrong. Not for peers
    /// whose responses are often empty.
    pub fn with_empty_body_grace(self, grace: Duration) -> Self {
        Self { empty_body_grace: grace, ..self }
    }

    /// Sends `req` and waits for the head of the response.
    pub async fn send(&mut self, req: http::Request<Bytes>) -> Result<http::Response<Body>, Error> {
        let method = req.method().clone();
        let n_before = self.progress.n_written();
        self.progress.begin_head();
        // The connection may end before the head that announces it gets here.
        let close = self.progress.await_close();
        let sent = self.sender.lock().try_send_request(req.map(Full::new));
        // A request that is handed over while the connection ends may be dropped without a word.
        let ended = async {
            self.progress.ended().await;
            Timer::after(END_GRACE).await;
            None
        };
        let result = future::or(async { Some(sent.await) }, ended).await;
        let error = match result {
            Some(Ok(response)) => {
                self.progress.end_head();
                let (mut head, incoming) = response.into_parts();
                let framing = head::check(&method, &head)?;
                self.framing = Some(framing);
                head::normalize_length(&mut head);
                let body = match framing {
                    Framing::Chunks => Body::chunked(incoming),
                    Framing::Close => Body::until_close(incoming),
                    Framing::Head => {
                        let closes = head::persistence(&head) == Persistence::Closes;
                        let close = closes.then_some(close);
                        let grace = match head::states_empty_body(&method, &head) {
                            true => self.empty_body_grace,
                            false => Duration::ZERO,
                        };
                        let sender = Arc::downgrade(&self.sender);
                        Body::with_length(incoming, sender, self.progress.clone(), close, grace)
                    }
                };
                return Ok(http::Response::from_parts(head, body));
            }
            Some(Err(mut e)) => match e.take_message() {
                // hyper returns the request only if it never reached the connection.
                Some(_) => Error::NotSent,
                None => match head::Malformed::from_error(e.into_error()) {
                    Ok(malformed) => Error::Malformed(malformed),
                    Err(e) => Error::Closed(e),
                },
            },
            None => Error::Ended,
        };
        drop(close);
        // Once the connection has ended, nothing more is written.
        let has_ended = timeout::run(END_GRACE, self.progress.ended()).await.is_ok();
        let is_unwritten = has_ended && self.progress.n_written() == n_before;
        Err(if is_unwritten { Error::NotSent } else { error })
    }

    /// Notifies `observer` once if the last response turns out to be longer than it stated, until another
    /// request is sent on the connection.
    pub fn observe(&self, observer: Box<dyn Observer>) {
        if self.framing == Some(Framing::Head) {
            self.progress.observe(observer);
        }
    }

    /// Waits for `wait` to see whether the peer closes the connection immediately, as an endpoint
    /// over its connection limit does right after accepting one. In that case it is certain that a
    /// request sent on this connection would not have been received.
    pub async fn wait_for_early_close(&self, wait: Duration) -> Result<(), Error> {
        Timer::after(wait).await;
        if self.sender.lock().is_closed() { Err(Error::NotSent) } else { Ok(()) }
    }

    /// Closes the connection; any further bytes received on it are discarded.
    pub fn close(self) {
        drop(self);
    }
}

#[derive(Debug)]
struct Idle {
    sender: Arc<Sender>,
    progress: Progress,
    since: Instant,
}

/// Reusable connections, by address.
#[derive(Debug)]
pub struct Pool {
    ex: runtime::Handle,
    clock: Arc<dyn Clock>,
    connect_timeout: Duration,
    unacked_timeout: Duration,
    /// Whether keep-alive probes are sent.
    probing: Probing,
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
    /// For each address, the time at which a connection to it was opened that then received a
    /// response to its first request. The last such response sets the time.
    last_responsive_opened_at: Mutex<HashMap<SocketAddr, Instant>>,
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
            last_responsive_opened_at: Mutex::default(),
        }
    }

    /// Sets how long opening a connection may take; the default is one second.
    pub fn with_connect_timeout(self, connect_timeout: Duration) -> Self {
        Self { connect_timeout, ..self }
    }

    /// Closes a connection when sent bytes stay unacknowledged for this long, or when a keep-alive
    /// probe on a waiting connection stays unanswered. Without this, a request to a host that lost
    /// power or network hangs until its own time limit; with it, the request fails within two
    /// seconds and can be retried elsewhere while there is time.
    pub fn with_liveness(self, unacked_timeout: Duration) -> Self {
        Self { unacked_timeout, probing: Probing::On, ..self }
    }

    /// Checks out a connection to `addr`.
    pub async fn take(&self, addr: SocketAddr, freshness: Freshness) -> Result<Connection, Error> {
        self.take_within(addr, freshness, self.connect_timeout).await
    }

    /// Checks out a connection to `addr`. Opening a new one may take up to `connect_timeout`, in place
    /// of the pool's limit.
    pub async fn take_within(
        &self,
        addr: SocketAddr,
        freshness: Freshness,
        connect_timeout: Duration,
    ) -> Result<Connection, Error> {
        while let Some(Idle { sender, progress, .. }) = self.take_idle(addr, freshness) {
            // The task that drives the connection may still be finishing the previous exchange. If
            // it cannot finish because the peer stopped reading, waiting for it without a limit
            // would block forever.
            let ready = future::poll_fn(|cx| sender.lock().poll_ready(cx));
            if let Ok(Ok(())) = timeout::run(READY_TIMEOUT, ready).await {
                return Ok(Connection::new(addr, sender, progress, Opened::Earlier));
            }
        }
        self.connect(addr, connect_timeout).await
    }

    /// Returns a connection whose last response was read to its end without any error.
    pub fn put(&self, conn: Connection) {
        self.put_with_limit(conn, MAX_IDLE_PER_ADDRESS);
    }

    /// Returns a connection like [`put`](Self::put), and closes the connections idle for longest if
    /// there are more than `max_idle` to the same address.
    pub fn put_with_limit(&self, conn: Connection, max_idle: usize) {
        if conn.sender.lock().is_closed() {
            return;
        }
        let Connection { addr, sender, progress, .. } = conn;
        let idle = Idle { sender, progress, since: self.clock.now() };
        let mut idle_by_address = self.idle.lock();
        let connections = idle_by_address.entry(addr).or_default();
        connections.retain(|it| !it.sender.lock().is_closed());
        connections.push(idle);
        let n_excess = connections.len().saturating_sub(max_idle.min(MAX_IDLE_PER_ADDRESS));
        connections.drain(..n_excess);
    }

    /// Closes the idle connections to `addr`, to be called after a connection to it timed out.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.idle.lock().remove(&addr);
    }

    /// Records that a response arrived on `conn`.
    pub fn record_response(&self, conn: &Connection) {
        if let Opened::Now(opened) = conn.opened {
            self.last_responsive_opened_at.lock().insert(conn.addr, opened);
        }
    }

    /// Whether a connection to `addr` that was opened after `since` has received a response. A
    /// request that was sent at `since` and still has no response is probably on an unresponsive
    /// connection.
    pub fn has_newer_working_connection(&self, addr: SocketAddr, since: Instant) -> bool {
        self.last_responsive_opened_at.lock().get(&addr).is_some_and(|opened| since < *opened)
    }

    fn take_idle(&self, addr: SocketAddr, freshness: Freshness) -> Option<Idle> {
        let max_age = match freshness {
            Freshness::Any => MAX_IDLE_AGE,
            Freshness::Within(age) => age.min(MAX_IDLE_AGE),
            Freshness::New => return None,
        };
        let now = self.clock.now();
        let mut idle_by_address = self.idle.lock();
        let connections = idle_by_address.get_mut(&addr)?;
        // The last connection in the list was used most recently; if it is too old, so are the
        // others.
        while let Some(idle) = connections.pop() {
            if max_age < now.saturating_duration_since(idle.since) {
                connections.clear();
                return None;
            }
            if !idle.sender.lock().is_closed() {
                return Some(idle);
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

    async fn connect(
        &self,
        addr: SocketAddr,
        connect_timeout: Duration,
    ) -> Result<Connection, Error> {
        let opened = self.clock.now();
        let connect_error = |kind, message: String| Error::Connect { addr, kind, message };
        let connecting = timeout::run(connect_timeout, Async::<std::net::TcpStream>::connect(addr));
        let connected =
            connecting.await.map_err(|e| connect_error(io::ErrorKind::TimedOut, e.to_string()))?;
        let stream = connected.map_err(|e| connect_error(e.kind(), e.to_string()))?;
        if let Err(e) = self.configure(stream.get_ref()) {
            // Requests still work, but an unreachable host is detected later.
            log::warn!("cannot set socket options on the connection to {addr}: {e}");
        }
        let (progress, stream) = Progress::track(stream);
        let (sender, mut conn) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(FuturesIo::new(stream))
            .await
            .map_err(|e| connect_error(io::ErrorKind::Other, e.to_string()))?;
        self.ex
            .spawn(async move {
                // The request on this connection receives the error itself.
                // Without a shutdown, upon which the peer may send no more.
                let _failed = future::poll_fn(|cx| conn.poll_without_shutdown(cx)).await;
                let http1::Parts { io, read_buf, .. } = conn.into_parts();
                io.into_inner().close(&read_buf, READY_TIMEOUT).await;
            })
            .detach();
        let sender = Arc::new(Mutex::new(sender));
        Ok(Connection::new(addr, sender, progress, Opened::Now(opened)))
    }
}
