//! Configuration of an engine's latency, capacity and answer quality.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

/// An engine's profile, written in YAML. Omitted fields take their defaults.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Profile {
    /// Profiles of versions that differ from `default`.
    pub versions: BTreeMap<String, Version>,
    /// The profile of all other versions.
    pub default: Version,
    /// The maximum number of requests that run concurrently.
    pub slots: usize,
    /// The maximum number of requests waiting for a slot; further ones are rejected.
    pub queue: usize,
    /// The fraction by which each other request in the batch lengthens the time per token.
    pub batch_slowdown: f64,
    /// The maximum number of prefixes in the prefix cache.
    pub cache: usize,
    /// The delay before a cache event becomes visible.
    pub cache_lag_ms: u64,
    /// The fraction of cache events that are dropped.
    pub cache_gaps: f64,
    /// The minimum age of the reported load.
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

/// Latency and quality of one version.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Version {
    /// The fraction of prompts that get a good answer.
    pub quality: f64,
    /// The time to the first token, in milliseconds.
    pub first_token_ms: f64,
    /// The time per subsequent token, in milliseconds.
    pub token_ms: f64,
    /// The mean length of an answer, in tokens.
    pub tokens: u64,
    /// The fraction of requests that fail.
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

    /// The minimum age of the reported load.
    pub fn load_lag(&self) -> Duration {
        Duration::from_millis(self.load_lag_ms)
    }

    /// The delay before a cache event becomes visible.
    pub fn cache_lag(&self) -> Duration {
        Duration::from_millis(self.cache_lag_ms)
    }
}
