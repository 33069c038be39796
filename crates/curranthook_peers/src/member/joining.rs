//! Whether a node that has started still has peers to meet.

use super::Members;

/// With so many peers in other failure domains a node's bill lines are safe.
const MIN_REPLICAS: usize = 2;

impl Members {
    /// Whether too few peers are known to be alive and some have been neither met nor missed.
    ///
    /// An answer given now would have its bill line on this VM alone.
    pub fn is_joining(&self) -> bool {
        if MIN_REPLICAS <= self.replica_candidates().len() {
            return false;
        }
        let state = self.state.lock();
        let mut other_domains =
            state.peers.values().filter(|it| it.domain.as_ref() != Some(&self.own.domain));
        other_domains.any(|it| it.identity.is_none() && it.failures == 0)
    }
}
