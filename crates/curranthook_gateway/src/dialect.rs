//! What callers and endpoints write and read, behind one interface.
//!
//! The stages know neither header names nor status conventions of any deployment: a
//! [`Dialect`] decodes them once into the types here.

use std::{fmt::Debug, time::Duration};

use bytes::Bytes;
use curranthook_types::{account, endpoint};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

use crate::{
    entry::State,
    refusal::Refusal,
    request::{Head, Request},
};

/// Translates between the stages and the wire.
pub trait Dialect: Debug + Send + Sync {
    /// Reads a caller's head.
    fn parse_request_head(&self, head: &http::request::Parts) -> Result<Head, InvalidHeader>;
    /// Writes a request to an endpoint.
    fn build_request(&self, request: &Request, outgoing: &Outgoing<'_>) -> http::Request<Bytes>;
    /// Reads the head of an endpoint's answer.
    fn parse_response_head(&self, head: &http::response::Parts) -> Reply;
    /// The headers of an endpoint's answer that no decoder reads.
    fn unknown_headers<'a>(&self, headers: &'a HeaderMap)
    -> Vec<(&'a HeaderName, &'a HeaderValue)>;
    /// The headers of an endpoint's answer that its caller gets.
    fn response_headers(&self, headers: &HeaderMap) -> HeaderMap;
    /// Adds to `headers` what a refusal says.
    fn add_refusal_headers(&self, refusal: &Refusal, headers: &mut HeaderMap);
    /// Adds to `headers` that no more requests are taken on this connection.
    fn add_closing_headers(&self, headers: &mut HeaderMap) {
        headers.insert(http::header::CONNECTION, HeaderValue::from_static("close"));
    }
}

/// A head that can't be understood.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("header {name}: {reason}")]
pub struct InvalidHeader {
    /// The header.
    pub name: &'static str,
    /// What is wrong with it.
    pub reason: String,
}

/// What a node adds to a request that it sends to an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Outgoing<'a> {
    /// Which endpoint is meant; another that has its address now must not run the request.
    pub endpoint: &'a endpoint::Id,
    /// Who calls.
    pub account: Option<&'a account::Id>,
    /// How much time is left.
    pub time_left: Duration,
    /// The model to use, where the caller left it open.
    pub model: Option<&'a str>,
    /// How urgent the request is; 0 is the most urgent.
    pub priority: Option<u8>,
    /// The last event that the caller has.
    pub last_event_id: Option<u64>,
}

/// The head of an endpoint's answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Reply {
    /// Its status.
    pub status: StatusCode,
    /// The request it says it answers.
    pub request_id: Option<String>,
    /// Whether the endpoint says that it didn't run the request.
    pub execution: Execution,
    /// Whether it bears the endpoint's seal, without which it's nobody's answer.
    pub seal: Seal,
    /// How sure the model is of its answer, from 0 to 100.
    pub confidence: Option<u8>,
    /// How busy the endpoint is.
    pub load: Option<Load>,
    /// The requests a second that the endpoint takes from all nodes together; none if it names no limit.
    pub rate_limit: Option<f64>,
    /// For how long an endpoint that turned the request away wants none of this node.
    pub pause: Option<Duration>,
    /// Whether the endpoint takes more work or is about to end.
    pub state: State,
    /// Whether the endpoint closes the connection.
    pub connection: Connection,
}

/// Whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Execution {
    /// It surely did not, and never will.
    NotRun,
    /// It did, or may have.
    MayHaveRun,
}

/// Whether an answer is an endpoint's own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Seal {
    /// It is, unchanged.
    Valid,
    /// It bears none, or its body is encoded.
    Missing,
}

/// What an endpoint does with a connection after its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Connection {
    /// It takes another request, if that comes within this time.
    KeepAlive(Option<Duration>),
    /// It closes it.
    Close,
}

/// How busy an endpoint said it was.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// How many can run at once.
    pub slots: u32,
}
