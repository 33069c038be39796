//! Why a request is tried a second time.

use serde::{Deserialize, Serialize};

/// The reason for another attempt. Each has its counter, `retry.<name>`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// No connection could be made, so nothing was sent.
    Connect,
    /// The endpoint said that it is leaving and has not begun.
    EndpointLeaving,
    /// The endpoint said that it is full and has not begun.
    EndpointFull,
    /// The first byte took longer than this endpoint's usual time; idempotent calls only.
    SlowFirstByte,
    /// The connection closed before any byte of an answer; idempotent calls only.
    ClosedEarly,
    /// The answer carried another request's id; idempotent calls only.
    ForeignAnswer,
    /// The endpoint answered with a server error; idempotent calls only.
    ServerError,
    /// The stream broke off and was taken up again from where it stopped.
    Resumed,
    /// The cheap answer was rated too low, so the next version was asked.
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
