//! Calls between peers: JSON-RPC in a signed `POST /rpc`.
//!
//! | method | parameter | result |
//! |---|---|---|
//! | `exchange` | [`Frame`] | [`Frame`] |
//! | `news` | [`Announcement`] | null |
//! | `document` | the caller's [`Epoch`] | [`Transfer`](crate::documents::Transfer) |
//! | `replicate` | [`Batch`] | null |
//! | `leaving` | [`Identity`] | null |
//! | `evidence` | null | list of version and [`Counts`] |
//! | `fleet` | null | estimated number of nodes in the fleet |
//! | `origins` | null | list of version, [`Origin`] and [`Counts`] |
//!
//! A call carries its time and a MAC over time and body. The answer carries a MAC over the call's
//! MAC and the answer's body, so that another process at the address of a former peer can't
//! impersonate it.

use std::{net::SocketAddr, sync::Weak, time::Duration};

use bytes::Bytes;
use curranthook_http::{Body, body};
use curranthook_types::{Epoch, bill::Origin, header, version};
use http::{Method, StatusCode};
use jsonrpsee::{
    RpcModule,
    types::{ErrorObjectOwned, Id, Request, Response, ResponseSuccess},
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    auth,
    counters::{Counters, increment},
    digest::{self, Frame},
    evidence::Counts,
    member::Identity,
    node::Node,
    replica::Batch,
    transport::{Call, Transport},
    tuning::Mechanism,
};

/// The HTTP path of all calls between peers.
pub const PATH: &str = "/rpc";
/// The largest call that is accepted, in bytes.
pub const MAX_CALL_BYTES: usize = 2 * 1024 * 1024;
/// Timeout of calls with a small answer. It is shorter than the default exchange interval of 1 s,
/// so a frozen peer delays a node by one exchange at most.
pub const TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of a `document` call.
pub const DOCUMENT_TIMEOUT: Duration = Duration::from_secs(3);

/// Approximate size of the HTTP head of a call as `hyper` writes it, in bytes.
const CALL_HEAD_BYTES: usize = 165;
/// Approximate size of the HTTP head of an answer, in bytes.
const ANSWER_HEAD_BYTES: usize = 140;

/// JSON-RPC error code: the caller has been replaced by a later process of its VM, or has left.
const STALE_PROCESS_CODE: i32 = 1;
/// JSON-RPC error code: the memory limit for peers' bill lines is reached.
const MEMORY_FULL_CODE: i32 = 2;
/// JSON-RPC error code: the node has stopped.
const NODE_STOPPED_CODE: i32 = 3;

/// Announces that the sender has a newer configuration.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Announcement {
    /// The sender.
    #[serde(rename = "i")]
    pub from: Identity,
    /// The epoch of that configuration.
    #[serde(rename = "c")]
    pub epoch: Epoch,
}

/// Why a call returned no result.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// There was no usable answer.
    #[error(transparent)]
    Transport(#[from] crate::transport::Error),
    /// The answer's MAC is wrong, so it isn't from a peer.
    #[error("the MAC of the answer is wrong")]
    InvalidMac,
    /// The peer rejected the call.
    #[error("the peer rejected the call: {0}")]
    Rejected(String),
    /// The answer can't be parsed.
    #[error("cannot parse the answer: {0}")]
    Malformed(String),
}

/// The category of traffic under which the bytes of a call are counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Traffic {
    Control,
    Journal,
}

impl Traffic {
    fn of(method: &str) -> Self {
        if method == "replicate" { Self::Journal } else { Self::Control }
    }

    fn count(self, counters: &Counters, bytes_received: usize, bytes_sent: usize) {
        let (bytes_in, bytes_out) = match self {
            Self::Control => (&counters.bytes_in, &counters.bytes_out),
            Self::Journal => (&counters.journal_bytes_in, &counters.journal_bytes_out),
        };
        increment(bytes_in, bytes_received as u64);
        increment(bytes_out, bytes_sent as u64);
        if self == Self::Control {
            increment(&counters.messages, 1);
        }
    }
}

