//! Membership: the known peers, and which of them this node can reach.
//!
//! The platform's VM list lags, and peers may be wrong about one another: two nodes that both reach
//! a third may not reach each other. A node that trusted such reports would drop peers that it
//! reaches, or call peers that it doesn't. The VM list and the reports of peers therefore only
//! supply candidates; a peer is alive when it has recently answered a call from this node, and
//! stops being alive when calls from this node fail.
//!
//! Only a view of bounded size is called in rotation, so the cost per node doesn't grow with the
//! fleet.

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

/// Maximum number of peers in the view from this node's own failure domain.
const VIEW_SIZE_SAME_DOMAIN: usize = 6;
/// Maximum number of peers in the view from other failure domains of this site.
const VIEW_SIZE_SAME_SITE: usize = 6;
/// Maximum number of peers in the view from other sites or from an unknown failure domain.
const VIEW_SIZE_REMOTE: usize = 4;
/// After this many calls, one peer in each full part of the view is replaced. If views never
/// changed, some nodes could be in no other node's view and would miss every exchange.
const CALLS_PER_SHUFFLE: u64 = 60;

/// The process has been replaced by a later one of the same VM, or has announced that it is
/// leaving.
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

/// The rotation in which the parts of the view are called. Peers of the same failure domain are
/// called twice as often as those of each other part.
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
    /// Creates an empty peer table. `seed` initializes the generator that selects peers at random.
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

    /// The identity of this node.
    pub fn own_identity(&self) -> &Identity {
        &self.own
    }

    /// Updates the candidates from a new VM list. Being listed doesn't mark a peer as alive, and a
    /// live peer that isn't listed is not removed.
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
        // Seeds are retained even if they are missing from the list: a list that was read before
        // this node's neighbours were added to it would otherwise leave the node without peers
        // until the next read.
        state.peers.retain(|_, it| it.is_listed || it.is_seed || it.in_view || it.is_alive);
    }

    /// Adds a seed from the settings, of which only the address is known.
    pub fn add_seed(&self, addr: SocketAddr) {
        if addr == self.own.addr {
            return;
        }
        if let Some(peer) = self.state.lock().get_or_insert(addr) {
            peer.is_seed = true;
        }
    }

    /// Adds a candidate that a peer reported.
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

    /// Records which failure domains belong to a site according to a configuration document.
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

    /// Records that `identity` answered a call from this node to `addr`.
    pub fn record_answer(&self, addr: SocketAddr, identity: &Identity) -> Result<(), Stale> {
        if identity.vm == self.own.vm {
            // A seed may be another address of this node itself.
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

    /// Records a call from a peer. That the peer reaches this node doesn't prove the reverse, so
    /// the peer is only a candidate, but if it was unreachable it may be called again at once.
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

    /// Resets the failure count after an answer that didn't contain the peer's identity: a few
    /// timeouts spread over many successful calls are no reason to drop a peer.
    pub fn reset_failures(&self, addr: SocketAddr) {
        if let Some(peer) = self.state.lock().peers.get_mut(&addr) {
            peer.failures = 0;
        }
    }

    /// Records that a call from this node failed.
    pub fn record_failure(&self, addr: SocketAddr) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let Some(peer) = state.peers.get_mut(&addr) else { return };
        peer.record_failure(now);
    }

    /// Records that another peer has reported `addr` as unreachable. Ignored under [`Trust::Own`].
    pub fn record_unreachable_report(&self, addr: SocketAddr) {
        if self.trust == Trust::Own {
            return;
        }
        let now = self.clock.now();
        if let Some(peer) = self.state.lock().peers.get_mut(&addr) {
            peer.mark_unreachable(now);
        }
    }

    /// Records that a peer has announced that it is leaving.
    pub fn record_departure(&self, identity: &Identity) {
        let mut state = self.state.lock();
        let departed = state.departed.entry(identity.vm.clone()).or_default();
        *departed = (*departed).max(identity.incarnation);
        state.peers.remove(&identity.addr);
    }

    /// Selects the peer to call now. The parts of the view are called in rotation; within a
    /// part, a peer whose last call failed comes first, then the one that was called longest ago.
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

    /// Selects up to `n` known peers at random, whether or not they are alive.
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

    /// The peers that are alive, as seen by this node.
    pub fn alive(&self) -> Vec<Contact> {
        let state = self.state.lock();
        let alive = state.peers.values().filter(|it| it.is_alive);
        let contact =
            |it: &Peer| Some(Contact { identity: it.identity.clone()?, failures: it.failures });
        alive.filter_map(contact).collect()
    }

    /// Live peers in other failure domains, best replica first: peers of this site before others,
    /// those with fewer recent failures first, then by a hash that is specific to this node and
    /// stable, so that few peers hold its lines.
    pub fn replica_candidates(&self) -> Vec<Identity> {
        let mut candidates: Vec<_> = self.alive();
        candidates.retain(|it| it.identity.domain != self.own.domain);
        candidates.sort_by_cached_key(|it| {
            let is_remote = it.identity.site != self.own.site;
            (is_remote, it.failures, rendezvous_hash(&self.own.vm, &it.identity.vm))
        });
        distinct_domains_first(candidates.into_iter().map(|it| it.identity))
    }

    /// An estimate of the number of nodes in the fleet, including this one.
    pub fn fleet_size(&self) -> usize {
        let state = self.state.lock();
        let n_listed = state.peers.values().filter(|it| it.is_listed).count();
        let n_alive = state.peers.values().filter(|it| it.is_alive).count();
        n_listed.max(n_alive) + 1
    }

    /// An estimate of the number of live nodes in this site, including this one: nodes that are
    /// listed or have answered, except those that this node has found unreachable.
    pub fn site_nodes(&self) -> usize {
        let state = self.state.lock();
        let is_counted = |it: &&Peer| {
            let proximity = self.proximity(&state.sites, it);
            proximity != Proximity::Remote
                && (it.is_alive || it.is_listed && it.retry_after.is_none())
        };
        state.peers.values().filter(is_counted).count() + 1
    }

    /// The fleet as this node sees it.
    pub fn view(&self) -> View {
        View {
            fleet_size: self.fleet_size(),
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

    /// Whether a later process of this VM is known, or this process has left.
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
            // An unreachable peer is not eligible: it would evict a live peer from the view without
            // being able to replace it.
            let is_eligible = |it: &&Peer| has_proximity(it) && !it.in_view && it.may_call(now);
            let n_eligible = state.peers.values().filter(is_eligible).count();
            let view: Vec<_> = state
                .peers
                .iter()
                .filter(|(_, it)| has_proximity(it) && it.in_view)
                .map(|it| *it.0)
                .collect();
            // A view with free slots takes in candidates without evicting a peer.
            if view.len() < proximity.view_size() || n_eligible == 0 {
                continue;
            }
            let addr = view[state.rng.random_range(0..view.len())];
            if let Some(peer) = state.peers.get_mut(&addr) {
                // The peer isn't called any more, so its failure would go unnoticed.
                peer.in_view = false;
                peer.is_alive = false;
            }
        }
    }
}

/// Moves the first node of each failure domain to the front.
fn distinct_domains_first(nodes: impl IntoIterator<Item = Identity>) -> Vec<Identity> {
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
