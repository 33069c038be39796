//! Requests that a node answers itself, without a response from an endpoint.

use std::time::Duration;

use http::StatusCode;

/// Why a node refused a request. Each reason has a counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Reason {
    /// No configuration has been read yet.
    NotReady,
    /// No route matches.
    NoRoute,
    /// The API key is unknown.
    UnknownKey,
    /// The request names a model that its route does not list, or that the endpoints do not have.
    UnknownModel,
    /// The head or the body is malformed.
    Invalid,
    /// The body exceeds the size limit.
    TooLarge,
    /// The node has no memory for the body.
    NoMemory,
    /// No endpoint is available.
    NoEndpoint,
    /// This node is cut off from all endpoints of the service, and no other node takes the request.
    Unreachable,
    /// The endpoints that match the request admit no more for now.
    Throttled,
    /// All endpoints that were tried are full.
    Full,
    /// No endpoint can be expected to serve the request in time, or its size exceeds their memory.
    Overloaded,
    /// The node is shutting down.
    Stopping,
    /// The request has crashed several endpoints.
    Poison,
    /// The deadline passed before the request was sent.
    Expired,
    /// The deadline passed before a response could be forwarded, also before the first attempt.
    Timeout,
    /// The endpoint failed after the request was sent.
    EndpointFailed,
}

impl Reason {
    /// The name of the reason in logs, responses and metric labels.
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
            Self::UnknownModel => "unknown_model",
            Self::Invalid => "invalid",
            Self::TooLarge => "too_large",
            Self::NoMemory => "no_memory",
            Self::NoEndpoint => "no_endpoint",
            Self::Unreachable => "unreachable",
            Self::Throttled => "throttled",
            Self::Full => "full",
            Self::Overloaded => "overloaded",
            Self::Stopping => "stopping",
            Self::Poison => "poison",
            Self::Expired => "expired",
            Self::Timeout => "timeout",
            Self::EndpointFailed => "endpoint_failed",
        }
    }
}

/// A refusal that is sent to the caller in place of an endpoint's response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The reason of the refusal.
    pub reason: Reason,
    /// The response status. 421, 429 and 503 guarantee that the request has not run and never will.
    pub status: StatusCode,
    /// The `Retry-After`, if a retry may succeed.
    pub retry_after: Option<Duration>,
}

/// Whether an endpoint may have started to run a refused request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Started {
    /// No endpoint has started the request.
    #[default]
    No,
    /// An endpoint may have started the request.
    Maybe,
}

impl Refusal {
    /// Creates the refusal for `reason`. `started` decides whether the status may guarantee that
    /// the request has not run.
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
            (Reason::UnknownModel, Started::No) => StatusCode::MISDIRECTED_REQUEST,
            (_, Started::No) => StatusCode::SERVICE_UNAVAILABLE,
            (Reason::Timeout | Reason::Expired, Started::Maybe) => StatusCode::GATEWAY_TIMEOUT,
            (_, Started::Maybe) => StatusCode::BAD_GATEWAY,
        };
        Self { reason, status, retry_after: None }
    }

    /// Sets the `Retry-After`.
    pub fn with_retry_after(self, retry_after: Duration) -> Self {
        Self { retry_after: Some(retry_after), ..self }
    }
}
