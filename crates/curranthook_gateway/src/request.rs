//! A caller's request in parsed and validated form.

use std::time::{Duration, Instant};

use bytes::Bytes;
use curranthook_http::intake;
use curranthook_policy::{hash, poison::Fingerprint};
use http::{HeaderMap, Method, Uri};
use sha2::{Digest, Sha256};

/// The parsed head of a caller's request.
#[derive(Debug, Clone)]
pub struct Head {
    /// The caller's id for this attempt; new for each of the caller's retries.
    pub id: String,
    /// The request method.
    pub method: Method,
    /// Path and query as received.
    pub uri: Uri,
    /// The requested host.
    pub host: String,
    /// The API key that the caller presented.
    pub api_key: Option<String>,
    /// How long the caller waits for the response.
    pub timeout: Option<Duration>,
    /// The requested model.
    pub model: Model,
    /// The number of prompt and output tokens.
    pub tokens: Option<Tokens>,
    /// The number of output tokens that the caller expects; often inaccurate.
    pub expected_output_tokens: Option<u64>,
    /// The parts of the prompt, in order.
    pub prompt_parts: Vec<Part>,
    /// The id of the last event that the caller has received, if it resumes a stream.
    pub last_event_id: Option<u64>,
    /// The headers to forward: without those of the connection and those that only the system may
    /// set.
    pub headers: HeaderMap,
}

/// The model that a request asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Model {
    /// The request names no model.
    None,
    /// Any model that the route lists.
    Any,
    /// The model of this name.
    Named(String),
}

/// The size of a generation, in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tokens {
    /// The number of tokens in the prompt.
    pub prompt: u64,
    /// The largest number of tokens to generate.
    pub max_output: u64,
}

/// A part of a prompt. Different requests may share parts; the last part is specific to the request
/// or its session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// A hash that identifies the content.
    pub hash: u64,
    /// The length in tokens.
    pub tokens: u64,
}

/// A request that has been admitted.
#[derive(Debug)]
pub struct Request {
    /// The parsed head.
    pub head: Head,
    /// The complete body.
    pub body: Bytes,
    /// When the caller's or the route's timeout expires, whichever is sooner.
    pub deadline: Instant,
    /// When the request was received.
    pub received_at: Instant,
    /// A hash of the host, the URI, the API key and the body; the same for equal requests at every
    /// node and at any time.
    pub fingerprint: Fingerprint,
    /// The memory that the body takes, until the request is dropped.
    _claim: Option<intake::Claim>,
}

impl Request {
    /// A request that was received at `received_at` and times out after `timeout`.
    pub fn new(head: Head, body: Bytes, received_at: Instant, timeout: Duration) -> Self {
        let fingerprint = fingerprint(&head, &body);
        let deadline = received_at + timeout;
        Self { head, body, deadline, received_at, fingerprint, _claim: None }
    }

    /// Keeps the memory that the body takes for as long as the request exists.
    pub fn with_claim(self, claim: intake::Claim) -> Self {
        Self { _claim: Some(claim), ..self }
    }

    /// The time left until the deadline.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// The hash of the prompt prefix that the request shares with others: of all parts but the
    /// last. This hash also identifies the session of the request.
    pub fn prefix_hash(&self) -> Option<u64> {
        let (_own, prefix) = self.head.prompt_parts.split_last()?;
        (!prefix.is_empty()).then(|| prefix.iter().fold(0, |it, part| hash::pair(it, part.hash)))
    }

    /// The number of tokens in the shared prefix.
    pub fn prefix_tokens(&self) -> u64 {
        let prefix = self.head.prompt_parts.split_last().map_or(&[][..], |(_own, prefix)| prefix);
        total_tokens(prefix)
    }

    /// The number of tokens in the whole prompt.
    pub fn prompt_tokens(&self) -> u64 {
        self.head.tokens.map_or_else(|| total_tokens(&self.head.prompt_parts), |it| it.prompt)
    }

    /// The expected number of output tokens.
    pub fn output_tokens(&self) -> u64 {
        let max = self.head.tokens.map(|it| it.max_output);
        match (self.head.expected_output_tokens, max) {
            (Some(expected), Some(max)) => expected.min(max),
            (expected, max) => expected.or(max).unwrap_or(0),
        }
    }
}

/// The total length of all parts. Saturates, since a caller may claim any length for each.
fn total_tokens(parts: &[Part]) -> u64 {
    parts.iter().fold(0, |sum, it| sum.saturating_add(it.tokens))
}

fn fingerprint(head: &Head, body: &[u8]) -> Fingerprint {
    let mut hasher = Sha256::new();
    hasher.update(head.host.as_bytes());
    hasher.update(head.uri.to_string().as_bytes());
    hasher.update(head.api_key.as_deref().unwrap_or_default().as_bytes());
    hasher.update(body);
    let mut truncated = Fingerprint::default();
    truncated.copy_from_slice(&hasher.finalize()[..size_of::<Fingerprint>()]);
    truncated
}

/// The hash of the id of a prompt part.
pub fn part_hash(id: &str) -> u64 {
    hash::bytes(id.as_bytes())
}
