//! Which peers there are, and which of them this node reaches.
//!
//! The platform's VM list lags and peers may be wrong about one another: two nodes that both
//! reach a third may not reach each other. A node that believed others would remove peers it
//! reaches, or call ones it doesn't. So the list and peers' words only name candidates; a peer is
//! alive when a call of ours was answered lately, and stops being so when our calls fail.
//!
//! Only a bounded view is called in turn, so the cost doesn't grow with the fleet.

mod identity;
mod joining;
mod orphan_replicas;
mod table;
mod view;

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Instant,
};

use curranthook_platform::{Vm, VmState};
use curranthook_types::{Clock, domain, site, vm};
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use self::table::{Peer, Table};
pub use self::{
    identity::Identity,
    view::{Contact, View},
};
use crate::tuning::Trust;

/// How many peers of its own failure domain a node calls in turn.
const VIEW_SIZE_SAME_DOMAIN: usize = 6;
/// How many peers of the site's other failure domains.
const VIEW_SIZE_SAME_SITE: usize = 6;
/// How many peers of other sites, or of which nothing is known yet.
const VIEW_SIZE_REMOTE: usize = 4;
/// One peer of each full part of the view is exchanged after this many turns. With views that
/// never change, a part of the fleet could end up in nobody else's view and miss every exchange.
const CALLS_PER_SHUFFLE: u64 = 60;

/// The process was replaced by a later one of the same VM, or has said that it leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a later process of this VM is known, or this one has left")]
pub struct Stale;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Proximity {
    SameDomain,
    SameSite,
    Remote,
}

impl Proximity {
    fn view_size(self) -> usize {
        match self {
            Self::SameDomain => VIEW_SIZE_SAME_DOMAIN,
            Self::SameSite => VIEW_SIZE_SAME_SITE,
            Self::Remote => VIEW_SIZE_REMOTE,
        }
    }
}

/// The order in which the parts of the view are called.
const CALL_ORDER: [Proximity; 4] =
    [Proximity::SameDomain, Proximity::SameSite, Proximity::SameDomain, Proximity::Remote];

/// The peers of one node.
#[derive(Debug)]
pub struct Members {
    own: Identity,
    trust: Trust,
    clock: Arc<dyn Clock>,
    state: Mutex<Table>,
}

impl Members {
    /// No peers yet; `seed` feeds the choice of the view.
    pub fn new(own: Identity, trust: Trust, clock: Arc<dyn Clock>, seed: u64) -> Self {
        let state = Table {
            peers: BTreeMap::new(),
            incarnations: HashMap::new(),
            departed: HashMap::new(),
            sites: HashMap::from([(own.domain.clone(), own.site.clone())]),
            n_calls: 0,
            rng: Pcg64::seed_from_u64(seed),
        };
        Self { own, trust, clock, state: Mutex::new(state) }
    }

    /// Who this node is.
    pub fn own_identity(&self) -> &Identity {
        &self.own
    }

    /// Takes over a VM list. It makes no peer alive and removes none that answers.
    pub fn update_vm_list(&self, vms: &[Vm]) {
        let mut state = self.state.lock();
        for peer in state.peers.values_mut() {
            peer.is_listed = false;
        }
        let listed = vms.iter().filter(|it| it.state == VmState::Live && it.id != self.own.vm);
        for vm in listed {
            if let Some(peer) = state.get_or_insert(vm.address) {
                peer.is_listed = true;
                peer.domain = Some(vm.failure_domain.clone());
            }
        }
        // A list read before this node's neighbours are on it doesn't name those that the settings
        // do; without them the node would be alone until the next read.
        state.peers.retain(|_, it| it.is_listed || it.is_seed || it.in_view || it.is_alive);
    }

    /// Adds a candidate of which only the address is known.
    pub fn add_seed(&self, addr: SocketAddr) {
        if addr == self.own.addr {
            return;
        }
        if let Some(peer) = self.state.lock().get_or_insert(addr) {
            peer.is_seed = true;
        }
    }

    /// Adds a candidate that a peer named.
    pub fn add_candidate(&self, identity: &Identity) {
        if identity.vm == self.own.vm || identity.addr == self.own.addr {
            return;
        }
        let mut state = self.state.lock();
        if state.is_stale(identity) {
            return;
        }
        state.sites.insert(identity.domain.clone(), identity.site.clone());
        let trusts_reports = self.trust == Trust::Others;
        let Some(peer) = state.get_or_insert(identity.addr) else { return };
        peer.domain.get_or_insert_with(|| identity.domain.clone());
        if trusts_reports && peer.identity.is_none() {
            peer.identity = Some(identity.clone());
            peer.is_alive = true;
            peer.in_view = true;
        }
    }

