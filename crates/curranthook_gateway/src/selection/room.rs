//! Room for one more request at endpoints that fail if they have to reject many (see
//! [`brittle`](crate::brittle)).

use std::time::Instant;

use super::{Criteria, Unavailable, plain};
use crate::{
    Gateway,
    directory::{Directory, Tracked},
    load::{occupancy::Occupancy, owners, reports::PeerState},
};

/// Why a request may be sent to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Room {
    /// The endpoint can reject any number of requests.
    Any,
    /// The endpoint is brittle, and known to have room.
    Known,
    /// The endpoint is brittle, and this node holds a permit for an attempt.
    Permitted,
}

impl Room {
    /// The name in logs and metrics; none if room is not considered.
    pub fn name(self) -> Option<&'static str> {
        match self {
            Self::Any => None,
            Self::Known => Some("known"),
            Self::Permitted => Some("permitted"),
        }
    }
}

/// Those of the `endpoints` that a request may be sent to: all if they are not brittle, those with
/// known room, or those at which this node may make an attempt. Without any, the request is not to
/// be sent: a rejection costs more than it tells.
pub(super) fn with_room<'a>(
    gateway: &Gateway,
    directory: &Directory,
    endpoints: Vec<&'a Tracked>,
    criteria: &Criteria<'_>,
    peer_state: &PeerState,
    now: Instant,
) -> Result<(Vec<&'a Tracked>, Room), Unavailable> {
    if !directory.is_brittle(criteria.service, now) || endpoints.is_empty() {
        return Ok((endpoints, Room::Any));
    }
    let has_room = |it: &&Tracked| has_room(gateway, directory, it, criteria, peer_state, now);
    let (known, unknown): (Vec<_>, Vec<_>) = endpoints.into_iter().partition(has_room);
    if !known.is_empty() {
        return Ok((known, Room::Known));
    }
    let is_permitted = |it: &&Tracked| {
        let is_lent = criteria.borrowed == Some(&it.entry.id);
        (is_lent || it.brittle.is_some_and(|it| it.attempts.admits(now)))
            && may_attempt(gateway, directory, it, criteria, peer_state, now)
    };
    let permitted: Vec<_> = unknown.into_iter().filter(is_permitted).collect();
    if permitted.is_empty() { Err(Unavailable::Full) } else { Ok((permitted, Room::Permitted)) }
}

/// Whether an attempt without known room may succeed: the endpoint is not known to be full.
pub(super) fn may_attempt(
    gateway: &Gateway,
    directory: &Directory,
    endpoint: &Tracked,
    criteria: &Criteria<'_>,
    peer_state: &PeerState,
    now: Instant,
) -> bool {
    let limit = limit(endpoint, criteria, peer_state, now);
    let is_full = || {
        let requests = requests(gateway, directory, endpoint, peer_state, now);
        gateway.knows_requests() && requests.is_some_and(|it| limit <= it)
    };
    0 < limit && !is_full()
}

/// Whether an endpoint is known to have room for one more request of this node.
fn has_room(
    gateway: &Gateway,
    directory: &Directory,
    endpoint: &Tracked,
    criteria: &Criteria<'_>,
    peer_state: &PeerState,
    now: Instant,
) -> bool {
    let Some(share) = endpoint.brittle else { return false };
    let limit = limit(endpoint, criteria, peer_state, now);
    if !owners::are_used(gateway.n_nodes()) && !gateway.knows_requests() {
        return endpoint.in_flight < limit / share.rank.1.max(1);
    }
    let requests = requests(gateway, directory, endpoint, peer_state, now);
    requests.is_some_and(|it| share.has_part_of(limit.saturating_sub(it), now))
}

/// The number of requests up to which an endpoint takes the one with these criteria, as far as this
/// node or a load owner knows.
fn limit(endpoint: &Tracked, criteria: &Criteria<'_>, peer_state: &PeerState, now: Instant) -> u32 {
    let (id, figures) = (&endpoint.entry.id, &peer_state.in_flight);
    let own = endpoint.limits.requests(endpoint.entry.slots, criteria.prompt_tokens, now);
    let all = figures.limits.get(id).copied();
    let long = figures.long_prompts.get(id).filter(|(min, _)| *min <= criteria.prompt_tokens);
    let reported = all.into_iter().chain(long.map(|(_, limit)| *limit));
    reported.fold(own, u32::min)
}

/// The number of requests that all nodes have at an endpoint; none if this node does not know it.
fn requests(
    gateway: &Gateway,
    directory: &Directory,
    endpoint: &Tracked,
    peer_state: &PeerState,
    now: Instant,
) -> Option<u32> {
    let id = &endpoint.entry.id;
    let occupancy = plain::occupancy(endpoint, peer_state, now);
    let reported = || {
        let is_reported = !owners::are_used(gateway.n_nodes());
        let table = || gateway.in_flight_table.lock().count(id, &gateway.settings.node, now);
        is_reported.then(table)
    };
    // An owner that states no limit does not know the endpoint, or not that it is brittle, and gets
    // no reports of it.
    let is_counted = peer_state.in_flight.limits.contains_key(id)
        || directory.is_brittleness_spreading(&endpoint.entry.service, now);
    let others = occupancy.others.filter(|_| is_counted).or_else(reported)?;
    Some(Occupancy { others: Some(others), ..occupancy }.requests())
}
