//! Result of one request, as seen by the caller.

use std::time::Duration;

use curranthook_types::{refusal, version};

/// Result of one request.
#[derive(Debug, Clone)]
pub struct Sample {
    /// Index of the request in the plan.
    pub index: usize,
    /// Latency from the scheduled time to the end, for any outcome.
    pub latency: Duration,
    /// Outcome of the request.
    pub outcome: Outcome,
}

/// Outcome of a request.
#[derive(Debug, Clone)]
pub enum Outcome {
    /// Complete answer.
    Answered(Answer),
    /// Refusal with a typed reason.
    Refused(refusal::Reason, refusal::Run),
    /// Neither an answer nor a typed refusal.
    Failed(Failure),
}

/// A complete answer.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// Version that served it; absent for plain services.
    pub version: Option<version::Id>,
    /// Time to first token since the scheduled time, for streams.
    pub first_token: Option<Duration>,
    /// Intervals between tokens, for streams.
    pub gaps: Vec<Duration>,
    /// Quality marker set by the stand-in; absent for plain services.
    pub mark: Option<Mark>,
    /// Token that pins the session to its version.
    pub session_token: Option<String>,
}

/// Quality marker at the start of each answer of a stand-in engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mark {
    /// `[good]`: the answer is good enough for the prompt.
    Good,
    /// `[bad]`: the answer is not good enough for the prompt.
    Bad,
}

impl Mark {
    /// Parses the marker at the start of an answer.
    ///
    /// ```
    /// use curranthook_load::sample::Mark;
    /// assert_eq!(Mark::parse("[bad] 12 pigs"), Some(Mark::Bad));
    /// assert_eq!(Mark::parse("12 pigs"), None);
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let text = text.trim_start();
        if text.starts_with("[good]") {
            return Some(Self::Good);
        }
        text.starts_with("[bad]").then_some(Self::Bad)
    }
}

/// A failure that is neither an answer nor a typed refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Failure {
    /// The connection couldn't be established.
    #[error("connect")]
    Connect,
    /// The connection closed before a response arrived.
    #[error("closed")]
    Closed,
    /// The response didn't complete within the time-out.
    #[error("timeout")]
    Timeout,
    /// The response was cut off.
    #[error("cut_off")]
    CutOff,
    /// The response carries another request's ID.
    #[error("foreign")]
    Foreign,
    /// An error response without a typed refusal, such as those of engines.
    #[error("untyped_error")]
    UntypedError,
    /// The response couldn't be parsed.
    #[error("unreadable")]
    Unreadable,
    /// The load tool reached its limit of outstanding requests.
    #[error("not_sent")]
    NotSent,
}
