//! Detects response headers that no decoder reads.
//!
//! Nothing else reveals such a header: the endpoint's responses are forwarded as usual, and
//! whatever the header requests is silently ignored.

use std::collections::HashSet;

use curranthook_types::endpoint;

/// The total number of headers that are reported.
const MAX_REPORTED: usize = 512;

/// The headers that have been reported.
#[derive(Debug, Default)]
pub struct UnknownHeaders {
    reported: HashSet<Header>,
}

#[derive(Debug, PartialEq, Eq, Hash)]
struct Header {
    endpoint: endpoint::Id,
    name: String,
    value: String,
}

impl UnknownHeaders {
    /// Whether a header is to be reported: the first time that an endpoint sends it with that
    /// value.
    ///
    /// ```
    /// # use curranthook_gateway::unknown_headers::UnknownHeaders;
    /// let mut headers = UnknownHeaders::default();
    /// assert!(headers.is_new(&"engine-1".into(), "x-new", "7"));
    /// assert!(!headers.is_new(&"engine-1".into(), "x-new", "7"));
    /// assert!(headers.is_new(&"engine-1".into(), "x-new", "8"));
    /// assert!(headers.is_new(&"engine-2".into(), "x-new", "7"));
    /// ```
    pub fn is_new(&mut self, endpoint: &endpoint::Id, name: &str, value: &str) -> bool {
        let header =
            || Header { endpoint: endpoint.clone(), name: name.into(), value: value.into() };
        self.reported.len() < MAX_REPORTED && self.reported.insert(header())
    }
}
