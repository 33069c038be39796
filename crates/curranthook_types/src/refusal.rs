//! Refusals: every way in which a request is turned away, and whether it ran.
//!
//! The body of a refusal is JSON, `{"error": {"code", "message", "not_run", "retry_after_ms"}}`.
//! `not_run: true` is a promise: no endpoint began the request. It may be said only if no byte
//! went to an endpoint, or the endpoint itself said that it had not begun.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// Why a request was refused. Each has its counter, `refusal.<name>`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// No API key, or one that belongs to no account.
    Unauthenticated,
    /// The request can't be read: bad JSON, header or field.
    Malformed,
    /// The body is larger than the limit.
    TooLarge,
    /// No such path or method.
    NotFound,
    /// The model or service isn't in the configuration.
    UnknownModel,
    /// The account may not use this model, version or service.
    NotAllowed,
    /// The version was withdrawn.
    Withdrawn,
    /// The session's version was withdrawn, and the account doesn't let sessions move.
    PinnedWithdrawn,
    /// The session token is forged, expired or another account's.
    BadToken,
    /// The account is over its limit.
    OverLimit,
    /// All endpoints are busy and the queue can't serve this request by its deadline.
    Overloaded,
    /// No endpoint that may serve this request is reachable.
    NoEndpoint,
    /// The deadline passed.
    Deadline,
    /// The request took down the endpoints that ran it.
    Poison,
    /// A call that may not be repeated came without an idempotency key.
    KeyMissing,
    /// The idempotency key was used before with another body.
    KeyReused,
    /// A call with this key is running, or its outcome was lost.
    KeyClaimed,
    /// The platform's table service can't be reached, and this call needs it.
    PlatformDown,
    /// The endpoint failed after it may have begun.
    EndpointFailed,
    /// The node has no configuration yet.
    NotReady,
}

/// Whether a refused request was run by an endpoint. In JSON, `not_run` is `true`, `false` or
/// the text `"unknown"`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Told", into = "Told")]
pub enum Run {
    /// No endpoint began it.
    Not,
    /// An endpoint ran it.
    Ran,
    /// Bytes were sent and no word came back that tells.
    Unknown,
}

/// The form of [`Run`] in JSON.
#[derive(Debug, Serialize, Deserialize)]
#[serde(untagged)]
enum Told {
    Known(bool),
    Other(Unsure),
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Unsure {
    Unknown,
}

impl From<Told> for Run {
    fn from(told: Told) -> Self {
        match told {
            Told::Known(true) => Self::Not,
            Told::Known(false) => Self::Ran,
            Told::Other(Unsure::Unknown) => Self::Unknown,
        }
    }
}

impl From<Run> for Told {
    fn from(run: Run) -> Self {
        match run {
            Run::Not => Self::Known(true),
            Run::Ran => Self::Known(false),
            Run::Unknown => Self::Other(Unsure::Unknown),
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

    /// The code in the body and the last part of the counter's name.
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

/// A refusal as the caller sees it.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{}: {message}", code.name())]
pub struct Refusal {
    /// Why.
    pub code: Reason,
    /// One sentence for a person.
    pub message: String,
    /// Whether an endpoint began the request.
    pub not_run: Run,
    /// When to come back, if that can help.
    #[serde(rename = "retry_after_ms", default, skip_serializing_if = "Option::is_none")]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of a request that no endpoint has begun.
    ///
    /// ```
    /// # use curranthook_types::refusal::{Reason, Refusal, Run};
    /// let refusal = Refusal::not_run(Reason::OverLimit, "too many requests");
    /// assert_eq!(refusal.not_run, Run::Not);
    /// ```
    pub fn not_run(code: Reason, message: impl Into<String>) -> Self {
        Self { code, message: message.into(), not_run: Run::Not, retry_after: None }
    }

    /// A refusal of a request that an endpoint may have begun.
    pub fn unknown(code: Reason, message: impl Into<String>) -> Self {
        Self { not_run: Run::Unknown, ..Self::not_run(code, message) }
    }

    /// Adds the time after which to come back.
    pub fn with_retry_after(self, retry_after: Duration) -> Self {
        Self { retry_after: Some(retry_after), ..self }
    }

    /// The JSON body.
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
