//! The interface to the headers and status codes of callers and endpoints.
//!
//! The other modules are independent of a deployment's header names and status codes: a [`Dialect`]
//! converts them into the types of this module.

use std::{fmt::Debug, time::Duration};

use bytes::Bytes;
use curranthook_types::{account, endpoint};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

use crate::{
    entry::State,
    refusal::Refusal,
    request::{Head, Request},
};

/// Converts between HTTP messages and the types of this crate.
pub trait Dialect: Debug + Send + Sync {
    /// Parses the head of a caller's request.
    fn parse_request_head(&self, head: &http::request::Parts) -> Result<Head, InvalidHeader>;
    /// Builds the request that is sent to an endpoint.
    fn build_request(&self, request: &Request, outgoing: &Outgoing<'_>) -> http::Request<Bytes>;
    /// Builds the request as its caller sent it, to be forwarded to another node.
    fn build_forwarded_request(
        &self,
        request: &Request,
        time_left: Duration,
        last_event_id: Option<u64>,
    ) -> http::Request<Bytes>;
    /// Parses the head of an endpoint's response.
    fn parse_response_head(&self, head: &http::response::Parts) -> Reply;
    /// The headers of an endpoint's response that no decoder reads.
    fn unknown_headers<'a>(&self, headers: &'a HeaderMap)
    -> Vec<(&'a HeaderName, &'a HeaderValue)>;
    /// The headers of an endpoint's response that are forwarded to the caller.
    fn response_headers(&self, headers: &HeaderMap) -> HeaderMap;
    /// Adds the headers of a refusal to `headers`.
    fn add_refusal_headers(&self, refusal: &Refusal, headers: &mut HeaderMap);
    /// Adds the header which announces that this connection accepts no more requests.
    fn add_closing_headers(&self, headers: &mut HeaderMap) {
        headers.insert(http::header::CONNECTION, HeaderValue::from_static("close"));
    }
}

/// A header that cannot be parsed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("header {name}: {reason}")]
pub struct InvalidHeader {
    /// The name of the header.
    pub name: &'static str,
    /// Why it cannot be parsed.
    pub reason: String,
}

/// What a node adds to a request that it sends to an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Outgoing<'a> {
    /// The endpoint that the request is addressed to. Another endpoint that now uses its address
    /// must not run the request.
    pub endpoint: &'a endpoint::Id,
    /// The client account of the caller.
    pub account: Option<&'a account::Id>,
    /// The time left until the deadline.
    pub time_left: Duration,
    /// The model to use, if the caller left the choice open.
    pub model: Option<&'a str>,
    /// The rank of the request; 0 is served first.
    pub priority: Option<u8>,
    /// The id of the last event that the caller has received.
    pub last_event_id: Option<u64>,
}

/// The parsed head of an endpoint's response.
#[derive(Debug, Clone, PartialEq)]
pub struct Reply {
    /// The response status.
    pub status: StatusCode,
    /// The id of the request that the response states to answer.
    pub request_id: Option<String>,
    /// The endpoint that responds, if the response names it.
    pub instance: Option<endpoint::Id>,
    /// Whether the endpoint states that it did not run the request.
    pub execution: Execution,
    /// Whether the response carries the endpoint's seal; without it the response must not be
    /// trusted.
    pub seal: Seal,
    /// The model's confidence in its answer, from 0 to 100.
    pub confidence: Option<u8>,
    /// The load of the endpoint.
    pub load: Option<Load>,
    /// The requests per second that the endpoint accepts from all nodes together; `None` if it
    /// states no limit.
    pub rate_limit: Option<f64>,
    /// The requests per second that the endpoint can reject for want of capacity, from all nodes
    /// together, before it fails; `None` if it states no such number.
    pub max_rejections: Option<f64>,
    /// The time for which the endpoint accepts no more requests from this node, if it rejected the
    /// request.
    pub pause: Option<Duration>,
    /// Whether the endpoint accepts new work or is shutting down.
    pub state: State,
    /// Whether the endpoint keeps the connection open.
    pub connection: Connection,
}

impl Reply {
    /// Whether the endpoint rejected the request for want of capacity.
    pub fn is_rejection(&self) -> bool {
        self.execution == Execution::NotRun && self.status != StatusCode::MISDIRECTED_REQUEST
    }
}

/// Whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Execution {
    /// The request has not run and never will.
    NotRun,
    /// The request ran or may have run.
    MayHaveRun,
}

/// Whether the seal shows that the endpoint itself produced the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Seal {
    /// The seal is present and the body is unchanged.
    Valid,
    /// The seal is missing, or the body is encoded.
    Missing,
}

/// What an endpoint does with a connection after its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Connection {
    /// The connection accepts another request, if it arrives within this time.
    KeepAlive(Option<Duration>),
    /// The endpoint closes the connection.
    Close,
}

/// The load that an endpoint reports.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// The number of running requests.
    pub running: u32,
    /// The number of queued requests.
    pub waiting: u32,
    /// The number of requests that can run at once.
    pub slots: u32,
    /// How long work takes at the endpoint at this moment, relative to its usual time; none if the
    /// endpoint does not report it.
    pub slowdown: Option<f64>,
}
