//! Who keeps the bill lines of a VM that is gone.

use curranthook_types::vm;

use super::{Identity, Members, domains_first, rank};

/// How many nodes keep them.
const KEEPERS: usize = 2;

impl Members {
    /// The nodes that keep the lines of `gone`, this one perhaps among them. Nodes that see the
    /// same peers name the same ones, so lines don't spread over the fleet.
    pub fn keepers(&self, gone: &vm::Id) -> Vec<Identity> {
        let mut all: Vec<_> = self.alive().into_iter().map(|it| it.identity).collect();
        all.push(self.own.clone());
        all.sort_by_cached_key(|it| rank(gone, &it.vm));
        let mut keepers = domains_first(all);
        keepers.truncate(KEEPERS);
        keepers
    }
}
