//! The configuration in force: routes, services, client accounts and limits.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use curranthook_types::account;

use crate::request::Model;

/// One version of the whole configuration.
#[derive(Debug, Default)]
pub struct Document {
    /// The version number. A node only ever changes to a higher one.
    pub version: u64,
    routes: HashMap<String, Vec<Arc<Route>>>,
    /// The services that routes refer to.
    pub services: BTreeMap<String, Service>,
    accounts: Option<HashMap<String, Account>>,
    /// Limits on what callers may send.
    pub limits: Limits,
}

/// A route: the requests to one host whose paths share a prefix.
#[derive(Debug, Clone)]
pub struct Route {
    /// The route's name, for logs.
    pub name: String,
    /// The host name in requests.
    pub host: String,
    /// The path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Whether the route's requests may be retried.
    pub retry_policy: RetryPolicy,
    /// The maximum time until a caller has the whole answer.
    pub timeout: Duration,
    /// The latency up to which an answer has its full value for the caller; a slower one has less.
    /// For a stream, the latency of the first event.
    pub latency_target: Duration,
    /// The maximum gap between two events for a stream to be on time.
    pub max_event_gap: Option<Duration>,
    /// The priority; 0 is served first.
    pub priority: u8,
    /// The models that may answer, the smallest first; empty if the caller names the model.
    pub models: Vec<String>,
    /// The services that receive the route's requests, with their weights.
    pub split: Vec<Share>,
    /// The maximum number of endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Who may call the route.
    pub access: Access,
}

/// A service and its share of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Share {
    /// The service's name.
    pub service: String,
    /// Its weight relative to the other services of the route.
    pub weight: f64,
}

/// Whether a request may be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPolicy {
    /// Any number of times.
    Idempotent,
    /// At most once.
    AtMostOnce,
    /// A stream of events that another endpoint can resume after the last event received.
    Resumable,
    /// A stream of events that is executed at most once.
    StreamOnce,
}

impl RetryPolicy {
    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Resumable | Self::StreamOnce)
    }

    /// Whether a request that may have been executed can be sent again.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }
}

/// Who may call a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access {
    /// Anybody.
    Public,
    /// Holders of an account's key. Anybody if the configuration has no accounts.
    Keyed,
}

/// A service, which is run by one or more endpoints.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Service {
    /// The models that its endpoints run, with the cost of each per thousand generated tokens;
    /// empty for a service without models.
    pub models: BTreeMap<String, f64>,
    /// The number of tokens in each event of a stream; 0 if unknown.
    pub tokens_per_event: u32,
    /// The maximum number of connections that an endpoint accepts from all nodes together; none for
    /// no limit.
    pub max_connections: Option<usize>,
    /// The requests per second that an endpoint in slow start accepts from all nodes together; none
    /// for no limit.
    pub slow_start_rate: Option<f64>,
    /// The number of prompt and output tokens that fit into the memory of each of its engines; none
    /// if unknown.
    pub memory_tokens: Option<u64>,
}

/// A client account, as found by one of its keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// The account's id.
    pub id: account::Id,
    /// The priority of its requests; overrides the route's.
    pub priority: Option<u8>,
}

/// Limits on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The maximum size of a body, in bytes.
    pub max_body: usize,
}

impl Default for Limits {
    fn default() -> Self {
        const MAX_BODY: usize = 4 * 1024 * 1024;
        Self { max_body: MAX_BODY }
    }
}

/// Why a request was denied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denied {
    /// No route matches the request's host and path.
    NoRoute,
    /// No account has the request's key, or the request has no key.
    UnknownKey,
}

impl Document {
    /// The names of all routes.
    pub fn route_names(&self) -> impl Iterator<Item = &str> {
        self.routes.values().flatten().map(|it| it.name.as_str())
    }

    /// Builds a configuration from its parts.
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

    /// Sets the client accounts, by key. Without accounts, no route requires a key.
    pub fn with_accounts(self, accounts: HashMap<String, Account>) -> Self {
        Self { accounts: Some(accounts), ..self }
    }

    /// Sets the limits.
    pub fn with_limits(self, limits: Limits) -> Self {
        Self { limits, ..self }
    }

    /// The route with the longest matching prefix.
    ///
    /// ```
    /// # use curranthook_gateway::document::Document;
    /// assert!(Document::default().route("a.example", "/x/").is_none());
    /// ```
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        // The port in a Host header is part of the dialled address, not of the name.
        let host = host.split_once(':').map_or(host, |(name, _)| name);
        self.routes.get(host)?.iter().find(|it| path.starts_with(&it.prefix))
    }

    /// The route of a request and the account of its caller. The account is none on a public route,
    /// or if the configuration has no accounts.
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

    /// The number of routes.
    pub fn n_routes(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}

impl Route {
    /// Whether the route's requests may name this model. Any one may be named on a route that lists
    /// none.
    ///
    /// ```
    /// # use curranthook_gateway::{document::Route, request::Model};
    /// # use curranthook_gateway::document::{Access, RetryPolicy};
    /// # let second = std::time::Duration::from_secs(1);
    /// let route = Route {
    ///     models: vec!["small".to_owned()],
    /// #   name: String::new(),
    /// #   host: String::new(),
    /// #   prefix: "/".to_owned(),
    /// #   retry_policy: RetryPolicy::Idempotent,
    /// #   timeout: second,
    /// #   latency_target: second,
    /// #   max_event_gap: None,
    /// #   priority: 0,
    /// #   split: Vec::new(),
    /// #   max_attempts: 1,
    /// #   access: Access::Public,
    ///     // …
    /// };
    /// assert!(route.accepts(&Model::Named("small".to_owned())) && route.accepts(&Model::Any));
    /// assert!(!route.accepts(&Model::Named("unknown".to_owned())));
    /// ```
    pub fn accepts(&self, requested: &Model) -> bool {
        match requested {
            Model::Named(name) => self.models.is_empty() || self.models.contains(name),
            Model::Any | Model::None => true,
        }
    }

    /// Picks the service for a request by weight. The same `position` in [0, 1) always gives the
    /// same service.
    pub fn service(&self, position: f64) -> Option<&str> {
        let total: f64 = self.split.iter().map(|it| it.weight).sum();
        let mut remaining = position * total;
        for it in &self.split {
            if remaining < it.weight {
                return Some(&it.service);
            }
            remaining -= it.weight;
        }
        self.split.last().map(|it| it.service.as_str())
    }
}
