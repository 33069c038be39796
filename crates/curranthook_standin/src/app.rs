//! A server whose application may also hang up without an answer.
//!
//! A well-behaved server always answers. A stand-in must be able to do the work and then close
//! the connection, so the product's own server doesn't fit here.

use std::{convert::Infallible, net::TcpListener, sync::Arc, time::Duration};

use async_io::{Async, Timer};
use bytes::Bytes;
use curranthook_http::{Body, body, runtime};
use futures_lite::future::Boxed;
use http::{HeaderMap, Method};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use serde::de::DeserializeOwned;
use smol_hyper::rt::FuturesIo;

/// The largest request body that is read, in bytes.
const MAX_BODY: usize = 64 * 1024 * 1024;
/// The pause after a failed accept, so that running out of file descriptors doesn't spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A request, read whole.
#[derive(Debug)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The path, without the query.
    pub path: String,
    /// The query, empty for none.
    pub query: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Request {
    /// A header as text, if it is there and is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// A header as a number, if it is there and is one.
    pub fn number<T: std::str::FromStr>(&self, name: &str) -> Option<T> {
        self.header(name)?.parse().ok()
    }

    /// The value of `name` in the query.
    pub fn param(&self, name: &str) -> Option<&str> {
        let mut pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// The body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Malformed> {
        serde_json::from_slice(&self.body).map_err(Malformed)
    }

    /// Reads the body as JSON, stores it with `place` and answers that this was done.
    pub fn store<T: DeserializeOwned>(&self, place: impl FnOnce(T)) -> http::Response<Body> {
        match self.json() {
            Ok(value) => {
                place(value);
                body::json(200, &())
            }
            Err(e) => e.answer(),
        }
    }
}

/// The body isn't the JSON that was wanted.
#[derive(Debug, thiserror::Error)]
#[error("the body can't be read: {0}")]
pub struct Malformed(serde_json::Error);

impl Malformed {
    /// The answer to give.
    pub fn answer(&self) -> http::Response<Body> {
        error(400, &self.to_string())
    }
}

/// Closes the connection without an answer.
#[derive(Debug, thiserror::Error)]
#[error("the connection is closed without an answer")]
pub struct HangUp;

/// An answer, or none.
pub type Reply = Result<http::Response<Body>, HangUp>;

/// What a stand-in does with its requests. The future is dropped when the caller goes away.
pub trait App: Send + Sync + 'static {
    /// Answers one request.
    fn handle(self: Arc<Self>, req: Request) -> Boxed<Reply>;

    /// Answers `GET /healthz`.
    fn health(&self) -> http::Response<Body> {
        body::json(200, &serde_json::json!({ "healthy": true }))
    }
}

/// An answer with an error text.
pub fn error(status: u16, text: &str) -> http::Response<Body> {
    body::json(status, &serde_json::json!({ "error": text }))
}

/// Serves `app` until the future is dropped.
pub async fn serve<A: App>(
    listener: Async<TcpListener>,
    ex: runtime::Handle,
    app: Arc<A>,
) -> Infallible {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(ACCEPT_PAUSE).await;
            continue;
        };
        ex.spawn(connection(stream, Arc::clone(&app))).detach();
    }
}

async fn connection<A: App>(stream: Async<std::net::TcpStream>, app: Arc<A>) {
    let _best_effort = stream.get_ref().set_nodelay(true);
    let service = service_fn(move |req| answer(Arc::clone(&app), req));
    // An error is a caller that broke off or a wanted hang-up.
    let _broken = http1::Builder::new().serve_connection(FuturesIo::new(stream), service).await;
}

async fn answer<A: App>(app: Arc<A>, req: http::Request<Incoming>) -> Reply {
    let (head, incoming) = req.into_parts();
    if head.uri.path() == "/healthz" {
        return Ok(app.health());
    }
    let body = body::read(incoming, MAX_BODY).await.map_err(|_| HangUp)?;
    let path = head.uri.path().to_owned();
    let query = head.uri.query().unwrap_or_default().to_owned();
    app.handle(Request { method: head.method, path, query, headers: head.headers, body }).await
}
