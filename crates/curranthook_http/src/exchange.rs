//! A single request whose response is read whole.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;

use crate::{
    body,
    client::{self, Connection, Freshness, Pool, response::Body},
    timeout,
};

/// The largest response body that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Why a request got no response.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection failed.
    #[error(transparent)]
    Client(#[from] client::Error),
    /// The response body ended early or is too large.
    #[error(transparent)]
    Body(#[from] body::ReadError),
    /// The response did not arrive within the time limit.
    #[error("no answer within {0:?}")]
    Timeout(Duration),
    /// The response body stopped arriving for this long.
    #[error("nothing more of the answer for {0:?}")]
    Stalled(Duration),
    /// The method, path or headers do not form a valid HTTP request.
    #[error("not a valid request: {0}")]
    Invalid(#[from] http::Error),
}

impl Error {
    /// Whether it is certain that no byte of the request was sent.
    pub fn is_unsent(&self) -> bool {
        match self {
            Self::Client(e) => e.is_unsent(),
            Self::Invalid(_) => true,
            Self::Body(_) | Self::Timeout(_) | Self::Stalled(_) => false,
        }
    }
}

/// A request to be sent.
///
/// ```no_run
/// # async fn example(pool: &curranthook_http::client::Pool) -> anyhow::Result<()> {
/// use curranthook_http::Exchange;
/// let addr = "127.0.0.1:8080".parse().unwrap();
/// let response = Exchange::get(addr, "/healthz").run(pool).await.unwrap();
/// assert_eq!(response.status(), 200);
/// # Ok(()) }
/// ```
#[derive(Debug)]
pub struct Exchange {
    /// The address to connect to.
    pub addr: SocketAddr,
    /// The HTTP method.
    pub method: http::Method,
    /// The path and query.
    pub path: String,
    /// The headers, besides `Host`.
    pub headers: Vec<(&'static str, String)>,
    /// The body, empty for none.
    pub body: Bytes,
    /// The time limit on the whole exchange, including reading the response body unless
    /// `stall_timeout` is set.
    pub timeout: Duration,
    /// The time limit on each pause while the response body is read; none if `timeout` includes the
    /// body.
    pub stall_timeout: Option<Duration>,
    /// Which pooled connections may be used.
    pub freshness: Freshness,
    /// The time limit on opening a connection; none for the pool's.
    pub connect_timeout: Option<Duration>,
}

impl Exchange {
    /// A request without a body.
    pub fn new(addr: SocketAddr, method: http::Method, path: impl Into<String>) -> Self {
        const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);
        Self {
            addr,
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
            timeout: DEFAULT_TIMEOUT,
            stall_timeout: None,
            freshness: Freshness::Within(Duration::from_secs(5)),
            connect_timeout: None,
        }
    }

    /// A `GET`.
    pub fn get(addr: SocketAddr, path: impl Into<String>) -> Self {
        Self::new(addr, http::Method::GET, path)
    }

    /// A `POST`.
    pub fn post(addr: SocketAddr, path: impl Into<String>) -> Self {
        Self::new(addr, http::Method::POST, path)
    }

    /// A `PUT`.
    pub fn put(addr: SocketAddr, path: impl Into<String>) -> Self {
        Self::new(addr, http::Method::PUT, path)
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Sets the body.
    pub fn with_body(self, body: impl Into<Bytes>) -> Self {
        Self { body: body.into(), ..self }
    }

    /// Sets a JSON body.
    ///
    /// # Panics
    ///
    /// If `value` cannot be serialized as JSON.
    pub fn with_json(self, value: &impl serde::Serialize) -> Self {
        let body = serde_json::to_vec(value).expect("failed to serialize the value as JSON");
        self.with_header("content-type", "application/json").with_body(body)
    }

    /// Sets the time limit on the whole exchange; the default is two seconds.
    pub fn with_timeout(self, timeout: Duration) -> Self {
        Self { timeout, ..self }
    }

    /// Lets the response body take any time as long as it arrives without a pause of this length.
    /// For bodies whose size depends on the size of the fleet, and that also travel on slow links.
    pub fn with_stall_timeout(self, stall_timeout: Duration) -> Self {
        Self { stall_timeout: Some(stall_timeout), ..self }
    }

    /// Sets which pooled connections may be used; the default is up to five seconds idle.
    pub fn with_freshness(self, freshness: Freshness) -> Self {
        Self { freshness, ..self }
    }

    /// Sets the time limit on opening a connection, in place of the pool's.
    pub fn with_connect_timeout(self, connect_timeout: Duration) -> Self {
        Self { connect_timeout: Some(connect_timeout), ..self }
    }

    /// Sends the request and reads the whole response.
    pub async fn run(self, pool: &Pool) -> Result<http::Response<Bytes>, Error> {
        let (time_limit, stall_timeout, addr) = (self.timeout, self.stall_timeout, self.addr);
        let head = async {
            let (conn, response) = self.send(pool).await?;
            let (head, incoming) = response.into_parts();
            if stall_timeout.is_some() {
                return Ok((conn, head, Content::Pending(incoming)));
            }
            let bytes = body::read(incoming, MAX_RESPONSE_BYTES).await?;
            Ok((conn, head, Content::Read(bytes)))
        };
        let result = timeout::run(time_limit, head).await;
        let result = result.unwrap_or(Err(Error::Timeout(time_limit)));
        let result = match result {
            Ok((conn, head, Content::Pending(incoming))) => {
                let max_pause = stall_timeout.unwrap_or(time_limit);
                match body::read_steadily(incoming, MAX_RESPONSE_BYTES, max_pause).await {
                    Ok(bytes) => bytes.map(|it| (conn, head, it)).map_err(Error::from),
                    Err(timeout::Elapsed) => Err(Error::Stalled(max_pause)),
                }
            }
            Ok((conn, head, Content::Read(bytes))) => Ok((conn, head, bytes)),
            Err(e) => Err(e),
        };
        if matches!(result, Err(Error::Timeout(_) | Error::Stalled(_))) {
            // The idle connections to the same address may be unresponsive for the same reason. If
            // they stayed in the pool, each could make a later request wait for its whole time
            // limit.
            pool.close_idle(addr);
        }
        let (conn, head, bytes) = result?;
        pool.put(conn);
        Ok(http::Response::from_parts(head, bytes))
    }

    async fn send(self, pool: &Pool) -> Result<(Connection, http::Response<Body>), Error> {
        let mut req = http::Request::builder()
            .method(self.method)
            .uri(&self.path)
            .header(http::header::HOST, self.addr.to_string());
        for (name, value) in &self.headers {
            req = req.header(*name, value);
        }
        let req = req.body(self.body)?;
        let mut conn = match self.connect_timeout {
            Some(limit) => pool.take_within(self.addr, self.freshness, limit).await?,
            None => pool.take(self.addr, self.freshness).await?,
        };
        let response = conn.send(req).await?;
        Ok((conn, response))
    }
}

/// The body of a response.
enum Content {
    /// Still to be read.
    Pending(Body),
    /// Read whole.
    Read(Bytes),
}
