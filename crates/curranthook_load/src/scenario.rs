//! Scenario files: a site, the true behaviour of its versions, its callers, and timed events.

use std::{
    collections::{BTreeMap, BTreeSet},
    path::Path,
    time::Duration,
};

use curranthook_settings::config;
use curranthook_types::{account, domain, kind, price, site, version};
use serde::Deserialize;
use serde_with::{DurationMilliSeconds, DurationSecondsWithFrac, serde_as};

use crate::{event::Event, schedule::Phase, truth};

mod check;

/// A scenario file.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Scenario name, used in tables.
    pub name: String,
    /// Site ID.
    pub site: site::Id,
    /// Failure domains of the site; processes are assigned to them round-robin.
    pub failure_domains: Vec<domain::Id>,
    /// Number of routers.
    pub routers: usize,
    /// Number of stewards, each on the VM of a router.
    #[serde(default)]
    pub stewards: usize,
    /// Published policy settings.
    #[serde(default)]
    pub policy: config::Policy,
    /// Model versions.
    pub versions: BTreeMap<version::Id, Version>,
    /// Groups of model engines.
    pub engines: Vec<Engines>,
    /// Plain services.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Rating service, if any.
    #[serde(default)]
    pub rater: Option<Rater>,
    /// Client accounts.
    pub accounts: BTreeMap<account::Id, Account>,
    /// Kinds of work.
    pub kinds: BTreeMap<kind::Id, Kind>,
    /// Requests that arrive within this time are sent but excluded from the metrics.
    #[serde(rename = "warmup_seconds", default)]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub warmup: Duration,
    /// Arrival phases.
    pub phases: Vec<Phase>,
    /// Requests that are sent repeatedly with the same text.
    #[serde(default)]
    pub repeats: Vec<Repeat>,
    /// Timed events during the run.
    #[serde(default)]
    pub events: Vec<Event>,
}

/// True behaviour of a version.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Price of the version.
    pub price: price::Rate,
    /// Share of prompts that it answers well.
    pub quality: f64,
    /// Quality claimed by the provider; absent if nothing is claimed.
    #[serde(default)]
    pub claimed: Option<f64>,
    /// Time to first token, in milliseconds.
    pub first_token_ms: u64,
    /// Time between tokens, in milliseconds.
    pub token_ms: u64,
    /// Tokens per answer.
    pub tokens: u64,
    /// Share of requests that end in a server error.
    #[serde(default)]
    pub error_rate: f64,
}

/// A group of identical model engines.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engines {
    /// ID prefix; engine IDs add `-1`, `-2` and so on.
    pub name: String,
    /// Number of engines.
    pub count: usize,
    /// Versions that they serve.
    pub versions: BTreeSet<version::Id>,
    /// Number of concurrent requests per engine.
    pub slots: usize,
    /// Relative increase in time per token for each other request in the batch.
    #[serde(default = "default_batch_slowdown")]
    pub batch_slowdown: f64,
}

impl Engines {
    /// Engine IDs.
    pub fn ids(&self) -> impl Iterator<Item = String> {
        (1..=self.count).map(|n| format!("{}-{n}", self.name))
    }
}

/// A group of identical instances of a service that isn't a model engine.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name and ID prefix; instance IDs add `-1`, `-2` and so on.
    pub name: String,
    /// Number of instances.
    pub count: usize,
    /// Price per call.
    #[serde(default)]
    pub price: price::Micros,
}

impl Service {
    /// Instance IDs.
    pub fn ids(&self) -> impl Iterator<Item = String> {
        (1..=self.count).map(|n| format!("{}-{n}", self.name))
    }
}

/// Rating service.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rater {
    /// Share of ratings that are wrong.
    pub noise: f64,
}

/// A client account.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Weight of the account in the distribution of arrivals.
    pub weight: f64,
    /// Versions that it may use; all versions of the site if omitted.
    #[serde(default)]
    pub versions: BTreeSet<version::Id>,
    /// Usage limits of the account.
    #[serde(default)]
    pub limit: config::Limit,
    /// Whether its sessions may move when their version is withdrawn.
    #[serde(default)]
    pub sessions_may_move: bool,
}

