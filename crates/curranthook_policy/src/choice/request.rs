//! What a version is chosen for.

use std::time::Duration;

use curranthook_types::{kind, price, version};

/// What is asked for, and which versions may be used.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// The kind of work.
    pub kind: &'a kind::Id,
    /// The share of answers that must be good enough.
    pub target_quality: f64,
    /// The versions that may be used: allowed to the account, not withdrawn, not suspect.
    pub candidates: &'a [Candidate<'a>],
    /// How long the caller will still wait.
    pub time_left: Duration,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens that the answer is expected to have.
    pub expected_tokens: u64,
    /// How the answer is given out.
    pub delivery: Delivery,
    /// Whether answers can be rated now.
    pub rater: Rater,
    /// What the choice holds for.
    pub scope: Scope,
}

/// A version that may be used.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The version.
    pub id: &'a version::Id,
    /// What it costs.
    pub rate: &'a price::Rate,
    /// The quality that its makers claim for this kind of work.
    pub prior: Option<f64>,
}

/// How an answer is given out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// At once when it is complete.
    Whole,
    /// Token by token.
    Stream,
}

/// Whether the service that rates answers can be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rater {
    /// It answers.
    Up,
    /// It is down, slow or not configured: no cascade and no exploration, since neither is
    /// worth anything without ratings.
    Down,
}

/// What a choice holds for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// One request.
    Request,
    /// All requests of a session. It has one version, so no cascade.
    Session,
}
