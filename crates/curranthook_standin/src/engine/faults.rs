//! What goes wrong in an engine.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::fault::Count;

use super::profile::Version;

/// The faults in force; each `PUT` replaces them all.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// In place of the profile's, for all versions.
    pub error_rate: Option<f64>,
    /// In place of the profile's, for all versions.
    pub first_token_ms: Option<f64>,
    /// In place of the profile's, for all versions.
    pub token_ms: Option<f64>,
    /// In place of the profile's, by version.
    pub quality: BTreeMap<String, f64>,
    /// Answers with the id of another request.
    pub foreign_id: Count,
    /// Closes the connection after so many tokens of this run.
    pub cut_after_tokens: Option<u64>,
    /// How many answers are cut so; all if left out.
    pub cut_next: Option<u64>,
    /// Ends streams properly but without the marker.
    pub no_end_marker: Count,
    /// Aborts the process on a prompt that contains this.
    pub die_on: Option<String>,
    /// How much later the head of an answer comes, after the work was begun.
    pub answer_late_ms: u64,
    /// Is leaving: refuses, and says so on each answer.
    pub leaving: bool,
    /// Refuses as if full.
    pub refuse: Count,
    /// Begins the work and never answers.
    pub hang_before_head: Count,
    /// How many times slower everything is.
    pub slow_factor: Option<f64>,
}

impl Faults {
    /// The profile of `version` with the faults laid over.
    pub(super) fn over(&self, id: &str, version: &Version) -> Version {
        let slow = self.slow_factor.unwrap_or(1.0);
        Version {
            quality: self.quality.get(id).copied().unwrap_or(version.quality),
            first_token_ms: self.first_token_ms.unwrap_or(version.first_token_ms) * slow,
            token_ms: self.token_ms.unwrap_or(version.token_ms) * slow,
            tokens: version.tokens,
            error_rate: self.error_rate.unwrap_or(version.error_rate),
        }
    }

    /// After how many tokens the next answer is cut, if it is.
    pub(super) fn cut(&mut self) -> Option<u64> {
        let after = self.cut_after_tokens?;
        match &mut self.cut_next {
            None => Some(after),
            Some(0) => None,
            Some(n) => {
                *n -= 1;
                Some(after)
            }
        }
    }
}