/// The calling side of the peer-to-peer protocol.
#[derive(Debug)]
pub struct Client<'a> {
    /// The transport to the peers.
    pub transport: &'a dyn Transport,
    /// The key that all nodes share.
    pub key: &'a auth::Key,
    /// The wall-clock time, in milliseconds since 1970.
    pub now_millis: u64,
    /// The counters of the traffic.
    pub counters: &'a Counters,
}

impl Client<'_> {
    /// Signs and sends one call, verifies the MAC of the answer and parses the result.
    pub async fn call<R: DeserializeOwned + Clone + 'static>(
        &self,
        addr: SocketAddr,
        method: &str,
        param: &impl Serialize,
        timeout: Duration,
    ) -> Result<R, Error> {
        let malformed = |e: serde_json::Error| Error::Malformed(e.to_string());
        let params = serde_json::value::to_raw_value(&[param]).map_err(malformed)?;
        let request = Request::owned(method.to_owned(), Some(params), Id::Number(0));
        let body = Bytes::from(serde_json::to_vec(&request).map_err(malformed)?);
        let time = self.now_millis.to_string();
        let mac = self.key.sign(&time, &body);
        let bytes_sent = CALL_HEAD_BYTES + body.len();
        let answer =
            self.transport.call(Call { addr, time, mac: mac.clone(), body, timeout }).await;
        let bytes_received = answer.as_ref().map_or(0, |it| ANSWER_HEAD_BYTES + it.body.len());
        Traffic::of(method).count(self.counters, bytes_received, bytes_sent);
        let reply = answer?;
        self.key.verify(&mac, &reply.body, &reply.mac).map_err(|_| Error::InvalidMac)?;
        let response: Response<'_, R> = serde_json::from_slice(&reply.body).map_err(malformed)?;
        let success = ResponseSuccess::try_from(response);
        Ok(success.map_err(|e| Error::Rejected(e.message().to_owned()))?.result)
    }
}

/// Creates the JSON-RPC module with all methods.
pub(crate) fn module(node: Weak<Node>) -> RpcModule<Weak<Node>> {
    let mut module = RpcModule::new(node);
    let result = register(&mut module);
    result.expect("no two methods have the same name");
    module
}

fn register(
    module: &mut RpcModule<Weak<Node>>,
) -> Result<(), jsonrpsee::core::RegisterMethodError> {
    module.register_method("exchange", |params, node, _| {
        let (node, frame) = (upgrade_node(node)?, params.one::<Frame>()?);
        check_caller(&node, &frame.from)?;
        digest::merge(&node, &frame);
        if node.is_enabled(Mechanism::PushPull) {
            node.fetch_if_newer(frame.from.addr, frame.epoch);
        }
        Ok::<_, ErrorObjectOwned>(digest::answer(&node, frame.epoch))
    })?;
    module.register_method("news", |params, node, _| {
        let (node, announcement) = (upgrade_node(node)?, params.one::<Announcement>()?);
        check_caller(&node, &announcement.from)?;
        node.fetch_if_newer(announcement.from.addr, announcement.epoch);
        Ok::<_, ErrorObjectOwned>(())
    })?;
    module.register_method("document", |params, node, _| {
        let (node, peer_epoch) = (upgrade_node(node)?, params.one::<Epoch>()?);
        Ok::<_, ErrorObjectOwned>(node.transfer(peer_epoch))
    })?;
    module.register_method("replicate", |params, node, _| {
        let (node, batch) = (upgrade_node(node)?, params.one::<Batch>()?);
        let inserted = node.replicas().insert(batch);
        inserted.map_err(|e| error_object(MEMORY_FULL_CODE, &e.to_string()))
    })?;
    module.register_method("leaving", |params, node, _| {
        let (node, identity) = (upgrade_node(node)?, params.one::<Identity>()?);
        node.peer_left(&identity);
        Ok::<_, ErrorObjectOwned>(())
    })?;
    module.register_method("evidence", |_, node, _| {
        let totals: Vec<(version::Id, Counts)> = upgrade_node(node)?.evidence().totals();
        Ok::<_, ErrorObjectOwned>(totals)
    })?;
    module.register_method("fleet", |_, node, _| {
        Ok::<_, ErrorObjectOwned>(upgrade_node(node)?.members().fleet_size())
    })?;
    module.register_method("origins", |_, node, _| {
        let node = upgrade_node(node)?;
        let versions = node.evidence().totals().into_iter().map(|(version, _)| version);
        let rows: Vec<(version::Id, Origin, Counts)> = versions
            .flat_map(|version| {
                let origins = node.evidence().by_origin(&version);
                origins.into_iter().map(move |(origin, counts)| (version.clone(), origin, counts))
            })
            .collect();
        Ok::<_, ErrorObjectOwned>(rows)
    })?;
    Ok(())
}

