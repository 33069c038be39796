//! Which services this node is cut off from, while its callers, the store and other nodes reach it.
//!
//! One endpoint that fails is no partition. If connections to several endpoints of a service fail
//! and none succeeds, some others are probed; only if these fail, too, the node counts as cut off
//! from the service. Probes then find out when the partition ends.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use curranthook_types::endpoint;

/// The number of endpoints to which connections fail before others are probed.
pub const SUSPICIOUS_FAILURES: usize = 2;
/// How long a failed connection counts.
const FAILURE_EXPIRY: Duration = Duration::from_secs(3);

/// What is known of the paths to each service.
#[derive(Debug, Default)]
pub struct Reach {
    services: HashMap<String, Service>,
}

#[derive(Debug, Default)]
struct Service {
    /// The endpoints to which connections failed last, since one to any of them succeeded.
    failed: Vec<(endpoint::Id, Instant)>,
    state: State,
}

/// Whether a node reaches a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum State {
    /// Connections succeed, or few have failed.
    #[default]
    Reached,
    /// Connections to several endpoints have failed, and others are being probed.
    Suspected,
    /// No connection to any endpoint succeeds.
    CutOff,
}

impl Reach {
    /// Records that a connection to an endpoint could not be opened, or was lost. `n_endpoints` is
    /// the number of endpoints of the service. Returns whether others have to be probed.
    ///
    /// ```
    /// # use std::time::Instant;
    /// # use curranthook_gateway::forwarding::reach::{Reach, State};
    /// let (mut reach, now) = (Reach::default(), Instant::now());
    /// assert!(!reach.record_failure("models", &"engine-1".into(), 5, now));
    /// assert!(reach.record_failure("models", &"engine-2".into(), 5, now));
    /// reach.set_cut_off("models");
    /// assert_eq!(reach.state("models"), State::CutOff);
    /// assert!(reach.record_connection("models"));
    /// assert_eq!(reach.state("models"), State::Reached);
    /// ```
    pub fn record_failure(
        &mut self,
        service: &str,
        endpoint: &endpoint::Id,
        n_endpoints: usize,
        now: Instant,
    ) -> bool {
        let it = self.services.entry(service.to_owned()).or_default();
        if it.state != State::Reached {
            return false;
        }
        let is_recent = |at: Instant| now.saturating_duration_since(at) < FAILURE_EXPIRY;
        it.failed.retain(|(id, at)| id != endpoint && is_recent(*at));
        it.failed.push((endpoint.clone(), now));
        let is_suspicious = SUSPICIOUS_FAILURES.min(n_endpoints) <= it.failed.len();
        if is_suspicious {
            it.state = State::Suspected;
        }
        is_suspicious
    }

    /// Records that a connection to an endpoint of a service was opened and works. Returns whether
    /// the node was cut off from the service.
    pub fn record_connection(&mut self, service: &str) -> bool {
        self.services.remove(service).is_some_and(|it| it.state == State::CutOff)
    }

    /// Records that no probe of a suspected partition succeeded.
    pub fn set_cut_off(&mut self, service: &str) {
        if let Some(it) = self.services.get_mut(service).filter(|it| it.state == State::Suspected) {
            it.state = State::CutOff;
        }
    }

    /// Whether the node reaches a service.
    pub fn state(&self, service: &str) -> State {
        self.services.get(service).map_or(State::Reached, |it| it.state)
    }

    /// Whether a connection to an endpoint failed recently.
    pub fn has_failed(&self, service: &str, endpoint: &endpoint::Id) -> bool {
        let known = self.services.get(service);
        known.is_some_and(|it| it.failed.iter().any(|(id, _)| id == endpoint))
    }
}
