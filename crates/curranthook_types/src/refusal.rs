//! Refusals: every reason for which a request is refused, and whether the request ran.
//!
//! The body of a refusal is JSON, `{"error": {"code", "message", "not_run", "retry_after_ms"}}`.
//! `not_run: true` guarantees that no endpoint started the request. It may be set only if no byte
//! was sent to an endpoint, or if the endpoint itself reported that it had not started.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// Why a request was refused. Each reason has a counter, `refusal.<name>`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// No API key, or one that belongs to no account.
    Unauthenticated,
    /// The request can't be parsed: invalid JSON, header or field.
    Malformed,
    /// The body is larger than the limit.
    TooLarge,
    /// No such path or method.
    NotFound,
    /// The model or service isn't in the configuration.
    UnknownModel,
    /// The account is not allowed to use this model, version or service.
    NotAllowed,
    /// The version was withdrawn.
    Withdrawn,
    /// The session's version was withdrawn, and the account doesn't allow moving sessions.
    PinnedWithdrawn,
    /// The session token is forged or expired, or belongs to another account.
    BadToken,
    /// The account exceeded its rate limit.
    OverLimit,
    /// All endpoints are busy and the queue can't serve this request by its deadline.
    Overloaded,
    /// No endpoint that may serve this request is reachable.
    NoEndpoint,
    /// The deadline of the request passed.
    Deadline,
    /// The request caused the endpoints that ran it to fail.
    Poison,
    /// A call that must not run twice has no idempotency key.
    KeyMissing,
    /// The idempotency key was used before with another body.
    KeyReused,
    /// A call with this key is running, or its outcome was lost.
    KeyClaimed,
    /// The platform's table service can't be reached, and this call needs it.
    PlatformDown,
    /// The endpoint failed after it may have started the request.
    EndpointFailed,
    /// The node has no configuration yet.
    NotReady,
}

/// Whether a refused request was run by an endpoint. In JSON, `not_run` is `true`, `false` or
/// the text `"unknown"`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Wire", into = "Wire")]
pub enum Run {
    /// No endpoint started the request.
    Not,
    /// An endpoint ran the request.
    Ran,
    /// Bytes were sent to an endpoint, and no response shows whether the request ran.
    Unknown,
}

/// The JSON form of [`Run`].
#[derive(Debug, Serialize, Deserialize)]
#[serde(untagged)]
enum Wire {
    Known(bool),
    Other(Marker),
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Marker {
    Unknown,
}

impl From<Wire> for Run {
    fn from(wire: Wire) -> Self {
        match wire {
            Wire::Known(true) => Self::Not,
            Wire::Known(false) => Self::Ran,
            Wire::Other(Marker::Unknown) => Self::Unknown,
        }
    }
}

impl From<Run> for Wire {
    fn from(run: Run) -> Self {
        match run {
            Run::Not => Self::Known(true),
            Run::Ran => Self::Known(false),
            Run::Unknown => Self::Other(Marker::Unknown),
        }
    }
}

impl Reason {
    /// All reasons, in the order of `docs/METRICS.md`.
    pub const ALL: [Self; 20] = [
        Self::Unauthenticated,
        Self::Malformed,
        Self::TooLarge,
        Self::NotFound,
        Self::UnknownModel,
        Self::NotAllowed,
        Self::Withdrawn,
        Self::PinnedWithdrawn,
        Self::BadToken,
        Self::OverLimit,
        Self::Overloaded,
        Self::NoEndpoint,
        Self::Deadline,
        Self::Poison,
        Self::KeyMissing,
        Self::KeyReused,
        Self::KeyClaimed,
        Self::PlatformDown,
        Self::EndpointFailed,
        Self::NotReady,
    ];

    /// The code in the response body, and the last part of the counter's name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unauthenticated => "unauthenticated",
            Self::Malformed => "malformed",
            Self::TooLarge => "too_large",
            Self::NotFound => "not_found",
            Self::UnknownModel => "unknown_model",
            Self::NotAllowed => "not_allowed",
            Self::Withdrawn => "withdrawn",
            Self::PinnedWithdrawn => "pinned_withdrawn",
            Self::BadToken => "bad_token",
            Self::OverLimit => "over_limit",
            Self::Overloaded => "overloaded",
            Self::NoEndpoint => "no_endpoint",
            Self::Deadline => "deadline",
            Self::Poison => "poison",
            Self::KeyMissing => "key_missing",
            Self::KeyReused => "key_reused",
            Self::KeyClaimed => "key_claimed",
            Self::PlatformDown => "platform_down",
            Self::EndpointFailed => "endpoint_failed",
            Self::NotReady => "not_ready",
        }
    }

    /// The HTTP status code of the refusal.
    pub fn status(self) -> u16 {
        match self {
            Self::Unauthenticated => 401,
            Self::Malformed | Self::KeyMissing => 400,
            Self::TooLarge => 413,
            Self::NotFound | Self::UnknownModel => 404,
            Self::NotAllowed | Self::Withdrawn | Self::BadToken => 403,
            Self::PinnedWithdrawn => 410,
            Self::OverLimit => 429,
            Self::KeyReused | Self::Poison => 422,
            Self::KeyClaimed => 409,
            Self::Deadline => 504,
            Self::EndpointFailed => 502,
            Self::Overloaded | Self::NoEndpoint | Self::PlatformDown | Self::NotReady => 503,
        }
    }
}

/// A refusal as sent to the caller.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{}: {message}", code.name())]
pub struct Refusal {
    /// Why the request was refused.
    pub code: Reason,
    /// A human-readable explanation, one sentence.
    pub message: String,
    /// Whether an endpoint started the request.
    pub not_run: Run,
    /// The time after which to retry, if a retry can succeed.
    #[serde(rename = "retry_after_ms", default, skip_serializing_if = "Option::is_none")]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of a request that no endpoint has started.
    ///
    /// ```
    /// # use curranthook_types::refusal::{Reason, Refusal, Run};
    /// let refusal = Refusal::not_run(Reason::OverLimit, "too many requests");
    /// assert_eq!(refusal.not_run, Run::Not);
    /// ```
    pub fn not_run(code: Reason, message: impl Into<String>) -> Self {
        Self { code, message: message.into(), not_run: Run::Not, retry_after: None }
    }

    /// A refusal of a request that an endpoint may have started.
    pub fn unknown(code: Reason, message: impl Into<String>) -> Self {
        Self { not_run: Run::Unknown, ..Self::not_run(code, message) }
    }

    /// Sets the time after which to retry.
    pub fn with_retry_after(self, retry_after: Duration) -> Self {
        Self { retry_after: Some(retry_after), ..self }
    }

    /// The JSON body of the response.
    ///
    /// ```
    /// # use curranthook_types::refusal::{Reason, Refusal};
    /// let body = Refusal::unknown(Reason::EndpointFailed, "cut off").body();
    /// assert!(body.contains(r#""not_run":"unknown""#));
    /// ```
    pub fn body(&self) -> String {
        #[derive(Debug, Serialize)]
        struct Body<'a> {
            error: &'a Refusal,
        }
        serde_json::to_string(&Body { error: self }).expect("a refusal has only plain fields")
    }
}
