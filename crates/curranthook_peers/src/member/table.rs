//! The table of all known peers.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::{Duration, Instant},
};

use curranthook_types::{domain, site, vm};
use rand_pcg::Pcg64;

use crate::member::{Identity, Stale};

/// Consecutive failed calls after which a peer is unreachable. A single failure may be transient.
const MAX_FAILURES: u32 = 2;
/// The first backoff of an unreachable peer, during which it is not called. It doubles with each
/// failed retry, up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_secs(5);
/// The longest backoff of an unreachable peer.
const MAX_BACKOFF: Duration = Duration::from_secs(60);
/// Maximum number of entries in the table, candidates included; others are ignored.
const MAX_PEERS: usize = 4_096;

#[derive(Debug, Default)]
pub(super) struct Peer {
    pub(super) identity: Option<Identity>,
    /// The failure domain: from the VM list or another peer at first, then from the peer itself.
    pub(super) domain: Option<domain::Id>,
    /// Whether the peer is on the last VM list that was read.
    pub(super) is_listed: bool,
    /// Whether the settings name the peer as a seed.
    pub(super) is_seed: bool,
    pub(super) in_view: bool,
    pub(super) is_alive: bool,
    pub(super) failures: u32,
    pub(super) last_call: Option<Instant>,
    /// For an unreachable peer: when it may be called again, and the current backoff.
    pub(super) retry_after: Option<(Instant, Duration)>,
}

#[derive(Debug)]
pub(super) struct Table {
    pub(super) peers: BTreeMap<SocketAddr, Peer>,
    /// The highest incarnation seen of each VM.
    pub(super) incarnations: HashMap<vm::Id, vm::Incarnation>,
    /// The last process of each VM that announced its departure.
    pub(super) departed: HashMap<vm::Id, vm::Incarnation>,
    pub(super) sites: HashMap<domain::Id, site::Id>,
    pub(super) n_calls: u64,
    pub(super) rng: Pcg64,
}

impl Table {
    pub(super) fn get_or_insert(&mut self, addr: SocketAddr) -> Option<&mut Peer> {
        if MAX_PEERS <= self.peers.len() && !self.peers.contains_key(&addr) {
            return None;
        }
        Some(self.peers.entry(addr).or_default())
    }

    pub(super) fn is_stale(&self, identity: &Identity) -> bool {
        let is_older =
            self.incarnations.get(&identity.vm).is_some_and(|it| identity.incarnation < *it);
        is_older || self.departed.get(&identity.vm).is_some_and(|it| identity.incarnation <= *it)
    }

    /// Records direct contact with a process. A replaced VM may keep its id and address while the
    /// old process still has calls in flight; those must not be attributed to the new process.
    pub(super) fn record_contact(&mut self, identity: &Identity) -> Result<(), Stale> {
        if self.is_stale(identity) {
            return Err(Stale);
        }
        self.incarnations.insert(identity.vm.clone(), identity.incarnation);
        self.sites.insert(identity.domain.clone(), identity.site.clone());
        Ok(())
    }
}

impl Peer {
    pub(super) fn may_call(&self, now: Instant) -> bool {
        self.retry_after.is_none_or(|(earliest, _)| earliest <= now)
    }

    pub(super) fn record_failure(&mut self, now: Instant) {
        self.failures += 1;
        if MAX_FAILURES <= self.failures {
            self.mark_unreachable(now);
        }
    }

    pub(super) fn mark_unreachable(&mut self, now: Instant) {
        let backoff = self.retry_after.map_or(MIN_BACKOFF, |(_, it)| (it * 2).min(MAX_BACKOFF));
        self.retry_after = Some((now + backoff, backoff));
        self.is_alive = false;
        self.in_view = false;
    }
}
