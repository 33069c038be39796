//! How fast and how good an engine is.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

/// An engine's profile, written in YAML. Whatever is left out has a default.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Profile {
    /// Versions that differ from `default`.
    pub versions: BTreeMap<String, Version>,
    /// Every other version.
    pub default: Version,
    /// How many requests run at once.
    pub slots: usize,
    /// How many wait for a slot before more are refused.
    pub queue: usize,
    /// How much longer a token takes for each other request in the batch, as a share.
    pub batch_slowdown: f64,
    /// How many prompts the prefix cache holds.
    pub cache: usize,
    /// How late cache events are told.
    pub cache_lag_ms: u64,
    /// The share of cache events that are never told.
    pub cache_gaps: f64,
    /// How old the reported load is.
    pub load_lag_ms: u64,
}

impl Default for Profile {
    fn default() -> Self {
        Self {
            versions: BTreeMap::new(),
            default: Version::default(),
            slots: 16,
            queue: 64,
            batch_slowdown: 0.02,
            cache: 64,
            cache_lag_ms: 500,
            cache_gaps: 0.1,
            load_lag_ms: 200,
        }
    }
}

/// How fast and how good a version is.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Version {
    /// The share of prompts that it answers well.
    pub quality: f64,
    /// The time to the first token.
    pub first_token_ms: f64,
    /// The time for each later one.
    pub token_ms: f64,
    /// The mean length of an answer.
    pub tokens: u64,
    /// The share of requests that fail.
    pub error_rate: f64,
}

impl Default for Version {
    fn default() -> Self {
        Self { quality: 0.9, first_token_ms: 5.0, token_ms: 1.0, tokens: 20, error_rate: 0.0 }
    }
}

impl Profile {
    /// The profile of `version`.
    pub fn version(&self, version: &str) -> &Version {
        self.versions.get(version).unwrap_or(&self.default)
    }

    /// How old the reported load is.
    pub fn load_lag(&self) -> Duration {
        Duration::from_millis(self.load_lag_ms)
    }

    /// How late cache events are told.
    pub fn cache_lag(&self) -> Duration {
        Duration::from_millis(self.cache_lag_ms)
    }
}
