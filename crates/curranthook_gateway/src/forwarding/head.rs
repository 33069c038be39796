//! The headers that nodes add to a request that one of them forwards to another.

use http::{HeaderMap, HeaderName, HeaderValue};

/// The key that all nodes of the fleet share. Requests with this header are forwarded ones.
const KEY: HeaderName = HeaderName::from_static("forward-key");
/// The version of the sender's configuration.
const CONFIGURATION: HeaderName = HeaderName::from_static("forward-configuration");
/// The number of times that the request may have run before.
const RUNS: HeaderName = HeaderName::from_static("forward-runs");
/// Where a response comes from.
const RESULT: HeaderName = HeaderName::from_static("forward-result");

/// What a node states about a request that it forwards.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Forward<'a> {
    /// The key that all nodes of the fleet share.
    pub key: &'a str,
    /// The version of the sender's configuration. A node with an older one could refuse what the
    /// sender has admitted.
    pub configuration: u64,
    /// The number of times that the request may have run before.
    pub n_runs: u32,
}

/// A header of a forwarded request is missing or malformed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("header {0}")]
pub struct Invalid(&'static str);

impl<'a> Forward<'a> {
    /// Whether a request claims to be a forwarded one.
    pub fn is_claimed(headers: &HeaderMap) -> bool {
        headers.contains_key(KEY)
    }

    /// Parses the headers of a forwarded request.
    ///
    /// ```
    /// # use curranthook_gateway::forwarding::head::Forward;
    /// let (mut headers, it) = (Default::default(), Forward { key: "k", configuration: 7, n_runs: 1 });
    /// it.insert(&mut headers);
    /// assert_eq!(Forward::parse(&headers), Ok(it));
    /// assert!(Forward::parse(&Default::default()).is_err());
    /// ```
    pub fn parse(headers: &'a HeaderMap) -> Result<Self, Invalid> {
        let text = |name: &HeaderName| headers.get(name).and_then(|it| it.to_str().ok());
        Ok(Self {
            key: text(&KEY).ok_or(Invalid("forward-key"))?,
            configuration: text(&CONFIGURATION)
                .and_then(|it| it.parse().ok())
                .ok_or(Invalid("forward-configuration"))?,
            n_runs: text(&RUNS).and_then(|it| it.parse().ok()).ok_or(Invalid("forward-runs"))?,
        })
    }

    /// Adds the headers to a request.
    pub fn insert(&self, headers: &mut HeaderMap) {
        // A key that was read from a row is checked to be a valid header value.
        if let Ok(key) = HeaderValue::from_str(self.key) {
            headers.insert(KEY, key);
        }
        headers.insert(CONFIGURATION, self.configuration.into());
        headers.insert(RUNS, self.n_runs.into());
    }

    /// Removes the headers from a request, which an endpoint must not receive.
    pub fn remove(headers: &mut HeaderMap) {
        for name in [KEY, CONFIGURATION, RUNS] {
            headers.remove(name);
        }
    }
}

/// Where the response to a forwarded request comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// An endpoint.
    Endpoint,
    /// The node, which refuses the request for a reason that holds at any node.
    Refusal,
    /// The node, which cannot serve the request and has not sent it to any endpoint; another node
    /// may serve it.
    Elsewhere,
}

impl Source {
    /// Adds the header to a response.
    pub fn insert(self, headers: &mut HeaderMap) {
        headers.insert(RESULT, HeaderValue::from_static(self.name()));
    }

    /// Removes the header from a response, and parses it; none if the response is not one of a
    /// node.
    pub fn take(headers: &mut HeaderMap) -> Option<Self> {
        let value = headers.remove(RESULT)?;
        let all = [Self::Endpoint, Self::Refusal, Self::Elsewhere];
        all.into_iter().find(|it| value == it.name())
    }

    /// The name in the header and in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Endpoint => "endpoint",
            Self::Refusal => "refusal",
            Self::Elsewhere => "elsewhere",
        }
    }
}
