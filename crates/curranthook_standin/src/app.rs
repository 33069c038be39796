//! An HTTP server whose application may also close the connection without a response.
//!
//! The product's own server always responds. A stand-in must be able to process a request and
//! then close the connection, so it can't use that server.

use std::{convert::Infallible, net::TcpListener, sync::Arc, time::Duration};

use async_io::{Async, Timer};
use bytes::Bytes;
use curranthook_http::{Body, body, runtime};
use futures_lite::future::Boxed;
use http::{HeaderMap, Method};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use serde::de::DeserializeOwned;
use smol_hyper::rt::FuturesIo;

/// The maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// The delay after a failed accept, which prevents a busy loop when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A request with its complete body.
#[derive(Debug)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The path, without the query.
    pub path: String,
    /// The query string, or an empty string.
    pub query: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Request {
    /// A header as text, if it is present and valid text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// A header parsed as `T`, if it is present and valid.
    pub fn parsed_header<T: std::str::FromStr>(&self, name: &str) -> Option<T> {
        self.header(name)?.parse().ok()
    }

    /// The value of the query parameter `name`.
    pub fn query_param(&self, name: &str) -> Option<&str> {
        let mut pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Deserializes the body from JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Malformed> {
        serde_json::from_slice(&self.body).map_err(Malformed)
    }

    /// Deserializes the body from JSON, passes it to `set` and responds with 200, or with 400 if it
    /// is malformed.
    pub fn apply_json<T: DeserializeOwned>(&self, set: impl FnOnce(T)) -> http::Response<Body> {
        match self.json() {
            Ok(value) => {
                set(value);
                body::json(200, &())
            }
            Err(e) => e.response(),
        }
    }
}

/// The body isn't JSON of the expected structure.
#[derive(Debug, thiserror::Error)]
#[error("the body can't be read: {0}")]
pub struct Malformed(serde_json::Error);

impl Malformed {
    /// The 400 response for this error.
    pub fn response(&self) -> http::Response<Body> {
        error(400, &self.to_string())
    }
}

/// Closes the connection without a response.
#[derive(Debug, thiserror::Error)]
#[error("the connection is closed without an answer")]
pub struct HangUp;

/// A response, or a hang-up.
pub type Reply = Result<http::Response<Body>, HangUp>;

/// The request handler of a stand-in. Its future is dropped when the caller disconnects.
pub trait App: Send + Sync + 'static {
    /// Handles one request.
    fn handle(self: Arc<Self>, req: Request) -> Boxed<Reply>;

    /// Handles `GET /healthz`.
    fn health(&self) -> http::Response<Body> {
        body::json(200, &serde_json::json!({ "healthy": true }))
    }
}

/// A response with an error message as JSON.
pub fn error(status: u16, text: &str) -> http::Response<Body> {
    body::json(status, &serde_json::json!({ "error": text }))
}

/// Serves `app` until the future is dropped.
pub async fn serve<A: App>(
    listener: Async<TcpListener>,
    runtime: runtime::Handle,
    app: Arc<A>,
) -> Infallible {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        runtime.spawn(handle_connection(stream, Arc::clone(&app))).detach();
    }
}

async fn handle_connection<A: App>(stream: Async<std::net::TcpStream>, app: Arc<A>) {
    let _best_effort = stream.get_ref().set_nodelay(true);
    let service = service_fn(move |req| dispatch(Arc::clone(&app), req));
    // An error means that the caller disconnected or that the app hung up on purpose.
    let _broken = http1::Builder::new().serve_connection(FuturesIo::new(stream), service).await;
}

async fn dispatch<A: App>(app: Arc<A>, req: http::Request<Incoming>) -> Reply {
    let (head, incoming) = req.into_parts();
    if head.uri.path() == "/healthz" {
        return Ok(app.health());
    }
    let body = body::read(incoming, MAX_BODY_BYTES).await.map_err(|_| HangUp)?;
    let path = head.uri.path().to_owned();
    let query = head.uri.query().unwrap_or_default().to_owned();
    app.handle(Request { method: head.method, path, query, headers: head.headers, body }).await
}