    /// Learns which failure domains belong to a site, from a configuration.
    pub fn add_site_domains<'a>(
        &self,
        site: &site::Id,
        domains: impl Iterator<Item = &'a domain::Id>,
    ) {
        let mut state = self.state.lock();
        for domain in domains {
            state.sites.entry(domain.clone()).or_insert_with(|| site.clone());
        }
    }

    /// A call of ours to `addr` was answered by `identity`.
    pub fn record_answer(&self, addr: SocketAddr, identity: &Identity) -> Result<(), Stale> {
        if identity.vm == self.own.vm {
            // A seed may be this node's own address under another name.
            self.state.lock().peers.remove(&addr);
            return Err(Stale);
        }
        let mut state = self.state.lock();
        state.record_contact(identity)?;
        let Some(peer) = state.get_or_insert(addr) else { return Ok(()) };
        peer.identity = Some(identity.clone());
        peer.domain = Some(identity.domain.clone());
        peer.is_alive = true;
        peer.failures = 0;
        peer.retry_after = None;
        Ok(())
    }

    /// A peer called us. That it reaches us doesn't say that we reach it, so it's no more than a
    /// candidate; but it's worth trying again at once.
    pub fn record_caller(&self, identity: &Identity) -> Result<(), Stale> {
        if identity.vm == self.own.vm {
            return if identity.incarnation == self.own.incarnation { Ok(()) } else { Err(Stale) };
        }
        let mut state = self.state.lock();
        state.record_contact(identity)?;
        if let Some(peer) = state.get_or_insert(identity.addr) {
            peer.domain = Some(identity.domain.clone());
            if let Some((_, backoff)) = peer.retry_after {
                peer.retry_after = Some((self.clock.now(), backoff));
            }
        }
        Ok(())
    }

    /// A call of ours was answered by a peer that didn't say who it is. Failures before it don't
    /// count any more: a few slow calls spread over many quick ones are no reason to drop a peer.
    pub fn reset_failures(&self, addr: SocketAddr) {
        if let Some(peer) = self.state.lock().peers.get_mut(&addr) {
            peer.failures = 0;
        }
    }

    /// A call of ours failed.
    pub fn record_failure(&self, addr: SocketAddr) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let Some(peer) = state.peers.get_mut(&addr) else { return };
        peer.record_failure(now);
    }

    /// A peer says that it can't reach `addr`.
    pub fn record_unreachable_report(&self, addr: SocketAddr) {
        if self.trust == Trust::Own {
            return;
        }
        let now = self.clock.now();
        if let Some(peer) = self.state.lock().peers.get_mut(&addr) {
            peer.mark_unreachable(now);
        }
    }

    /// A peer said itself that it leaves.
    pub fn record_departure(&self, identity: &Identity) {
        let mut state = self.state.lock();
        let departed = state.departed.entry(identity.vm.clone()).or_default();
        *departed = (*departed).max(identity.incarnation);
        state.peers.remove(&identity.addr);
    }

    /// The peer to call now: the parts of the view in turn, within each the one that failed
    /// last time, or else the one that has waited longest.
    pub fn next_peer(&self) -> Option<SocketAddr> {
        let now = self.clock.now();
        let mut state = self.state.lock();
        state.n_calls += 1;
        if state.n_calls.is_multiple_of(CALLS_PER_SHUFFLE) {
            self.shuffle_view(&mut state, now);
        }
        self.fill_view(&mut state, now);
        let start = state.n_calls as usize;
        (0..CALL_ORDER.len()).find_map(|n| {
            let proximity = CALL_ORDER[(start + n) % CALL_ORDER.len()];
            let candidates = state
                .peers
                .iter()
                .filter(|(_, it)| it.in_view && self.proximity(&state.sites, it) == proximity);
            let addr = candidates
                .min_by_key(|(_, it)| (it.failures == 0, it.last_call))
                .map(|it| *it.0)?;
            state.peers.get_mut(&addr)?.last_call = Some(now);
            Some(addr)
        })
    }

    /// A few peers at random, for a start without a configuration.
    pub fn random_peers(&self, n: usize) -> Vec<SocketAddr> {
        let mut state = self.state.lock();
        let mut candidates: Vec<_> = state.peers.keys().copied().collect();
        let mut selected = Vec::new();
        while selected.len() < n && !candidates.is_empty() {
            let index = state.rng.random_range(0..candidates.len());
            selected.push(candidates.swap_remove(index));
        }
        selected
    }

    /// Peers that are alive.
    pub fn alive(&self) -> Vec<Contact> {
        let state = self.state.lock();
        let alive = state.peers.values().filter(|it| it.is_alive);
        let contact =
            |it: &Peer| Some(Contact { identity: it.identity.clone()?, failures: it.failures });
        alive.filter_map(contact).collect()
    }

    /// Peers that are alive, in other failure domains, best first: of this site, and then in an
    /// order that is this node's own and stays the same, so that few peers hold its lines.
    pub fn replica_candidates(&self) -> Vec<Identity> {
        let mut candidates: Vec<_> = self.alive();
        candidates.retain(|it| it.identity.domain != self.own.domain);
        candidates.sort_by_cached_key(|it| {
            let is_remote = it.identity.site != self.own.site;
            (is_remote, it.failures, rendezvous_hash(&self.own.vm, &it.identity.vm))
        });
        interleave_domains(candidates.into_iter().map(|it| it.identity))
    }

    /// An estimate of the nodes in the fleet, this one included.
    pub fn fleet_size(&self) -> usize {
        let state = self.state.lock();
        let n_listed = state.peers.values().filter(|it| it.is_listed).count();
        let n_alive = state.peers.values().filter(|it| it.is_alive).count();
        n_listed.max(n_alive) + 1
    }

    /// An estimate of the live nodes in this site, this one included: those that are listed or
    /// answered, without those that this node has found unreachable.
    pub fn site_nodes(&self) -> usize {
        let state = self.state.lock();
        let is_counted = |it: &&Peer| {
            let proximity = self.proximity(&state.sites, it);
            proximity != Proximity::Remote
                && (it.is_alive || it.is_listed && it.retry_after.is_none())
        };
        state.peers.values().filter(is_counted).count() + 1
    }

    /// What this node sees.
    pub fn view(&self) -> View {
        View {
            fleet: self.fleet_size(),
            site_nodes: self.site_nodes(),
            alive: self.alive(),
            unreachable: self.unreachable(),
        }
    }

    /// Peers that this node can't reach.
    pub fn unreachable(&self) -> Vec<SocketAddr> {
        let state = self.state.lock();
        state.peers.iter().filter(|(_, it)| it.retry_after.is_some()).map(|it| *it.0).collect()
    }

    /// Whether a later process of this VM is known, or this one has left.
    pub fn is_replaced(&self, vm: &vm::Id, incarnation: vm::Incarnation) -> bool {
        let state = self.state.lock();
        state.incarnations.get(vm).is_some_and(|it| incarnation < *it)
            || state.departed.get(vm).is_some_and(|it| incarnation <= *it)
    }

    fn proximity(&self, sites: &HashMap<domain::Id, site::Id>, peer: &Peer) -> Proximity {
        match &peer.domain {
            Some(domain) if *domain == self.own.domain => Proximity::SameDomain,
            Some(domain) if sites.get(domain) == Some(&self.own.site) => Proximity::SameSite,
            _ => Proximity::Remote,
        }
    }

    fn fill_view(&self, state: &mut Table, now: Instant) {
        for proximity in [Proximity::SameDomain, Proximity::SameSite, Proximity::Remote] {
            let group: Vec<_> = state
                .peers
                .iter()
                .filter(|(_, it)| self.proximity(&state.sites, it) == proximity)
                .map(|(addr, it)| (*addr, it.in_view, it.may_call(now)))
                .collect();
            let n_in_view = group.iter().filter(|it| it.1).count();
            let mut candidates: Vec<_> =
                group.iter().filter(|it| !it.1 && it.2).map(|it| it.0).collect();
            for _ in n_in_view..proximity.view_size() {
                if candidates.is_empty() {
                    break;
                }
                let index = state.rng.random_range(0..candidates.len());
                let addr = candidates.swap_remove(index);
                if let Some(peer) = state.peers.get_mut(&addr) {
                    peer.in_view = true;
                }
            }
        }
    }

    fn shuffle_view(&self, state: &mut Table, now: Instant) {
        for proximity in [Proximity::SameDomain, Proximity::SameSite, Proximity::Remote] {
            let has_proximity = |it: &Peer| self.proximity(&state.sites, it) == proximity;
            // An unreachable peer is no spare. Taken for one, it would push a live peer out of
            // the view without being able to take its place.
            let is_eligible = |it: &&Peer| has_proximity(it) && !it.in_view && it.may_call(now);
            let n_eligible = state.peers.values().filter(is_eligible).count();
            let view: Vec<_> = state
                .peers
                .iter()
                .filter(|(_, it)| has_proximity(it) && it.in_view)
                .map(|it| *it.0)
                .collect();
            // A view with room takes in a spare without giving anybody up for it.
            if view.len() < proximity.view_size() || n_eligible == 0 {
                continue;
            }
            let addr = view[state.rng.random_range(0..view.len())];
            if let Some(peer) = state.peers.get_mut(&addr) {
                // It isn't called any more, so nothing would tell when it goes.
                peer.in_view = false;
                peer.is_alive = false;
            }
        }
    }
}

/// Brings the first of each failure domain to the front.
fn interleave_domains(nodes: impl IntoIterator<Item = Identity>) -> Vec<Identity> {
    let mut ordered: Vec<Identity> = Vec::new();
    let mut rest = Vec::new();
    for identity in nodes {
        let is_new = ordered.iter().all(|it| it.domain != identity.domain);
        if is_new { ordered.push(identity) } else { rest.push(identity) }
    }
    ordered.extend(rest);
    ordered
}

fn rendezvous_hash(own: &vm::Id, other: &vm::Id) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    (own, other).hash(&mut hasher);
    hasher.finish()
}
