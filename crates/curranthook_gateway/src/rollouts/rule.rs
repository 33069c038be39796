//! Which versions a request may be sent to, and the knowledge that this is based on.

use std::time::Duration;

use serde::Serialize;

use super::{history::History, trial::Trial};
use crate::{steps::Phase, store::Rev};

/// Which versions a request may be sent to.
#[derive(Debug, Clone, PartialEq)]
pub enum Rule {
    /// Any version.
    Any,
    /// Only this version.
    Only(String),
    /// Only the version of this trial, at some of its endpoints.
    Trial(Trial),
    /// Any version but this one, even if no other has an endpoint.
    Not(String),
    /// The version that an earlier order has completed, or any but the target and those that were
    /// rolled back.
    Keep {
        /// The verdicts of earlier orders.
        history: History,
        /// The version that gets no requests yet.
        target: String,
    },
    /// Any version but this one, or this one if no other has an endpoint.
    Avoid(String),
}

impl Rule {
    /// Whether requests may be sent to `version`.
    ///
    /// ```
    /// # use curranthook_gateway::rollouts::Rule;
    /// assert!(Rule::Not("v2".to_owned()).allows("v1"));
    /// assert!(!Rule::Not("v2".to_owned()).allows("v2"));
    /// ```
    pub fn allows(&self, version: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Only(it) => it == version,
            Self::Trial(it) => it.version == version,
            Self::Keep { history, target } => version != target && history.prefers(version),
            Self::Not(it) | Self::Avoid(it) => it != version,
        }
    }

    /// The rule for a request that must not be sent to a loaded endpoint of a version under test.
    pub fn spread(self) -> Self {
        match self {
            Self::Trial(it) => Self::Trial(it.spread()),
            other => other,
        }
    }

    /// The name in logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Any => "any",
            Self::Only(_) => "only",
            Self::Trial(_) => "trial",
            Self::Keep { .. } => "keep",
            Self::Not(_) => "not",
            Self::Avoid(_) => "avoid",
        }
    }
}

/// How much a node can know of the progress of rollouts.
#[derive(Debug, Clone, Copy)]
pub struct Knowledge {
    /// The current time of the store's clock; none if it is unknown.
    pub now: Option<Duration>,
    /// Whether the steps that this node knows are the newest ones.
    pub is_current: bool,
}

/// What a node knew of a rollout when it chose the version for a request, as logged.
#[serde_with::serde_as]
#[derive(Debug, Clone, Serialize)]
pub struct Basis {
    /// The name of the rule.
    pub rule: &'static str,
    /// The phase of the rollout.
    pub phase: Phase,
    /// The revision of the step; none before the first one.
    pub step_rev: Option<Rev>,
    /// The new version's answers and bad answers, of all nodes.
    pub new_answers: u64,
    /// See `new_answers`.
    pub new_bad: u64,
    /// The time since evidence of another node last arrived; none if there was none.
    #[serde(rename = "evidence_age_ms")]
    #[serde_as(as = "Option<serde_with::DurationMilliSeconds<u64>>")]
    pub evidence_age: Option<Duration>,
    /// Whether the request went to a version that the rule does not allow, as there was no other.
    pub last_resort: bool,
    /// Whether the endpoint gets the load of a busy one, as its version is under test.
    pub concentrated: bool,
    /// The hash of the request's session, in hexadecimal.
    pub session: String,
}
