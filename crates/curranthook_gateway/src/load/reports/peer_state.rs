//! What a node learns from others before it places a request.

use std::time::Instant;

use curranthook_types::endpoint;

use crate::{
    Gateway,
    directory::Directory,
    load::{breakdown::PendingWork, in_flight::Figures},
};

/// What other nodes know about the candidate endpoints of a request.
#[derive(Debug, Clone, Default)]
pub struct PeerState {
    /// The work that they have pending at each of the given endpoints.
    pub waiting: PendingWork,
    /// The endpoints that recently prefilled the shared prompt parts; none if unknown.
    pub holders: Option<Vec<endpoint::Id>>,
    /// Those of the given endpoints to which no connection can be opened.
    pub unreachable: Vec<endpoint::Id>,
    /// The requests at each of the given endpoints, for a service without models.
    pub in_flight: Figures,
    /// The endpoints whose numbers of requests owners were asked for.
    pub asked: Vec<endpoint::Id>,
}

impl PeerState {
    /// Whether an owner has stated how many requests an endpoint takes. One that does not answer, or
    /// does not know yet that the endpoint is brittle, states nothing.
    pub fn knows_room(&self, endpoint: &endpoint::Id) -> bool {
        self.in_flight.limits.contains_key(endpoint)
    }

    /// Ejects the unreachable endpoints, and removes their work: it is no queue in which a request
    /// could wait, and as they have none, they would seem idle.
    pub fn eject_unreachable(&mut self, directory: &mut Directory, now: Instant) {
        for it in &self.unreachable {
            directory.eject(it, now);
            self.waiting.remove(it);
        }
    }

    /// Records that a request was sent, or not, upon what owners stated of room at endpoints.
    pub fn settle(&self, gateway: &Gateway) {
        let Figures { counts, limits, .. } = &self.in_flight;
        let told = limits.iter().filter(|(id, limit)| counts.get(*id) < Some(*limit));
        for (id, _) in told {
            gateway.in_flight_table.lock().settle(&gateway.settings.node, id, 1);
            if let Some(reports) = gateway.load_reports.get() {
                reports.queue_settled(id);
            }
        }
        if !limits.is_empty() {
            gateway.pending_work_changed.wake();
        }
    }

    /// Adds what `other` contains, which replaces what is known of the same endpoints.
    pub fn extend(&mut self, other: Self) {
        self.waiting.extend(other.waiting);
        self.unreachable.extend(other.unreachable);
        self.holders = other.holders.or(self.holders.take());
        self.in_flight.extend(other.in_flight);
        self.asked.extend(other.asked);
    }
}
