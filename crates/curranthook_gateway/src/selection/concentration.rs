//! The endpoints of a version under test that get the load of a busy one (see
//! [`trial`](crate::rollouts::trial)).

use std::time::{Duration, Instant};

use crate::{directory::Tracked, rollouts::Rule};

/// The maximum age of a load that tells how busy the old version's endpoints are. A node of a large
/// fleet hears from each of them only now and then.
const MAX_LOAD_AGE: Duration = Duration::from_secs(10);

/// The endpoints that concentrated requests go to.
#[derive(Debug)]
pub(super) struct Concentration {
    /// The hashes of the endpoints' ids.
    id_hashes: Vec<u64>,
    /// Whether the request is one of the concentrated ones.
    includes_request: bool,
}

impl Concentration {
    /// The endpoints among those of a service that are `ready`, for a request under `rule`; none if
    /// no requests are concentrated.
    pub fn new(ready: &[&Tracked], rule: &Rule, now: Instant) -> Option<Self> {
        let Rule::Trial(trial) = rule else { return None };
        let (new, old): (Vec<&Tracked>, Vec<&Tracked>) =
            ready.iter().partition(|it| it.entry.version == trial.version);
        let observations = old.iter().filter_map(|it| it.observation(now));
        let is_recent = observations.filter(|it| it.age <= MAX_LOAD_AGE);
        let loads: Vec<u32> = is_recent.map(|it| it.requests).collect();
        let split = trial.split(old.len(), &loads)?;
        let mut id_hashes: Vec<u64> = new.iter().map(|it| it.id_hash).collect();
        id_hashes.sort_unstable_by_key(|it| trial.order(*it));
        id_hashes.truncate(split.n_endpoints);
        Some(Self { id_hashes, includes_request: trial.is_concentrated(&split) })
    }

    /// Whether the endpoint gets concentrated requests.
    pub fn contains(&self, endpoint: &Tracked) -> bool {
        self.id_hashes.contains(&endpoint.id_hash)
    }

    /// Whether the request is to be sent to an endpoint such as this one.
    pub fn is_intended(&self, endpoint: &Tracked) -> bool {
        self.includes_request == self.contains(endpoint)
    }
}