fn upgrade_node(node: &Weak<Node>) -> Result<std::sync::Arc<Node>, ErrorObjectOwned> {
    node.upgrade().ok_or_else(|| error_object(NODE_STOPPED_CODE, "stopped"))
}

fn check_caller(node: &Node, identity: &Identity) -> Result<(), ErrorObjectOwned> {
    node.members().record_caller(identity).map_err(|e| {
        increment(&node.counters().rejected_incarnation, 1);
        error_object(STALE_PROCESS_CODE, &e.to_string())
    })
}

fn error_object(code: i32, message: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(code, message, None::<()>)
}

/// Verifies one HTTP call and dispatches it to its method.
pub(crate) async fn handle(
    node: &Node,
    module: &RpcModule<Weak<Node>>,
    head: &http::request::Parts,
    call: &Bytes,
) -> http::Response<Body> {
    if head.method != Method::POST || head.uri.path() != PATH {
        return empty_response(StatusCode::NOT_FOUND);
    }
    let counters = node.counters();
    if MAX_CALL_BYTES < call.len() {
        increment(&counters.rejected_size, 1);
        return empty_response(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let text = |name| head.headers.get(name).and_then(|it| it.to_str().ok()).unwrap_or_default();
    let (time, mac) = (text(header::PEER_TIME), text(header::PEER_MAC));
    if let Err(e) = node.key().verify_call(time, call, mac, node.now_millis()) {
        let counter = match e {
            auth::Error::Mac => &counters.rejected_mac,
            auth::Error::Time => &counters.rejected_time,
        };
        increment(counter, 1);
        return empty_response(StatusCode::FORBIDDEN);
    }
    let Some((method, json)) = dispatch(module, call).await else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let bytes_sent = ANSWER_HEAD_BYTES + json.len();
    Traffic::of(&method).count(counters, CALL_HEAD_BYTES + call.len(), bytes_sent);
    http::Response::builder()
        .header(header::PEER_MAC, node.key().sign(mac, json.as_bytes()))
        .body(body::full(json))
        .expect("a MAC in hexadecimal is a valid header")
}

async fn dispatch(module: &RpcModule<Weak<Node>>, call: &Bytes) -> Option<(String, String)> {
    let text = std::str::from_utf8(call).ok()?;
    let method = serde_json::from_str::<Request<'_>>(text).ok()?.method.into_owned();
    // Messages buffered for subscriptions. No method is a subscription, so no messages follow the
    // answer.
    const SUBSCRIPTION_BUFFER: usize = 1;
    let (answer, _) = module.raw_json_request(text, SUBSCRIPTION_BUFFER).await.ok()?;
    Some((method, answer.get().to_owned()))
}

fn empty_response(status: StatusCode) -> http::Response<Body> {
    let mut res = http::Response::new(body::full(Bytes::new()));
    *res.status_mut() = status;
    res
}
