//! What a caller saw of one request.

use std::time::Duration;

use curranthook_types::{refusal, version};

/// How one request went.
#[derive(Debug, Clone)]
pub struct Sample {
    /// The index of the request in the plan.
    pub index: usize,
    /// From the intended time to the end, good or bad.
    pub whole: Duration,
    /// How it ended.
    pub outcome: Outcome,
}

/// How a request ended.
#[derive(Debug, Clone)]
pub enum Outcome {
    /// With a whole answer.
    Answered(Answer),
    /// With a typed refusal.
    Refused(refusal::Reason, refusal::Run),
    /// With neither.
    Failed(Failure),
}

/// A whole answer.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// The version that gave it; plain services have none.
    pub version: Option<version::Id>,
    /// From the intended time to the first token, for streams.
    pub first_token: Option<Duration>,
    /// The gaps between tokens, for streams.
    pub gaps: Vec<Duration>,
    /// What the stand-in says of it; plain services say nothing.
    pub mark: Option<Mark>,
    /// The token that keeps the session on its version.
    pub session_token: Option<String>,
}

/// The marker that begins each answer of a stand-in engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mark {
    /// `[good]`
    Good,
    /// `[bad]`
    Bad,
}

impl Mark {
    /// Reads the marker of an answer.
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

/// An end that is neither an answer nor a typed refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Failure {
    /// The connection couldn't be made.
    #[error("connect")]
    Connect,
    /// The connection closed before an answer.
    #[error("closed")]
    Closed,
    /// No end of the answer within the time limit.
    #[error("timeout")]
    Timeout,
    /// The answer broke off.
    #[error("cut_off")]
    CutOff,
    /// The answer carries another request's id.
    #[error("foreign")]
    Foreign,
    /// An error that isn't a typed refusal, as engines give.
    #[error("untyped_error")]
    UntypedError,
    /// An answer that can't be read.
    #[error("unreadable")]
    Unreadable,
    /// Too many requests were outstanding in the load tool itself.
    #[error("not_sent")]
    NotSent,
}
