//! Reads and validates a request's headers and body.

use std::time::{Duration, Instant};

use bytes::Bytes;
use curranthook_http::{
    body::{self, ReadError},
    timeout,
};
use curranthook_settings::config::Policy;
use curranthook_types::{Refusal, account, chat, header, kind, refusal::Reason, request, session};
use http::{HeaderMap, request::Parts};
use hyper::body::Incoming;
use sha2::{Digest, Sha256};

/// The longest id that a caller may choose, in bytes.
const MAX_ID_BYTES: usize = 200;
/// The kind of a request that has no kind header.
pub const DEFAULT_KIND: &str = "default";
/// The length of a body's fingerprint, in bytes.
const FINGERPRINT_BYTES: usize = 16;

/// The metadata that every request has, whatever its type.
#[derive(Debug, Clone)]
pub struct Metadata {
    /// The id of the request.
    pub request: request::Id,
    /// The account that sent the request.
    pub account: account::Id,
    /// The kind of work that the caller declared, such as a task category. Quality targets,
    /// priorities and ratings are separate for each kind.
    pub kind: kind::Id,
    /// The session, if the request belongs to one.
    pub session: Option<session::Id>,
    /// The session token, if the caller sent one.
    pub token: Option<String>,
    /// The deadline for the response.
    pub deadline: Instant,
    /// The first bytes of the body's SHA-256 hash. It identifies bodies that were seen before, for
    /// example one during which an endpoint crashed.
    pub fingerprint: [u8; FINGERPRINT_BYTES],
}

impl Metadata {
    /// The time left until the deadline.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}

/// A chat request.
#[derive(Debug, Clone)]
pub struct Chat {
    /// The metadata of the request.
    pub metadata: Metadata,
    /// The body.
    pub body: chat::Request,
}

/// Parses the headers and reads the whole body.
pub async fn run(
    parts: &Parts,
    incoming: Incoming,
    account: account::Id,
    policy: &Policy,
    arrived: Instant,
) -> Result<(Metadata, Bytes), Refusal> {
    let headers = &parts.headers;
    let request = match header_text(headers, header::REQUEST_ID)? {
        Some(id) => request::Id::new(id),
        None => request::Id::new(ulid::Ulid::generate().to_string()),
    };
    let time_limit = match header_text(headers, header::DEADLINE_MS)? {
        Some(millis) => Duration::from_millis(header_number(header::DEADLINE_MS, millis)?),
        None => policy.default_deadline,
    };
    // If the caller's connection stops delivering data, the rest of the body never arrives. Without
    // a time limit the request would wait forever, and so would a shutdown.
    let bytes = timeout::run(time_limit, read_body(incoming, policy.max_body)).await;
    let timed_out = |_| Refusal::not_run(Reason::Deadline, "the body didn't come in time");
    let bytes = bytes.map_err(timed_out)??;
    let digest = Sha256::digest(&bytes);
    let mut fingerprint = [0; FINGERPRINT_BYTES];
    fingerprint.copy_from_slice(&digest[..FINGERPRINT_BYTES]);
    let metadata = Metadata {
        request,
        account,
        kind: kind::Id::new(header_text(headers, header::KIND)?.unwrap_or(DEFAULT_KIND)),
        session: header_text(headers, header::SESSION)?.map(session::Id::new),
        token: header_text(headers, header::SESSION_TOKEN)?.map(str::to_owned),
        deadline: arrived + time_limit,
        fingerprint,
    };
    Ok((metadata, bytes))
}

/// Parses the body of a chat request.
pub fn chat(metadata: Metadata, bytes: &[u8]) -> Result<Chat, Refusal> {
    let body: chat::Request = serde_json::from_slice(bytes)
        .map_err(|e| Refusal::not_run(Reason::Malformed, format!("not a chat request: {e}")))?;
    if body.messages.is_empty() {
        return Err(Refusal::not_run(Reason::Malformed, "a chat request needs a message"));
    }
    Ok(Chat { metadata, body })
}

async fn read_body(incoming: Incoming, limit: usize) -> Result<Bytes, Refusal> {
    body::read(incoming, limit).await.map_err(|e| match e {
        ReadError::TooLarge { .. } => Refusal::not_run(Reason::TooLarge, e.to_string()),
        ReadError::Incomplete(_) => Refusal::not_run(Reason::Malformed, e.to_string()),
    })
}

/// The value of a header, checked to be safe in other headers, paths and rows.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let malformed =
        |reason: &str| Refusal::not_run(Reason::Malformed, format!("header {name}: {reason}"));
    let value = value.to_str().map_err(|_| malformed("not plain ASCII"))?;
    let max = if name == header::SESSION_TOKEN { 4 * MAX_ID_BYTES } else { MAX_ID_BYTES };
    if value.is_empty() || max < value.len() {
        return Err(malformed("empty or too long"));
    }
    if !value.bytes().all(|it| it.is_ascii_graphic()) {
        return Err(malformed("only visible characters are allowed"));
    }
    Ok(Some(value))
}

fn header_number(name: &str, value: &str) -> Result<u64, Refusal> {
    let malformed = |_| Refusal::not_run(Reason::Malformed, format!("header {name}: not a number"));
    // No caller waits longer than a day; the bound prevents overflow when times are added.
    const DAY_MILLIS: u64 = 24 * 60 * 60 * 1_000;
    value.parse::<u64>().map(|it| it.min(DAY_MILLIS)).map_err(malformed)
}
