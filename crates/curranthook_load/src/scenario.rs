//! Scenario files: a site, its versions as they really are, its callers, and what happens when.

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
    /// Its name, for tables.
    pub name: String,
    /// The site's name.
    pub site: site::Id,
    /// The site's failure domains; processes are dealt out to them in turn.
    pub failure_domains: Vec<domain::Id>,
    /// How many routers are started.
    pub routers: usize,
    /// How many stewards are started, each beside a router.
    #[serde(default)]
    pub stewards: usize,
    /// The published settings of the policy.
    #[serde(default)]
    pub policy: config::Policy,
    /// The versions of models.
    pub versions: BTreeMap<version::Id, Version>,
    /// The groups of model engines.
    pub engines: Vec<Engines>,
    /// The plain services.
    #[serde(default)]
    pub services: Vec<Service>,
    /// The rating service, if there is one.
    #[serde(default)]
    pub rater: Option<Rater>,
    /// The client accounts.
    pub accounts: BTreeMap<account::Id, Account>,
    /// The kinds of work.
    pub kinds: BTreeMap<kind::Id, Kind>,
    /// Requests that arrive before this are sent but left out of the figures.
    #[serde(rename = "warmup_seconds", default)]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub warmup: Duration,
    /// The arrivals.
    pub phases: Vec<Phase>,
    /// Requests that are sent again and again with the same text.
    #[serde(default)]
    pub repeats: Vec<Repeat>,
    /// What happens while requests arrive.
    #[serde(default)]
    pub events: Vec<Event>,
}

/// A version as it really is.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// What it costs.
    pub price: price::Rate,
    /// The share of prompts that it answers well.
    pub quality: f64,
    /// The share that its makers claim; none for a version they say nothing of.
    #[serde(default)]
    pub claimed: Option<f64>,
    /// Milliseconds to the first token.
    pub first_token_ms: u64,
    /// Milliseconds between tokens.
    pub token_ms: u64,
    /// Tokens of an answer.
    pub tokens: u64,
    /// The share of requests that end in a server error.
    #[serde(default)]
    pub error_rate: f64,
}

/// Model engines that are alike.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engines {
    /// Their ids are this with `-1`, `-2` and so on.
    pub name: String,
    /// How many there are.
    pub count: usize,
    /// What they serve.
    pub versions: BTreeSet<version::Id>,
    /// How many requests each runs at once.
    pub slots: usize,
    /// How much longer a token takes for each other request in the batch, as a share.
    #[serde(default = "default_batch_slowdown")]
    pub batch_slowdown: f64,
}

impl Engines {
    /// The ids of the engines.
    pub fn ids(&self) -> impl Iterator<Item = String> {
        (1..=self.count).map(|n| format!("{}-{n}", self.name))
    }
}

/// A plain service.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name; the ids of its instances are this with `-1`, `-2` and so on.
    pub name: String,
    /// How many instances there are.
    pub count: usize,
    /// The price of a call.
    #[serde(default)]
    pub price: price::Micros,
}

impl Service {
    /// The ids of the instances.
    pub fn ids(&self) -> impl Iterator<Item = String> {
        (1..=self.count).map(|n| format!("{}-{n}", self.name))
    }
}

/// The rating service.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rater {
    /// The share of its ratings that are wrong.
    pub noise: f64,
}

/// A client account.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Its share of the arrivals, against the others.
    pub weight: f64,
    /// The versions it may use; all of the site if left out.
    #[serde(default)]
    pub versions: BTreeSet<version::Id>,
    /// How much it may ask for.
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
    /// Its share of the arrivals, against the others.
    pub weight: f64,
    /// The share of answers that must be good enough; unused for services.
    #[serde(default)]
    pub quality: f64,
    /// The priority passed to engines, lowest first.
    #[serde(default)]
    pub priority: i32,
    /// The model asked for; `auto` leaves it to the router.
    #[serde(default = "default_model")]
    pub model: String,
    /// The plain service called in place of a model.
    #[serde(default)]
    pub service: Option<String>,
    /// What a call of the plain service does.
    #[serde(default)]
    pub call: Call,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Words of a prompt.
    #[serde(default = "default_words")]
    pub words: usize,
    /// How many requests make up a session; without sessions if left out.
    #[serde(default)]
    pub session_length: Option<u64>,
    /// How long a caller waits.
    #[serde(rename = "deadline_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub deadline: Duration,
}

/// What a call of a plain service does.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    /// It writes an entry, which must not happen twice.
    #[default]
    Write,
    /// It reads, which may be repeated.
    Read,
}

/// A request that its caller sends again and again.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Repeat {
    /// Who sends it.
    pub account: account::Id,
    /// The kind of work.
    pub kind: kind::Id,
    /// The prompt.
    pub text: String,
    /// When it's first sent.
    #[serde(rename = "at_seconds")]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub at: Duration,
    /// How often it's sent.
    pub times: u32,
    /// The time between.
    #[serde(rename = "every_seconds")]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub every: Duration,
}

/// Why a scenario can't be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be read.
    #[error("can't read {path}: {why}")]
    Read {
        /// The file.
        path: String,
        /// What the system said.
        why: std::io::Error,
    },
    /// It isn't a scenario in YAML.
    #[error("not a scenario: {0}")]
    Parse(#[from] serde_saphyr::Error),
    /// It contradicts itself.
    #[error("the scenario doesn't hold together: {}", .0.join("; "))]
    Check(Vec<String>),
}

impl Scenario {
    /// Reads and checks a file.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path)
            .map_err(|why| Error::Read { path: path.display().to_string(), why })?;
        Self::parse(&text)
    }

    /// Parses and checks the text of a file.
    ///
    /// ```
    /// use curranthook_load::scenario::Scenario;
    /// assert!(Scenario::parse("name: unfinished").is_err());
    /// ```
    pub fn parse(text: &str) -> Result<Self, Error> {
        let scenario: Self = serde_saphyr::from_str(text)?;
        let faults = check::faults(&scenario);
        if faults.is_empty() { Ok(scenario) } else { Err(Error::Check(faults)) }
    }

    /// How long requests arrive.
    pub fn duration(&self) -> Duration {
        self.phases.iter().map(|it| it.duration).sum()
    }

    /// The versions that an account may use.
    pub fn allowed(&self, account: &account::Id) -> BTreeSet<version::Id> {
        let own = self.accounts.get(account).map(|it| it.versions.clone()).unwrap_or_default();
        if own.is_empty() { self.versions.keys().cloned().collect() } else { own }
    }

    /// Each version's true quality over time.
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
