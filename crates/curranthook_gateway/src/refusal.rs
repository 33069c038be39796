//! Requests that a node ends by itself.

use std::time::Duration;

use http::StatusCode;

/// Why a node ended a request. Each has a counter of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Reason {
    /// No configuration has been read yet.
    NotReady,
    /// No route.
    NoRoute,
    /// The key is unknown.
    UnknownKey,
    /// The head or body can't be understood.
    Invalid,
    /// The body is too large.
    TooLarge,
    /// No endpoint can take it now.
    NoEndpoint,
    /// The endpoints that could take it take no more for now.
    Throttled,
    /// All endpoints that were asked are full.
    Full,
    /// The node is shutting down.
    Stopping,
    /// The request has ended several endpoints.
    Poison,
    /// Its time passed before it was sent.
    Expired,
    /// Its time passed after it was sent.
    Timeout,
    /// The endpoint failed after the request was sent.
    EndpointFailed,
}

impl Reason {
    /// The last part of the counter's name.
    ///
    /// ```
    /// # use curranthook_gateway::refusal::Reason;
    /// assert_eq!(Reason::NoRoute.name(), "no_route");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::NotReady => "not_ready",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::Invalid => "invalid",
            Self::TooLarge => "too_large",
            Self::NoEndpoint => "no_endpoint",
            Self::Throttled => "throttled",
            Self::Full => "full",
            Self::Stopping => "stopping",
            Self::Poison => "poison",
            Self::Expired => "expired",
            Self::Timeout => "timeout",
            Self::EndpointFailed => "endpoint_failed",
        }
    }
}

/// The end of a request without an endpoint's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// The status. 429 and 503 promise that the request hasn't run and never will.
    pub status: StatusCode,
    /// When to come back, where that may help.
    pub retry_after: Option<Duration>,
}

/// Whether any endpoint may have begun to work on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Started {
    /// Surely none has.
    #[default]
    No,
    /// One may have.
    Maybe,
}

impl Refusal {
    /// The refusal for `reason`. `ran` decides what its status may promise.
    ///
    /// ```
    /// # use curranthook_gateway::refusal::{Started, Reason, Refusal};
    /// assert_eq!(Refusal::new(Reason::Full, Started::No).status, 503);
    /// assert_eq!(Refusal::new(Reason::Full, Started::Maybe).status, 502);
    /// assert_eq!(Refusal::new(Reason::Timeout, Started::Maybe).status, 504);
    /// ```
    pub fn new(reason: Reason, started: Started) -> Self {
        let status = match (reason, started) {
            (Reason::NoRoute, _) => StatusCode::NOT_FOUND,
            (Reason::UnknownKey, _) => StatusCode::UNAUTHORIZED,
            (Reason::Invalid, _) => StatusCode::BAD_REQUEST,
            (Reason::TooLarge, _) => StatusCode::PAYLOAD_TOO_LARGE,
            (_, Started::No) => StatusCode::SERVICE_UNAVAILABLE,
            (Reason::Timeout | Reason::Expired, Started::Maybe) => StatusCode::GATEWAY_TIMEOUT,
            (_, Started::Maybe) => StatusCode::BAD_GATEWAY,
        };
        Self { reason, status, retry_after: None }
    }

    /// Says when to come back.
    pub fn with_retry_after(self, retry_after: Duration) -> Self {
        Self { retry_after: Some(retry_after), ..self }
    }
}
