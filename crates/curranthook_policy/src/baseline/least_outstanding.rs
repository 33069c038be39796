//! Least-outstanding-requests load balancing.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use crate::{
    baseline::Balancer,
    endpoint::{Id, Member, Outcome, Reason, Selection, Unavailable},
};

/// Selects the endpoint with the fewest requests in flight from this node.
#[derive(Debug, Default)]
pub struct LeastOutstanding {
    members: Vec<Member>,
    in_flight: BTreeMap<Id, usize>,
    leaving: BTreeSet<Id>,
}

impl Balancer for LeastOutstanding {
    fn set_members(&mut self, members: Vec<Member>) {
        self.members = members;
    }

    fn select(
        &mut self,
        _: Option<u64>,
        exclude: &[Id],
        _: Instant,
    ) -> Result<Selection, Unavailable> {
        if self.members.is_empty() {
            return Err(Unavailable::Empty);
        }
        let eligible = self.members.iter().map(|it| &it.id);
        let eligible = eligible.filter(|id| !exclude.contains(id) && !self.leaving.contains(*id));
        let selected = eligible.min_by_key(|id| self.in_flight.get(*id).copied().unwrap_or(0));
        let id = selected.ok_or(Unavailable::AllExcluded)?;
        Ok(Selection { id: id.clone(), reason: Reason::Fixed })
    }

    fn started(&mut self, id: &Id, _: Instant) {
        *self.in_flight.entry(id.clone()).or_default() += 1;
    }

    fn finished(&mut self, id: &Id, _: Outcome, _: Instant) {
        if let Some(it) = self.in_flight.get_mut(id) {
            *it = it.saturating_sub(1);
        }
    }

    fn set_leaving(&mut self, id: &Id) {
        self.leaving.insert(id.clone());
    }

    fn clear_leaving(&mut self, id: &Id) {
        self.leaving.remove(id);
    }
}
