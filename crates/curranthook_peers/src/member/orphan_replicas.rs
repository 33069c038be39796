//! Selects the nodes that replicate the bill lines of a lost VM.

use curranthook_types::vm;

use super::{Identity, Members, distinct_domains_first, rendezvous_hash};

/// Number of replicas of the bill lines of a lost VM.
const ORPHAN_REPLICAS: usize = 2;

impl Members {
    /// The nodes that replicate the lines of `lost_vm`, possibly including this one. Nodes that see
    /// the same peers select the same ones, so the lines don't spread over the fleet.
    pub fn orphan_replicas(&self, lost_vm: &vm::Id) -> Vec<Identity> {
        let mut candidates: Vec<_> = self.alive().into_iter().map(|it| it.identity).collect();
        candidates.push(self.own.clone());
        candidates.sort_by_cached_key(|it| rendezvous_hash(lost_vm, &it.vm));
        let mut nodes = distinct_domains_first(candidates);
        nodes.truncate(ORPHAN_REPLICAS);
        nodes
    }
}
