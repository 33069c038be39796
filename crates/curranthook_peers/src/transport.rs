//! The transport of calls to peers.

use std::{fmt::Debug, future::Future, net::SocketAddr, pin::Pin, sync::Arc, time::Duration};

use bytes::Bytes;
use curranthook_http::{Exchange, client::Pool};
use curranthook_types::header;

/// A signed call.
#[derive(Debug, Clone)]
pub struct Call {
    /// The address of the peer.
    pub addr: SocketAddr,
    /// When it was signed, in milliseconds since 1970.
    pub time: String,
    /// The MAC over time and body.
    pub mac: String,
    /// The JSON-RPC request.
    pub body: Bytes,
    /// The time limit of the whole call.
    pub timeout: Duration,
}

/// A signed answer.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The MAC over the call's MAC and the body.
    pub mac: String,
    /// The JSON-RPC response.
    pub body: Bytes,
}

/// The peer gave no usable answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("no usable answer from the peer: {0}")]
pub struct Error(pub String);

/// The future of a reply.
pub type ReplyFuture<'a> = Pin<Box<dyn Future<Output = Result<Reply, Error>> + Send + 'a>>;

/// Sends calls to peers. Tests replace it with a simulated network.
pub trait Transport: Debug + Send + Sync {
    /// Sends one call to a peer and returns its answer.
    fn call(&self, call: Call) -> ReplyFuture<'_>;
}

/// Calls over HTTP.
#[derive(Debug)]
pub struct Http(Arc<Pool>);

impl Http {
    /// Creates a transport that takes its connections from `pool`.
    pub fn new(pool: Arc<Pool>) -> Self {
        Self(pool)
    }
}

impl Transport for Http {
    fn call(&self, call: Call) -> ReplyFuture<'_> {
        Box::pin(async move {
            let exchange = Exchange::post(call.addr, crate::rpc::PATH)
                .with_header(header::PEER_TIME, call.time)
                .with_header(header::PEER_MAC, call.mac)
                .with_body(call.body)
                .with_timeout(call.timeout);
            let result = exchange.run(&self.0).await;
            let res = result.map_err(|e| {
                // The peer may have frozen, or a network device may have dropped the state of the
                // connection. The next call must not reuse these connections.
                self.0.close_idle(call.addr);
                Error(e.to_string())
            })?;
            if !res.status().is_success() {
                return Err(Error(res.status().to_string()));
            }
            let mac = res.headers().get(header::PEER_MAC).and_then(|it| it.to_str().ok());
            let mac = mac.unwrap_or_default().to_owned();
            Ok(Reply { mac, body: res.into_body() })
        })
    }
}
