//! A server that finishes what is under way before it ends.

use std::{
    convert::Infallible,
    io,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    time::Duration,
};

use async_io::{Async, Timer};
use futures_lite::future::{self, Boxed};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::{Body, runtime, stop::Stop};

/// How long a caller may take to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// The largest head that is read, in bytes.
const MAX_HEAD: usize = 64 * 1024;
/// The pause after a failed accept, so that running out of file descriptors doesn't spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Answers requests.
///
/// The future is dropped when the caller goes away; work that has to go on without the caller
/// belongs in a task of its own.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(self: Arc<Self>, req: http::Request<Incoming>) -> Boxed<http::Response<Body>>;
}

/// A bound address.
#[derive(Debug)]
pub struct Server {
    listener: Async<TcpListener>,
    addr: SocketAddr,
}

impl Server {
    /// Binds `addr`; port 0 picks a free port.
    pub fn bind(addr: SocketAddr) -> io::Result<Self> {
        let listener = Async::<TcpListener>::bind(addr)?;
        let addr = listener.get_ref().local_addr()?;
        Ok(Self { listener, addr })
    }

    /// The address that was bound, with its real port.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Serves until `stop` is set, then closes the port, finishes each request that has begun
    /// and returns.
    pub async fn serve<H: Handler + ?Sized>(
        self,
        ex: &runtime::Handle,
        handler: Arc<H>,
        stop: Stop,
    ) {
        // Each connection holds a sender; the receiver ends when the last one is gone.
        let (open, all_closed) = async_channel::bounded::<Infallible>(1);
        while let Some(accepted) = self.accept(&stop).await {
            let Ok(stream) = accepted else {
                Timer::after(ACCEPT_PAUSE).await;
                continue;
            };
            let (handler, stop, open) = (Arc::clone(&handler), stop.clone(), open.clone());
            ex.spawn(async move {
                connection(stream, handler, stop).await;
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

async fn connection<H: Handler + ?Sized>(
    stream: Async<std::net::TcpStream>,
    handler: Arc<H>,
    stop: Stop,
) {
    // Small events of a stream must go out at once; without this the kernel may hold them back.
    let _best_effort = stream.get_ref().set_nodelay(true);
    let service = service_fn(move |req| {
        let handler = Arc::clone(&handler);
        async move { Ok::<_, Infallible>(handler.handle(req).await) }
    });
    let conn = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD)
        .serve_connection(FuturesIo::new(stream), service);
    let mut conn = std::pin::pin!(conn);
    let finished = future::or(
        async {
            // A caller that breaks off is no fault of ours, so the error is dropped.
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
