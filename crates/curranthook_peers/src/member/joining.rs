//! Whether a node that has just started still has peers to contact.

use super::Members;

/// Number of live peers in other failure domains that a node needs to replicate its bill lines.
const MIN_REPLICAS: usize = 2;

impl Members {
    /// Whether too few live peers are known while some have not yet been called.
    ///
    /// The bill line of a response that is served in this state could exist on this VM only.
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
