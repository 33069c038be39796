//! Why a request is retried.

use serde::{Deserialize, Serialize};

/// The reason for another attempt. Each reason has a counter, `retry.<name>`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The connection could not be established, so nothing was sent.
    Connect,
    /// The endpoint reported that it is shutting down and has not started the request.
    EndpointLeaving,
    /// The endpoint reported that it is full and has not started the request.
    EndpointFull,
    /// The first byte took longer than usual for this endpoint; idempotent calls only.
    SlowFirstByte,
    /// The connection closed before the first byte of a response; idempotent calls only.
    ClosedEarly,
    /// The response carried the id of another request; idempotent calls only.
    ForeignAnswer,
    /// The endpoint returned a server error; idempotent calls only.
    ServerError,
    /// The stream was interrupted and resumed where it stopped.
    Resumed,
    /// The response of a cheaper version was rated too low, so the request went to the next
    /// version.
    Escalated,
}

impl Reason {
    /// All reasons, in the order of `docs/METRICS.md`.
    pub const ALL: [Self; 9] = [
        Self::Connect,
        Self::EndpointLeaving,
        Self::EndpointFull,
        Self::SlowFirstByte,
        Self::ClosedEarly,
        Self::ForeignAnswer,
        Self::ServerError,
        Self::Resumed,
        Self::Escalated,
    ];

    /// The last part of the counter's name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Connect => "connect",
            Self::EndpointLeaving => "endpoint_leaving",
            Self::EndpointFull => "endpoint_full",
            Self::SlowFirstByte => "slow_first_byte",
            Self::ClosedEarly => "closed_early",
            Self::ForeignAnswer => "foreign_answer",
            Self::ServerError => "server_error",
            Self::Resumed => "resumed",
            Self::Escalated => "escalated",
        }
    }
}
