//! Round-robin load balancing.

use std::{collections::BTreeSet, time::Instant};

use crate::{
    baseline::Balancer,
    endpoint::{Id, Member, Outcome, Reason, Selection, Unavailable},
};

/// Selects endpoints in turn, regardless of their load.
#[derive(Debug, Default)]
pub struct RoundRobin {
    members: Vec<Member>,
    leaving: BTreeSet<Id>,
    next: usize,
}

impl Balancer for RoundRobin {
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
        for _ in 0..self.members.len() {
            let id = &self.members[self.next % self.members.len()].id;
            self.next = self.next.wrapping_add(1);
            if !exclude.contains(id) && !self.leaving.contains(id) {
                return Ok(Selection { id: id.clone(), reason: Reason::Fixed });
            }
        }
        Err(Unavailable::AllExcluded)
    }

    fn started(&mut self, _: &Id, _: Instant) {}

    fn finished(&mut self, _: &Id, _: Outcome, _: Instant) {}

    fn set_leaving(&mut self, id: &Id) {
        self.leaving.insert(id.clone());
    }

    fn clear_leaving(&mut self, id: &Id) {
        self.leaving.remove(id);
    }
}
