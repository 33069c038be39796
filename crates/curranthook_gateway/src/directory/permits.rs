//! This node's permits for endpoints that limit the requests of all nodes together.

use std::time::{Duration, Instant};

use curranthook_types::endpoint;

use super::Directory;
use crate::brittle;

/// Computes this node's part of a rate that all nodes share at one endpoint: the minimum interval
/// between two requests, or none if the node may send no requests. Endpoints are identified by the
/// hash of their id.
pub trait Permits {
    /// The minimum interval between two requests to an endpoint in slow start.
    fn slow_start(&self, endpoint: u64) -> Option<Duration>;
    /// The minimum interval between two requests to an endpoint that limits all nodes to `rate`
    /// requests per second, in the current rotation.
    fn rate_limited(&self, endpoint: u64, rate: f64) -> Option<Duration>;
    /// This node's rank among the nodes that divide the room at an endpoint, and their number.
    fn rank(&self, endpoint: u64) -> (u32, u32);
    /// The number of the current rotation (see [`rate_limit::rotation`](crate::rate_limit::rotation)).
    fn rotation(&self) -> u64;
}

impl Directory {
    /// Recomputes this node's outdated permits for those endpoints of a service that bound the rate
    /// of all nodes together.
    pub fn renew_permits(&mut self, service: &str, permits: &impl Permits, now: Instant) {
        let attempt_rate = self.statements.max_rejections(service, now).map(brittle::attempt_rate);
        for it in self.endpoints.values_mut().filter(|it| it.entry.service == service) {
            let slow_start = it.slow_start.as_mut();
            if let Some(slow_start) = slow_start.filter(|it| it.is_outdated(now)) {
                slow_start.share.set_interval(permits.slow_start(it.id_hash), now);
            }
            it.renew_share(attempt_rate, permits, now);
            let (limit, rotation) = (it.advertised.rate_limit.as_mut(), permits.rotation());
            if let Some(limit) = limit.filter(|it| it.is_outdated(rotation, now)) {
                limit.set_interval(permits.rate_limited(it.id_hash, limit.rate), rotation, now);
            }
        }
    }

    /// Counts a request of another node under this node's permits. Returns whether they were due;
    /// otherwise the other node may not send it.
    pub fn lend_permit(&mut self, id: &endpoint::Id, now: Instant) -> bool {
        let Some(it) = self.endpoints.get_mut(id) else { return false };
        let is_paused = it.paused_until(now).is_some();
        if !it.is_available() || is_paused || !it.has_due_permits(now) {
            return false;
        }
        it.use_permits(now);
        if let Some(share) = &mut it.brittle {
            share.attempts.sent(now);
        }
        true
    }

    /// The time until this node's permit for an endpoint is due; none if it holds none.
    pub fn permit_due_in(&self, id: &endpoint::Id, now: Instant) -> Option<Duration> {
        self.endpoints.get(id)?.permit_due_in(now)
    }

    /// The requests per second that this node recently sent to those endpoints of a service whose
    /// rate all nodes share.
    pub fn permit_usage(&self, service: &str, now: Instant) -> f64 {
        self.permit_usage.rate(service, now)
    }
}
