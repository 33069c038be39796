//! The input of version selection.

use std::time::Duration;

use curranthook_types::{kind, price, version};

/// A request and the versions that may answer it.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// The kind of work.
    pub kind: &'a kind::Id,
    /// The share of answers that must be good.
    pub target_quality: f64,
    /// The versions that may be used: allowed for the account, not withdrawn and not suspect.
    pub candidates: &'a [Candidate<'a>],
    /// The time until the caller's deadline.
    pub time_left: Duration,
    /// The length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// The expected length of the answer in tokens.
    pub expected_tokens: u64,
    /// How the answer is returned.
    pub delivery: Delivery,
    /// Whether the rating service is available.
    pub rater: Rater,
    /// Whether the selection applies to one request or to a whole session.
    pub scope: Scope,
}

/// A version that may answer the request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The version.
    pub id: &'a version::Id,
    /// Its price.
    pub rate: &'a price::Rate,
    /// The quality that its provider claims for this kind of work.
    pub prior: Option<f64>,
}

/// How an answer is returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// In one piece, once it is complete.
    Whole,
    /// Token by token.
    Stream,
}

/// Whether the rating service is available.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rater {
    /// The service responds.
    Up,
    /// The service is down, slow or not configured. Disables cascades and exploration, which are
    /// useless without ratings.
    Down,
}

/// Whether a selection applies to one request or to a whole session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// One request.
    Request,
    /// All requests of a session. A session uses a single version, so no cascade.
    Session,
}
