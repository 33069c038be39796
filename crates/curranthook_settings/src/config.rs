//! One site's configuration.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use curranthook_types::{account, domain, endpoint, kind, price, site, version};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, hex::Hex, serde_as};

/// Replaces the value of a masked secret.
pub(crate) const MASK: &str = "(not shown)";

/// A site's configuration: the base file with the site's overlay merged in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The name of the site, set by the overlay.
    pub site: site::Id,
    /// The versions of models, by id.
    #[serde(default)]
    pub versions: BTreeMap<version::Id, Version>,
    /// The plain services, by name. Each is served under `/services/<name>/`.
    #[serde(default)]
    pub services: BTreeMap<String, Service>,
    /// The endpoints, by id.
    #[serde(default)]
    pub endpoints: BTreeMap<endpoint::Id, Endpoint>,
    /// The client accounts, by id.
    #[serde(default)]
    pub accounts: BTreeMap<account::Id, Account>,
    /// The kinds of work that requests can name, such as `summary`, with their quality targets.
    #[serde(default)]
    pub kinds: BTreeMap<kind::Id, Kind>,
    /// The policy for choosing versions and endpoints.
    #[serde(default)]
    pub policy: Policy,
    /// The service that rates the quality of responses, if there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rater: Option<SocketAddr>,
    /// Keys for session tokens. The first one signs and all verify, so that keys can be rotated.
    #[serde(default)]
    pub session_keys: Vec<Key>,
}

impl Config {
    /// The configuration as YAML for display to operators. Secrets are masked, so it can't be
    /// published again.
    ///
    /// ```
    /// # use curranthook_settings::Config;
    /// let json = r#"{"site": "a", "session_keys": [{"id": "k", "secret": "c0ffee"}]}"#;
    /// let config: Config = serde_json::from_str(json).unwrap();
    /// assert!(config.to_masked_yaml().contains("site: a"));
    /// assert!(!config.to_masked_yaml().contains("c0ffee"));
    /// ```
    pub fn to_masked_yaml(&self) -> String {
        serde_saphyr::to_string(&self.to_masked_json()).expect("JSON can be written as YAML")
    }

    /// The configuration as JSON, with secrets masked.
    ///
    /// ```
    /// # use curranthook_settings::Config;
    /// let json = r#"{"site": "a", "session_keys": [{"id": "k", "secret": "c0ffee"}]}"#;
    /// let config: Config = serde_json::from_str(json).unwrap();
    /// assert_eq!(config.to_masked_json()["session_keys"][0]["secret"], "(not shown)");
    /// ```
    pub fn to_masked_json(&self) -> serde_json::Value {
        let mut json = serde_json::to_value(self).expect("a configuration can be written as JSON");
        let keys = json.get_mut("session_keys").and_then(serde_json::Value::as_array_mut);
        for key in keys.into_iter().flatten() {
            key["secret"] = MASK.into();
        }
        json
    }
}

/// A version of a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// The price per thousand tokens.
    pub price: price::Rate,
    /// The quality that the version's makers declare for kinds of work, from 0 to 1; only an
    /// initial estimate.
    #[serde(default)]
    pub quality: BTreeMap<kind::Id, f64>,
}

/// A plain service.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// HTTP methods whose calls are idempotent and may be retried. A call of any other method
    /// needs an idempotency key and runs at most once.
    #[serde(default)]
    pub repeatable: BTreeSet<String>,
    /// The price of one call.
    #[serde(default)]
    pub price: price::Micros,
}

/// A model engine or an instance of a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The failure domain that it is in.
    pub failure_domain: domain::Id,
    /// The versions that it serves, for a model engine.
    #[serde(default)]
    pub versions: BTreeSet<version::Id>,
    /// The service that it is an instance of, for a plain service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Whether it refuses orders with an outdated fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// The maximum number of requests that it runs concurrently.
    #[serde(default = "default_slots")]
    pub slots: usize,
}

fn default_slots() -> usize {
    const DEFAULT_SLOTS: usize = 16;
    DEFAULT_SLOTS
}

/// A client account.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// SHA-256 of each API key, in hexadecimal. The keys themselves are not stored.
    #[serde_as(as = "Vec<Hex>")]
    pub key_hashes: Vec<[u8; 32]>,
    /// The versions that the account may use.
    #[serde(default)]
    pub versions: BTreeSet<version::Id>,
    /// The plain services that the account may use.
    #[serde(default)]
    pub services: BTreeSet<String>,
    /// The account's quality targets for kinds of work, where they differ from the kind's own.
    #[serde(default)]
    pub quality: BTreeMap<kind::Id, f64>,
    /// The rate limit and queue weight.
    #[serde(default)]
    pub limit: Limit,
    /// Whether a session may move to another version when its own is withdrawn.
    #[serde(default)]
    pub sessions_may_move: bool,
}

/// An account's limits, which apply to all nodes of the site together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limit {
    /// Sustained rate, in requests per second.
    pub requests: f64,
    /// Maximum burst after a pause, in requests.
    pub burst: f64,
    /// Weight of the account's share in the queue when endpoints are busy, relative to the weights
    /// of other accounts.
    pub weight: f64,
}

impl Default for Limit {
    fn default() -> Self {
        Self { requests: 100.0, burst: 200.0, weight: 1.0 }
    }
}

/// The quality target and engine priority of the requests of one kind of work.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// The target quality: the fraction of responses that must be good enough, from 0 to 1.
    pub quality: f64,
    /// The priority passed to engines; the lowest value runs first.
    #[serde(default)]
    pub priority: i32,
}

/// The main objective when versions are chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Objective {
    /// A short time to the first token: a cascade is used only if it adds little latency.
    #[default]
    Latency,
    /// Few responses from bad versions: less exploration, higher confidence required that a version
    /// meets its target, and withdrawal of bad versions without an operator.
    Exposure,
}

/// The policy for choosing versions and endpoints.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// The main objective when versions are chosen.
    pub weigh: Objective,
    /// The maximum fraction of requests that are used to explore the quality of versions.
    pub exploration: f64,
    /// The fraction of responses that are sent to the rater.
    pub rating_sample: f64,
    /// The retry budget: retries allowed per successful request.
    pub retry_budget: f64,
    /// The deadline of requests that set none, measured from their arrival.
    #[serde(rename = "default_deadline_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub default_deadline: Duration,
    /// The maximum size of a request body, in bytes.
    pub max_body: usize,
    /// The maximum number of requests in a node's queue.
    pub queue: usize,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            weigh: Objective::Latency,
            exploration: 0.02,
            rating_sample: 0.1,
            retry_budget: 0.1,
            default_deadline: Duration::from_secs(60),
            max_body: 1024 * 1024,
            queue: 1_000,
        }
    }
}

/// A named secret.
#[serde_as]
#[derive(Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// The id of the key, which tokens contain.
    pub id: String,
    /// The secret, in hexadecimal.
    #[serde_as(as = "Hex")]
    pub secret: Vec<u8>,
}

impl std::fmt::Debug for Key {
    // Omits the secret, which must not appear in logs.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Key").field("id", &self.id).finish_non_exhaustive()
    }
}