/// A kind of work.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Weight of the kind in the distribution of arrivals.
    pub weight: f64,
    /// Target share of good answers; unused for services.
    #[serde(default)]
    pub quality: f64,
    /// Priority passed to engines, lowest first.
    #[serde(default)]
    pub priority: i32,
    /// Model to request; `auto` lets the router choose.
    #[serde(default = "default_model")]
    pub model: String,
    /// Plain service to call instead of a model.
    #[serde(default)]
    pub service: Option<String>,
    /// Type of call to the plain service.
    #[serde(default)]
    pub call: Call,
    /// Whether to request a streamed response.
    #[serde(default)]
    pub stream: bool,
    /// Number of words in a prompt.
    #[serde(default = "default_words")]
    pub words: usize,
    /// Number of requests per session; no sessions if omitted.
    #[serde(default)]
    pub session_length: Option<u64>,
    /// Deadline of a request.
    #[serde(rename = "deadline_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub deadline: Duration,
}

/// Type of call to a plain service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    /// Writes an entry; must not be executed twice.
    #[default]
    Write,
    /// Reads; safe to repeat.
    Read,
}

/// A request that is sent repeatedly.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Repeat {
    /// Client account that sends it.
    pub account: account::Id,
    /// The kind of work.
    pub kind: kind::Id,
    /// Prompt text.
    pub text: String,
    /// Time of the first request.
    #[serde(rename = "at_seconds")]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub at: Duration,
    /// Number of times it is sent.
    pub times: u32,
    /// Interval between requests.
    #[serde(rename = "every_seconds")]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub every: Duration,
}

/// Reasons why a scenario can't be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be read.
    #[error("can't read {path}: {error}")]
    Read {
        /// Path of the file.
        path: String,
        /// Error from the operating system.
        error: std::io::Error,
    },
    /// The file isn't valid YAML of a scenario.
    #[error("not a scenario: {0}")]
    Parse(#[from] serde_saphyr::Error),
    /// The scenario is inconsistent.
    #[error("inconsistent scenario: {}", .0.join("; "))]
    Check(Vec<String>),
}

impl Scenario {
    /// Reads and validates a file.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| Error::Read { path: path.display().to_string(), error })?;
        Self::parse(&text)
    }

    /// Parses and validates the text of a file.
    ///
    /// ```
    /// use curranthook_load::scenario::Scenario;
    /// assert!(Scenario::parse("name: unfinished").is_err());
    /// ```
    pub fn parse(text: &str) -> Result<Self, Error> {
        let scenario: Self = serde_saphyr::from_str(text)?;
        let errors = check::errors(&scenario);
        if errors.is_empty() { Ok(scenario) } else { Err(Error::Check(errors)) }
    }

    /// Total duration of the arrivals.
    pub fn duration(&self) -> Duration {
        self.phases.iter().map(|it| it.duration).sum()
    }

    /// Versions that an account may use.
    pub fn allowed(&self, account: &account::Id) -> BTreeSet<version::Id> {
        let own = self.accounts.get(account).map(|it| it.versions.clone()).unwrap_or_default();
        if own.is_empty() { self.versions.keys().cloned().collect() } else { own }
    }

    /// True quality of each version over time.
    pub fn truth(&self) -> truth::Truth {
        let version = |(id, it): (&version::Id, &Version)| {
            let mut quality = vec![(Duration::ZERO, it.quality)];
            quality.extend(self.events.iter().filter_map(|event| event.quality_of(id)));
            quality.sort_by_key(|(since, _)| *since);
            (id.clone(), truth::Version { price: it.price, tokens: it.tokens, quality })
        };
        truth::Truth { versions: self.versions.iter().map(version).collect() }
    }
}

fn default_model() -> String {
    "auto".to_owned()
}

fn default_batch_slowdown() -> f64 {
    const SLOWDOWN: f64 = 0.02;
    SLOWDOWN
}

fn default_words() -> usize {
    const WORDS: usize = 40;
    WORDS
}
