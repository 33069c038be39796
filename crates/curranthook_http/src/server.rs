//! An HTTP server that finishes the requests in progress before it stops.

mod backlog;
mod connections;

use std::{
    convert::Infallible,
    io,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    time::Duration,
};

use async_io::{Async, Timer};
use futures_lite::future::{self, Boxed};
use http::{HeaderValue, header::CONNECTION};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::{Body, runtime, stop::Stop};

pub use self::{
    backlog::{Backlog, Waiting},
    connections::{Connection, Connections},
};

/// The delay after a failed `accept`, so that the accept loop does not spin when the process is out
/// of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Handles requests.
///
/// The future is dropped when the client disconnects; work that must continue without the client
/// belongs in its own task.
pub trait Handler: Send + Sync + 'static {
    /// Produces the response to one request.
    fn handle(self: Arc<Self>, req: http::Request<Incoming>) -> Boxed<http::Response<Body>>;
}

/// Limits on a client connection.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// How long the client may take to send the head of a request. The time starts at the end of
    /// the previous response, so it also bounds the idle time of a keep-alive connection.
    pub head_timeout: Duration,
    /// The largest request head that is read, in bytes.
    pub max_head_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { head_timeout: Duration::from_secs(10), max_head_bytes: 64 * 1024 }
    }
}

/// A server bound to an address.
#[derive(Debug)]
pub struct Server {
    listener: Async<TcpListener>,
    addr: SocketAddr,
    limits: Limits,
    backlog: Option<Arc<Backlog>>,
    connections: Option<Arc<Connections>>,
}

impl Server {
    /// Binds `addr`; with port 0 the system assigns a free port.
    pub fn bind(addr: SocketAddr) -> io::Result<Self> {
        let listener = Async::<TcpListener>::bind(addr)?;
        let addr = listener.get_ref().local_addr()?;
        Ok(Self { listener, addr, limits: Limits::default(), backlog: None, connections: None })
    }

    /// Sets the limits on client connections.
    pub fn with_limits(self, limits: Limits) -> Self {
        Self { limits, ..self }
    }

    /// Closes the connections unread for which `backlog` says so, and asks the clients of the others
    /// to close theirs meanwhile. Without it, all are read.
    pub fn with_backlog(self, backlog: Arc<Backlog>) -> Self {
        Self { backlog: Some(backlog), ..self }
    }

    /// Bounds the number of open connections. Handlers find the [`Connection`] of a request among its
    /// extensions. Without it, all are accepted.
    pub fn with_connections(self, connections: Arc<Connections>) -> Self {
        Self { connections: Some(connections), ..self }
    }

    /// The bound address, with the actual port.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Serves until `stop` is set, then closes the port, finishes each request in progress and
    /// returns.
    pub async fn serve<H: Handler + ?Sized>(
        self,
        ex: &runtime::Handle,
        handler: Arc<H>,
        stop: Stop,
    ) {
        // Each connection task holds a sender; `recv` returns when the last one is dropped.
        let (open, all_closed) = async_channel::bounded::<Infallible>(1);
        while let Some(accepted) = self.accept(&stop).await {
            let Ok(stream) = accepted else {
                Timer::after(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let connection = match &self.connections {
                Some(it) => match it.admit().await {
                    Some(connection) => Some(Arc::new(connection)),
                    // All have requests under way.
                    None => continue,
                },
                None => None,
            };
            let waiting = self.backlog.as_ref().map(Backlog::admit);
            if let Some(None) = waiting {
                drop(stream);
                continue;
            }
            let waiting = waiting.flatten();
            let (handler, stop, open) = (Arc::clone(&handler), stop.clone(), open.clone());
            let (limits, backlog) = (self.limits, self.backlog.clone());
            ex.spawn(async move {
                if waiting.is_none_or(Waiting::end) {
                    let served = serve_connection(
                        stream,
                        handler,
                        stop,
                        limits,
                        backlog,
                        connection.clone(),
                    );
                    match &connection {
                        Some(it) => future::or(it.wait_to_give_way(), served).await,
                        None => served.await,
                    }
                }
                drop(open);
            })
            .detach();
        }
        drop(self.listener);
        drop(open);
        let _closed = all_closed.recv().await;
    }

    async fn accept(&self, stop: &Stop) -> Option<io::Result<Async<std::net::TcpStream>>> {
        let accepted = async { Some(self.listener.accept().await.map(|(stream, _)| stream)) };
        future::or(accepted, async {
            stop.wait().await;
            None
        })
        .await
    }
}

async fn serve_connection<H: Handler + ?Sized>(
    stream: Async<std::net::TcpStream>,
    handler: Arc<H>,
    stop: Stop,
    limits: Limits,
    backlog: Option<Arc<Backlog>>,
    connection: Option<Arc<Connection>>,
) {
    // The small events of a stream must be sent immediately; without `TCP_NODELAY` the kernel may
    // delay them.
    let _best_effort = stream.get_ref().set_nodelay(true);
    let service = service_fn(move |mut req| {
        let (handler, backlog) = (Arc::clone(&handler), backlog.clone());
        let connection = connection.clone();
        async move {
            if let Some(it) = &connection {
                if !it.begin_request() {
                    // The connection is about to be closed.
                    future::pending::<()>().await;
                }
                req.extensions_mut().insert(Arc::clone(it));
            }
            let mut response = handler.handle(req).await;
            if backlog.is_some_and(|it| it.are_waits_too_long()) {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response.map(|it| connections::until_sent(it, connection)))
        }
    });
    let conn = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.max_head_bytes)
        .serve_connection(FuturesIo::new(stream), service);
    let mut conn = std::pin::pin!(conn);
    let finished = future::or(
        async {
            // A disconnecting client is not an error of this server, so the error is dropped.
            let _broken = conn.as_mut().await;
            true
        },
        async {
            stop.wait().await;
            false
        },
    )
    .await;
    if !finished {
        conn.as_mut().graceful_shutdown();
        let _broken = conn.await;
    }
}
