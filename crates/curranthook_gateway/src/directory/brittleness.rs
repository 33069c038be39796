//! What is known of endpoints that fail if they have to reject many requests (see
//! [`brittle`](crate::brittle)).

use std::time::Instant;

use curranthook_types::endpoint;

use super::Directory;
use crate::brittle::{Statement, limit::Rejection};

impl Directory {
    /// Records what an endpoint of `service` stated. Returns whether other nodes are to be told.
    pub fn record_statement(&mut self, service: &str, statement: Statement) -> bool {
        self.statements.record(service, statement)
    }

    /// Whether the endpoints of a service have ever stated that they are brittle.
    pub fn knows_statement(&self, service: &str) -> bool {
        self.statements.contains(service)
    }

    /// The valid statements of brittle endpoints, by service.
    pub fn statements(&self, now: Instant) -> impl Iterator<Item = (&str, Statement)> {
        self.statements.valid(now)
    }

    /// Whether the endpoints of a service state that they are brittle.
    pub fn is_brittle(&self, service: &str, now: Instant) -> bool {
        self.statements.max_rejections(service, now).is_some()
    }

    /// Whether some nodes may not know yet that the endpoints of a service are brittle.
    pub fn is_brittleness_spreading(&self, service: &str, now: Instant) -> bool {
        self.statements.is_spreading(service, now)
    }

    /// Records that a brittle endpoint rejected a request.
    pub fn record_rejection(&mut self, id: &endpoint::Id, rejection: Rejection, now: Instant) {
        if let Some(it) = self.endpoints.get_mut(id) {
            let stated = self.statements.max_rejections(&it.entry.service, now);
            it.limits.record(rejection, it.entry.slots, stated.unwrap_or_default(), now);
        }
    }

    /// The number of requests that an endpoint is known to take; none if it is not brittle.
    pub fn brittle_limit(&self, id: &endpoint::Id, now: Instant) -> Option<u32> {
        let it = self.endpoints.get(id).filter(|it| self.is_brittle(&it.entry.service, now))?;
        Some(it.limits.requests(it.entry.slots, 0, now))
    }

    /// The number of requests with long prompts that a brittle endpoint is known to take, and from
    /// which number of tokens on a prompt is long; none if it takes them as any others.
    pub fn long_prompt_limit(&self, id: &endpoint::Id, now: Instant) -> Option<(u64, u32)> {
        let it = self.endpoints.get(id).filter(|it| self.is_brittle(&it.entry.service, now))?;
        let min = it.limits.min_long_prompt(it.entry.slots, now)?;
        Some((min, it.limits.requests(it.entry.slots, min, now)))
    }

    /// Records that an attempt without known room is being made at a brittle endpoint.
    pub fn attempt_sent(&mut self, id: &endpoint::Id, now: Instant) {
        if let Some(it) = self.endpoints.get_mut(id).and_then(|it| it.brittle.as_mut()) {
            it.attempts.sent(now);
        }
    }
}
