//! The configuration in force: routes, services, client accounts and limits.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use curranthook_types::account;

/// The whole configuration of one version.
#[derive(Debug, Default)]
pub struct Document {
    /// Its number. A node only ever moves to a higher one.
    pub version: u64,
    routes: HashMap<String, Vec<Arc<Route>>>,
    /// The services that routes name.
    pub services: BTreeMap<String, Service>,
    accounts: Option<HashMap<String, Account>>,
    /// What a caller may send.
    pub limits: Limits,
}

/// Requests of one host whose paths begin alike.
#[derive(Debug, Clone)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// What the path begins with; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub retry_policy: RetryPolicy,
    /// The longest that a caller is kept waiting for the whole answer.
    pub timeout: Duration,
    /// The time within which an answer is worth its full credit. For a stream: its first event.
    pub latency_target: Duration,
    /// The longest pause between the events of a stream that is still on time.
    pub max_event_gap: Option<Duration>,
    /// Its rank; 0 is served first.
    pub priority: u8,
    /// The models that may answer, the smallest first; empty if the caller names the model.
    pub models: Vec<String>,
    /// The services that take its requests, with the share of each.
    pub split: Vec<Share>,
    /// To how many endpoints one request may be sent.
    pub max_attempts: u32,
    /// Who may call it.
    pub access: Access,
}

/// A service's part of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Share {
    /// The service.
    pub service: String,
    /// Its weight among the others of the route.
    pub weight: f64,
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPolicy {
    /// As often as needed.
    Idempotent,
    /// At most once.
    AtMostOnce,
    /// A stream of events that another endpoint can go on with, after the last event received.
    Resumable,
    /// A stream of events that runs at most once.
    StreamOnce,
}

impl RetryPolicy {
    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Resumable | Self::StreamOnce)
    }

    /// Whether a request that may have run can be sent again.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }
}

/// Who may call a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access {
    /// Anybody.
    Public,
    /// The holder of an account's key, if the document has accounts.
    Keyed,
}

/// A service that endpoints belong to.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Service {
    /// The models its endpoints run, with what each costs for a thousand generated tokens; empty
    /// for a plain service.
    pub models: BTreeMap<String, f64>,
    /// How many tokens an event of a stream holds; 0 if unknown.
    pub tokens_per_event: u32,
    /// How many connections an endpoint takes from all nodes together; any number if there is none.
    pub max_connections: Option<usize>,
    /// How many requests a second an endpoint in slow start takes from all nodes together; any number
    /// if there is none.
    pub slow_start_rate: Option<f64>,
}

/// A client account, as one of its keys finds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// Its id.
    pub id: account::Id,
    /// The rank of its requests, which goes before the route's.
    pub priority: Option<u8>,
}

/// What a caller may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The largest body, in bytes.
    pub max_body: usize,
}

impl Default for Limits {
    fn default() -> Self {
        const MAX_BODY: usize = 4 * 1024 * 1024;
        Self { max_body: MAX_BODY }
    }
}

/// Why a request isn't let in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denied {
    /// No route for its host and path.
    NoRoute,
    /// No account has its key.
    UnknownKey,
}

impl Document {
    /// A document of these parts.
    pub fn new(version: u64, routes: Vec<Route>, services: BTreeMap<String, Service>) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for it in routes {
            by_host.entry(it.host.clone()).or_default().push(Arc::new(it));
        }
        for list in by_host.values_mut() {
            list.sort_by_key(|it| std::cmp::Reverse(it.prefix.len()));
        }
        Self { version, routes: by_host, services, accounts: None, limits: Limits::default() }
    }

    /// Sets the accounts, by key. Without any, nobody is asked for a key.
    pub fn with_accounts(self, accounts: HashMap<String, Account>) -> Self {
        Self { accounts: Some(accounts), ..self }
    }

    /// Sets the limits.
    pub fn with_limits(self, limits: Limits) -> Self {
        Self { limits, ..self }
    }

    /// The route of the longest prefix.
    ///
    /// ```
    /// # use curranthook_gateway::document::Document;
    /// assert!(Document::default().route("a.example", "/x/").is_none());
    /// ```
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        // A port in the host header is the address that the caller dialled, not part of the name.
        let host = host.split_once(':').map_or(host, |(name, _)| name);
        self.routes.get(host)?.iter().find(|it| path.starts_with(&it.prefix))
    }

    /// The route of a request and the account that calls; none on a public route.
    pub fn admit(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<(&Arc<Route>, Option<&Account>), Denied> {
        let route = self.route(host, path).ok_or(Denied::NoRoute)?;
        let (Some(accounts), Access::Keyed) = (&self.accounts, route.access) else {
            return Ok((route, None));
        };
        let account = key.and_then(|it| accounts.get(it)).ok_or(Denied::UnknownKey)?;
        Ok((route, Some(account)))
    }

    /// How many routes there are.
    pub fn n_routes(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}

impl Route {
    /// The service for a request. The same `place`, from 0 up to 1, always gives the same one.
    pub fn service(&self, place: f64) -> Option<&str> {
        let total: f64 = self.split.iter().map(|it| it.weight).sum();
        let mut left = place * total;
        for it in &self.split {
            if left < it.weight {
                return Some(&it.service);
            }
            left -= it.weight;
        }
        self.split.last().map(|it| it.service.as_str())
    }
}
