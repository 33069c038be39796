//! Estimates how long a call takes at an endpoint of a service without models.
//!
//! Addresses a load in which many nodes send short calls to few endpoints with few slots. A node
//! sends an endpoint a call or two per second, so the load that the endpoint reported to it is far
//! older than the load itself, whose calls take some 15 ms. The endpoint's load owner knows how
//! many requests all nodes have in flight there.

use std::time::Duration;

use curranthook_policy::slowdown::Factor;

use crate::{load::owners, settings::Contention};

/// The expected processing time of a call at an endpoint that is not slowed down.
pub const CALL_TIME: Duration = Duration::from_millis(15);
/// The maximum age of a reported number of requests. Nearly all calls that it counts have ended
/// after that time.
const MAX_COUNT_AGE: Duration = Duration::from_millis(100);

/// The number of requests that an endpoint reported in an answer, with its age.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Observation {
    /// The number of running and waiting requests.
    pub requests: u32,
    /// The time since the answer arrived.
    pub age: Duration,
}

impl Observation {
    /// Whether the report is recent enough to tell the number of requests at the endpoint.
    pub fn is_usable(&self) -> bool {
        self.age <= MAX_COUNT_AGE
    }

    /// The number of requests at the endpoint, if the report is recent enough for it.
    fn recent_requests(&self) -> Option<u32> {
        self.is_usable().then_some(self.requests)
    }
}

/// What a node knows about the requests at one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Occupancy {
    /// The number of this node's requests in flight there.
    pub own: u32,
    /// The number of requests that other nodes have in flight there, if the owner stated it.
    pub others: Option<u32>,
    /// The number of requests at the endpoint as this node estimates it from its own answers.
    pub estimated: u32,
    /// The newer of the numbers that this node and the owner saw last.
    pub observed: Option<Observation>,
    /// The number of requests that the endpoint had when it last refused one because it was full;
    /// none if it did not do so recently.
    pub full_at: Option<u32>,
    /// How long work is expected to take at the endpoint, relative to its usual time.
    pub slowdown: Factor,
}

impl Occupancy {
    /// The number of requests at the endpoint; this node's estimate if the owner stated none.
    ///
    /// Nodes whose reports do not reach the owner are missing from the owner's number: those that
    /// take another node for the owner, and those whose datagrams are lost. So a recent report of
    /// the endpoint itself may raise it.
    pub fn requests(&self) -> u32 {
        let counted = self.others.map(|it| it.saturating_add(self.own));
        let observed = self.observed.and_then(|it| it.recent_requests());
        counted.map_or(self.estimated, |it| it.max(observed.unwrap_or(0)))
    }

    /// The expected time until an endpoint with `slots` starts a call that is sent to it now, at
    /// usual speed; a call waits for a slot first if none is free.
    ///
    /// ```
    /// # use curranthook_gateway::load::occupancy::Occupancy;
    /// let occupied_by = |n| Occupancy { others: Some(n), ..Occupancy::default() };
    /// assert!(occupied_by(2).expected_wait(6) < occupied_by(12).expected_wait(6));
    /// ```
    pub fn expected_wait(&self, slots: u32) -> Duration {
        let (requests, slots) = (f64::from(self.requests()), f64::from(slots.max(1)));
        let queued = (requests + 1.0 - slots).max(0.0);
        // Prefers the less occupied of several endpoints with free slots, but less than a wait.
        let preference = 0.5 * (requests / slots).min(1.0);
        CALL_TIME.mul_f64(queued / slots + preference)
    }

    /// The expected time until the endpoint completes the call, at the speed expected of it.
    pub fn expected_time(&self, slots: u32) -> Duration {
        self.slowdown.scale(CALL_TIME + self.expected_wait(slots))
    }

    /// Whether an endpoint with `slots` is likely to have a slot or a place in its queue for a call
    /// that must end within `time_left`. Without a number from the owner, this node knows too
    /// little to refuse a call, and the endpoint itself refuses it if it is full.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use curranthook_gateway::load::occupancy::Occupancy;
    /// let second = Duration::from_secs(1);
    /// let full_at = Some(8);
    /// let occupied_by = |others| Occupancy { others, full_at, ..Occupancy::default() };
    /// assert!(occupied_by(Some(7)).has_room(6, second));
    /// assert!(!occupied_by(Some(8)).has_room(6, second));
    /// assert!(occupied_by(None).has_room(6, second));
    /// ```
    pub fn has_room(&self, slots: u32, time_left: Duration) -> bool {
        let is_full = self.full_at.is_some_and(|it| it <= self.requests());
        self.others.is_none() || (!is_full && self.expected_time(slots) <= time_left)
    }
}

/// Whether the nodes report their requests in flight at the endpoints of a service, and query the
/// load owners before they place a call. `reports_slowdown` is whether an endpoint of the service
/// has reported a slowdown.
///
/// ```
/// # use curranthook_gateway::{load::occupancy, settings::Contention};
/// assert!(occupancy::is_shared(Contention::ByRank, false, 89));
/// assert!(occupancy::is_shared(Contention::Ignored, true, 89));
/// assert!(!occupancy::is_shared(Contention::Ignored, false, 89));
/// assert!(!occupancy::is_shared(Contention::ByRank, true, 6));
/// ```
pub fn is_shared(contention: Contention, reports_slowdown: bool, n_nodes: usize) -> bool {
    owners::are_used(n_nodes) && (contention == Contention::ByRank || reports_slowdown)
}
