//! A caller's request, read and checked, as the stages pass it on.

use std::time::{Duration, Instant};

use bytes::Bytes;
use curranthook_policy::{hash, poison::Fingerprint};
use http::{HeaderMap, Method, Uri};
use sha2::{Digest, Sha256};

/// What the head of a caller's request says.
#[derive(Debug, Clone)]
pub struct Head {
    /// The caller's id for this attempt of its own; new with each of its retries.
    pub id: String,
    /// The method.
    pub method: Method,
    /// Path and query as they came.
    pub uri: Uri,
    /// The host that was asked for.
    pub host: String,
    /// The key that the caller showed.
    pub api_key: Option<String>,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// Which model it wants.
    pub model: Model,
    /// How large the work is.
    pub tokens: Option<Tokens>,
    /// How many tokens the caller expects to be generated; often far off.
    pub expected_output_tokens: Option<u64>,
    /// The parts of its prompt, in order.
    pub prompt_parts: Vec<Part>,
    /// The last event that the caller has of the stream, if it goes on with one.
    pub last_event_id: Option<u64>,
    /// The headers that are passed on: neither those of the connection nor those that are the
    /// system's to set.
    pub headers: HeaderMap,
}

/// Which model a request asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Model {
    /// It says nothing of models.
    None,
    /// Any that the route lists.
    Any,
    /// This one.
    Named(String),
}

/// The size of a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tokens {
    /// Tokens in the prompt.
    pub prompt: u64,
    /// The most that may be generated.
    pub max_output: u64,
}

/// A part of a prompt. Requests share parts; the last one is the request's or its session's own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// A hash of its content.
    pub hash: u64,
    /// Its length.
    pub tokens: u64,
}

/// A request that was let in.
#[derive(Debug)]
pub struct Request {
    /// What its head said.
    pub head: Head,
    /// Its whole body.
    pub body: Bytes,
    /// When its caller or its route gives up, whichever is sooner.
    pub deadline: Instant,
    /// When it was read.
    pub received_at: Instant,
    /// A hash that the same request has at every node, whenever it comes.
    pub fingerprint: Fingerprint,
}

impl Request {
    /// A request that was read at `since` and is given up on after `patience`.
    pub fn new(head: Head, body: Bytes, received_at: Instant, timeout: Duration) -> Self {
        let fingerprint = fingerprint(&head, &body);
        Self { head, body, deadline: received_at + timeout, received_at, fingerprint }
    }

    /// The time left until the deadline.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// What its prompt shares with others, as one hash of all parts but the last. It stands for
    /// the session or subject of the request too.
    pub fn prefix_hash(&self) -> Option<u64> {
        let (_own, prefix) = self.head.prompt_parts.split_last()?;
        (!prefix.is_empty()).then(|| prefix.iter().fold(0, |it, part| hash::pair(it, part.hash)))
    }

    /// The tokens of the parts that it shares.
    pub fn prefix_tokens(&self) -> u64 {
        let prefix = self.head.prompt_parts.split_last().map_or(&[][..], |(_own, prefix)| prefix);
        total_tokens(prefix)
    }

    /// All tokens of its prompt.
    pub fn prompt_tokens(&self) -> u64 {
        self.head.tokens.map_or_else(|| total_tokens(&self.head.prompt_parts), |it| it.prompt)
    }

    /// How many tokens are likely to be generated.
    pub fn output_tokens(&self) -> u64 {
        let max = self.head.tokens.map(|it| it.max_output);
        match (self.head.expected_output_tokens, max) {
            (Some(expected), Some(max)) => expected.min(max),
            (expected, max) => expected.or(max).unwrap_or(0),
        }
    }
}

/// The tokens of all parts. A caller may claim any number for each.
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

/// The hash of a part's id.
pub fn part_hash(id: &str) -> u64 {
    hash::bytes(id.as_bytes())
}
