//! One site's configuration.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use curranthook_types::{account, domain, endpoint, kind, price, site, version};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, hex::Hex, serde_as};

/// Stands for a secret that isn't shown.
pub(crate) const MASK: &str = "(not shown)";

/// A site's configuration: the base file with the site's overlay merged in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The site's name; an overlay sets it.
    pub site: site::Id,
    /// The versions of models, by id.
    #[serde(default)]
    pub versions: BTreeMap<version::Id, Version>,
    /// The plain services, by name. Callers reach one under `/services/<name>/`.
    #[serde(default)]
    pub services: BTreeMap<String, Service>,
    /// The endpoints, by id.
    #[serde(default)]
    pub endpoints: BTreeMap<endpoint::Id, Endpoint>,
    /// The client accounts, by id.
    #[serde(default)]
    pub accounts: BTreeMap<account::Id, Account>,
    /// The kinds of work, by name.
    #[serde(default)]
    pub kinds: BTreeMap<kind::Id, Kind>,
    /// How versions and endpoints are chosen.
    #[serde(default)]
    pub policy: Policy,
    /// The service that rates answers, if there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rater: Option<SocketAddr>,
    /// Keys for session tokens. The first signs; all verify, so that keys can be rotated.
    #[serde(default)]
    pub session_keys: Vec<Key>,
}

impl Config {
    /// The configuration as YAML for an operator's eyes: secrets are masked, so it can't be
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

    /// The same as JSON.
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
    /// What it costs.
    pub price: price::Rate,
    /// The quality that its makers claim, from 0 to 1, for kinds of work; only a starting point.
    #[serde(default)]
    pub quality: BTreeMap<kind::Id, f64>,
}

/// A plain service.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// HTTP methods whose calls may be repeated. A call of any other method needs an
    /// idempotency key and runs at most once.
    #[serde(default)]
    pub repeatable: BTreeSet<String>,
    /// The price of a call.
    #[serde(default)]
    pub price: price::Micros,
}

/// A model engine or an instance of a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub failure_domain: domain::Id,
    /// The versions that it serves, for a model engine.
    #[serde(default)]
    pub versions: BTreeSet<version::Id>,
    /// The service that it belongs to, for a plain service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Whether it refuses an order with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// How many requests it runs at once.
    #[serde(default = "default_slots")]
    pub slots: usize,
}

fn default_slots() -> usize {
    const SLOTS: usize = 16;
    SLOTS
}

/// A client account.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// SHA-256 of each API key, in hexadecimal. The keys themselves are kept nowhere.
    #[serde_as(as = "Vec<Hex>")]
    pub key_hashes: Vec<[u8; 32]>,
    /// The versions it may use.
    #[serde(default)]
    pub versions: BTreeSet<version::Id>,
    /// The plain services it may use.
    #[serde(default)]
    pub services: BTreeSet<String>,
    /// The quality it wants for kinds of work, where it differs from the kind's own.
    #[serde(default)]
    pub quality: BTreeMap<kind::Id, f64>,
    /// How much it may ask for.
    #[serde(default)]
    pub limit: Limit,
    /// Whether a session may move to another version when its own is withdrawn.
    #[serde(default)]
    pub sessions_may_move: bool,
}

/// An account's limits, for all of the site's nodes together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limit {
    /// Requests a second.
    pub requests: f64,
    /// Requests that may come at once after a pause.
    pub burst: f64,
    /// Its share in the queue when endpoints are busy, against the weights of other accounts.
    pub weight: f64,
}

impl Default for Limit {
    fn default() -> Self {
        Self { requests: 100.0, burst: 200.0, weight: 1.0 }
    }
}

/// A kind of work.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// The share of answers that must be good enough, from 0 to 1.
    pub quality: f64,
    /// The priority passed to engines, lowest first.
    #[serde(default)]
    pub priority: i32,
}

/// What is weighed most when versions are chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Objective {
    /// A quick first token: a cascade is used only where it hardly delays.
    #[default]
    Latency,
    /// Few answers by bad versions: less exploration, an earlier verdict.
    Exposure,
}

/// How versions and endpoints are chosen.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// What is weighed most.
    pub weigh: Objective,
    /// The share of requests that may go to a version to learn about it.
    pub exploration: f64,
    /// The share of answers that are sent to the rater.
    pub rating_sample: f64,
    /// Retries allowed for each success.
    pub retry_budget: f64,
    /// How long a request may wait when it names no deadline.
    #[serde(rename = "default_deadline_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub default_deadline: Duration,
    /// The largest request body, in bytes.
    pub max_body: usize,
    /// How many requests may wait in a node's queue.
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
    /// Its name, which tokens carry.
    pub id: String,
    /// The secret, in hexadecimal.
    #[serde_as(as = "Hex")]
    pub secret: Vec<u8>,
}

impl std::fmt::Debug for Key {
    // The secret stays out of logs.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Key").field("id", &self.id).finish_non_exhaustive()
    }
}
