//! The requests of a version's first phases, and the endpoints that they go to.
//!
//! A version may fail only once its endpoints have as many requests at once as those of the old
//! version. The first phases send it few requests, which would leave each of its endpoints nearly
//! idle if they were spread over all of them. So many of these requests are concentrated on so few
//! endpoints that each gets the load of the busiest one of the old version. The other requests are
//! spread over the rest; their times can be compared with those of the old version, at equal load.

use curranthook_policy::hash;

/// The share of a trial's requests that are concentrated, if they are more than one endpoint needs.
const MIN_CONCENTRATED_SHARE: f64 = 0.5;
/// The maximum share. The others tell how long the version takes.
const MAX_CONCENTRATED_SHARE: f64 = 0.8;
/// The minimum load of an endpoint with concentrated requests, relative to the busiest one of the
/// old version. A service with fewer requests tells more about its version if they are spread.
const MIN_RELATIVE_LOAD: f64 = 0.5;

/// A request of a version's first phases.
#[derive(Debug, Clone, PartialEq)]
pub struct Trial {
    /// The version under test.
    pub version: String,
    /// The share of the service's sessions that go to the version.
    share: f64,
    /// The position of the request's session among these, from 0 to 1; none if the request must not
    /// be sent to a loaded endpoint.
    position: Option<f64>,
}

/// How the requests of a trial are distributed over the version's endpoints.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Split {
    /// The number of endpoints that get concentrated requests.
    pub n_endpoints: usize,
    /// The share of the requests that are concentrated.
    share: f64,
}

impl Trial {
    /// The trial of a request whose session has `position` among all sessions, from 0 to 1, of which
    /// those below `share` go to `version`.
    pub fn new(version: &str, position: f64, share: f64) -> Self {
        Self { version: version.to_owned(), share, position: Some(position / share) }
    }

    /// The same trial for a request that must not be sent to a loaded endpoint.
    pub fn spread(self) -> Self {
        Self { position: None, ..self }
    }

    /// How the requests are split; none if all are spread over all endpoints, because the load of
    /// the old version's endpoints is unknown, or not reached by this share of it. `old_loads` are
    /// the requests at those of the old version's `n_old` endpoints whose load is known.
    ///
    /// ```
    /// # use curranthook_gateway::rollouts::trial::Trial;
    /// let trial = Trial::new("v2", 0.0, 0.2);
    /// // The old version has 400 requests at once, of which 80 go to the new one.
    /// assert_eq!(trial.split(100, &[2, 4, 6, 4]).unwrap().n_endpoints, 7);
    /// assert!(trial.split(3, &[2, 4, 6, 4]).is_none());
    /// assert!(trial.split(100, &[]).is_none());
    /// ```
    pub fn split(&self, n_old: usize, old_loads: &[u32]) -> Option<Split> {
        let busiest = f64::from(*old_loads.iter().max()?).max(1.0);
        let sum: f64 = old_loads.iter().copied().map(f64::from).sum();
        let requests = self.share * sum / old_loads.len() as f64 * n_old as f64;
        if MAX_CONCENTRATED_SHARE * requests < MIN_RELATIVE_LOAD * busiest {
            return None;
        }
        let share = (busiest / requests).clamp(MIN_CONCENTRATED_SHARE, MAX_CONCENTRATED_SHARE);
        let n_endpoints = (share * requests / busiest).round().max(1.0) as usize;
        Some(Split { n_endpoints, share })
    }

    /// Whether the request is one of the concentrated ones.
    ///
    /// ```
    /// # use curranthook_gateway::rollouts::trial::Trial;
    /// let [first, last] = [0.0, 0.19].map(|position| Trial::new("v2", position, 0.2));
    /// let split = first.split(100, &[2, 4, 6, 4]).unwrap();
    /// assert!(first.is_concentrated(&split));
    /// assert!(!last.is_concentrated(&split));
    /// assert!(!first.spread().is_concentrated(&split));
    /// ```
    pub fn is_concentrated(&self, split: &Split) -> bool {
        self.position.is_some_and(|it| it < split.share)
    }

    /// The place of an endpoint in the order in which all nodes choose those that get concentrated
    /// requests, from the hash of its id.
    pub fn order(&self, id_hash: u64) -> u64 {
        hash::pair(hash::bytes(self.version.as_bytes()), id_hash)
    }
}
