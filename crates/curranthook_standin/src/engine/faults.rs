//! Faults injected into an engine.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::fault::Count;

use super::profile::Version;

/// The active faults; each `PUT` replaces all of them.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Overrides the fraction of failing requests for all versions.
    pub error_rate: Option<f64>,
    /// Overrides the time to the first token, in milliseconds, for all versions.
    pub first_token_ms: Option<f64>,
    /// Overrides the time per subsequent token, in milliseconds, for all versions.
    pub token_ms: Option<f64>,
    /// Overrides the fraction of prompts that get a good answer, by version.
    pub quality: BTreeMap<String, f64>,
    /// Responds with the id of another request.
    pub foreign_id: Count,
    /// Closes the connection after this many tokens of the run.
    pub cut_after_tokens: Option<u64>,
    /// How many answers `cut_after_tokens` applies to; all if omitted.
    pub cut_next: Option<u64>,
    /// Ends streams with a complete HTTP body but without the end marker.
    pub no_end_marker: Count,
    /// Aborts the process if the prompt contains this text.
    pub die_on: Option<String>,
    /// Extra delay of the response head after the work has started, in milliseconds.
    pub answer_late_ms: u64,
    /// The engine is leaving: it rejects requests and sets the leaving header on every response.
    pub leaving: bool,
    /// Rejects requests as if the queue were full.
    pub refuse: Count,
    /// Starts the work and never responds.
    pub hang_before_head: Count,
    /// The factor by which token times are multiplied.
    pub slow_factor: Option<f64>,
}

impl Faults {
    /// Applies the overrides to the profile of version `version_id`.
    pub(super) fn apply_to(&self, version_id: &str, version: &Version) -> Version {
        let slow_factor = self.slow_factor.unwrap_or(1.0);
        Version {
            quality: self.quality.get(version_id).copied().unwrap_or(version.quality),
            first_token_ms: self.first_token_ms.unwrap_or(version.first_token_ms) * slow_factor,
            token_ms: self.token_ms.unwrap_or(version.token_ms) * slow_factor,
            tokens: version.tokens,
            error_rate: self.error_rate.unwrap_or(version.error_rate),
        }
    }

    /// Returns the number of tokens after which the next answer is cut, if it is to be cut, and
    /// decrements `cut_next`.
    pub(super) fn next_cut(&mut self) -> Option<u64> {
        let n_tokens = self.cut_after_tokens?;
        match &mut self.cut_next {
            None => Some(n_tokens),
            Some(0) => None,
            Some(n) => {
                *n -= 1;
                Some(n_tokens)
            }
        }
    }
}
