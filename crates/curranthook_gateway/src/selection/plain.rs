//! Selection among the endpoints of a service without models, whose load is known as the number of
//! requests that all nodes have in flight there.

use std::time::Instant;

use super::{Criteria, Unavailable};
use crate::{
    directory::Tracked,
    load::{occupancy::Occupancy, reports::PeerState},
};

/// Those of the `covered` endpoints, whose load is known, that are likely to have room for a call
/// that runs once, and all of them for other requests. If none has room, the `others` are
/// candidates; the endpoints refuse what they have no room for.
pub(super) fn with_room<'a>(
    covered: Vec<&'a Tracked>,
    others: Vec<&'a Tracked>,
    criteria: &Criteria<'_>,
    peer_state: &PeerState,
    now: Instant,
) -> Result<Vec<&'a Tracked>, Unavailable> {
    if criteria.model.is_some() || !criteria.at_most_once {
        return Ok(covered);
    }
    let has_room =
        |it: &&Tracked| occupancy(it, peer_state, now).has_room(it.entry.slots, criteria.time_left);
    let covered: Vec<_> = covered.into_iter().filter(has_room).collect();
    match (covered.is_empty(), others.is_empty()) {
        (false, _) => Ok(covered),
        (true, false) => Ok(others),
        (true, true) => Err(Unavailable::Full),
    }
}

/// What is known about the requests at an endpoint of a service without models.
pub(super) fn occupancy(endpoint: &Tracked, peer_state: &PeerState, now: Instant) -> Occupancy {
    let figures = &peer_state.in_flight;
    let seen_by_owner = figures.observed.get(&endpoint.entry.id).map(|it| it.0);
    let observed = endpoint.observation(now).into_iter().chain(seen_by_owner);
    Occupancy {
        own: endpoint.in_flight,
        others: figures.counts.get(&endpoint.entry.id).copied(),
        estimated: endpoint.estimated_requests(now),
        observed: observed.min_by_key(|it| it.age),
        full_at: endpoint.full_at(now),
        slowdown: endpoint.slowdown.expected(now),
    }
}
