//! A node: the part of the peer-to-peer layer that a router embeds.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{
        Arc, Weak,
        atomic::{AtomicUsize, Ordering},
    },
};

use bytes::Bytes;
use curranthook_http::{
    Body,
    client::Pool,
    runtime,
    stop::{self, Stop, Trigger},
};
use curranthook_platform::{Objects, Table, Vms};
use curranthook_settings::{Document, node::Settings};
use curranthook_types::{Clock, Epoch, account, bill::Origin, vm};
use jsonrpsee::RpcModule;
use parking_lot::Mutex;
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    auth,
    counters::Counters,
    demand::Demand,
    documents::{Documents, Transfer},
    evidence::Evidence,
    journal::Journal,
    member::{self, Identity, Members},
    poison::Poison,
    replica::Replicas,
    rpc,
    suspect::Suspects,
    task,
    transport::{Http, Transport},
    tuning::{Mechanism, Tuning},
};

/// The settings of a node and the services that it depends on.
#[derive(Debug)]
pub struct Setup {
    /// The settings of the VM.
    pub settings: Settings,
    /// Distinguishes this process from earlier and later ones of the same VM.
    pub incarnation: vm::Incarnation,
    /// The address at which peers reach this node: the bound address, with its actual port.
    pub peer_addr: SocketAddr,
    /// The executor for the node's tasks.
    pub ex: runtime::Handle,
    /// The connection pool for calls to peers.
    pub pool: Arc<Pool>,
    /// The source of time.
    pub clock: Arc<dyn Clock>,
    /// The platform's table.
    pub table: Arc<dyn Table>,
    /// The platform's object store.
    pub objects: Arc<dyn Objects>,
    /// The platform's list of VMs.
    pub vms: Arc<dyn Vms>,
    /// Seeds the random selection of peers.
    pub seed: u64,
}

/// The status that `/status` shows.
#[derive(Debug, Clone, Serialize)]
pub struct Status {
    /// The epoch in force; zero for none.
    pub epoch: Epoch,
    /// The fleet as this node sees it.
    pub view: member::View,
    /// Number of bill lines of this node that aren't in the object store yet.
    pub journal_lines: usize,
    /// Number of peers' bill lines that this node holds as a replica.
    pub replica_lines: usize,
    /// The counters by name.
    pub counters: BTreeMap<&'static str, u64>,
}

/// One node of the fleet.
#[derive(Debug)]
pub struct Node {
    pub(crate) setup: Setup,
    tuning: Tuning,
    key: auth::Key,
    transport: Arc<dyn Transport>,
    counters: Arc<Counters>,
    members: Members,
    documents: Documents,
    evidence: Evidence,
    poison: Poison,
    suspects: Suspects,
    demand: Demand,
    journal: Journal,
    replicas: Replicas,
    /// Peers that hold lines of this node's journal.
    pub(crate) replica_holders: Mutex<BTreeSet<SocketAddr>>,
    /// Pairs of a lost owner and a replica to which all its bill lines have been sent.
    pub(crate) replicated_orphans: Mutex<BTreeSet<(Origin, Origin)>>,
    /// Held during the fetch of a document; several peers often announce the same epoch at once.
    pub(crate) fetch_lock: async_lock::Mutex<()>,
    sequence: AtomicUsize,
    rpc_module: RpcModule<Weak<Self>>,
    self_ref: Weak<Self>,
    stop: (Trigger, Stop),
}

impl Node {
    /// Starts a node and its tasks.
    pub fn start(setup: Setup) -> Arc<Self> {
        Self::start_with(setup, Tuning::default())
    }

    /// Starts a node with a tuning other than the default.
    pub fn start_with(setup: Setup, tuning: Tuning) -> Arc<Self> {
        let node = Arc::new_cyclic(|weak| Self::new(setup, tuning, weak));
        for addr in &node.setup.settings.seeds {
            node.members.add_seed(*addr);
        }
        task::spawn_all(&node);
        node
    }

    fn new(setup: Setup, tuning: Tuning, weak: &Weak<Self>) -> Self {
        let settings = &setup.settings;
        let clock = &setup.clock;
        let own = Identity {
            vm: settings.vm.clone(),
            incarnation: setup.incarnation,
            addr: setup.peer_addr,
            domain: settings.failure_domain.clone(),
            site: settings.site.clone(),
        };
        let origin = Origin { vm: own.vm.clone(), incarnation: own.incarnation };
        let counters = Arc::new(Counters::default());
        let transport = tuning.transport.clone();
        Self {
            key: auth::Key::new(&settings.peer_key),
            transport: transport.unwrap_or_else(|| Arc::new(Http::new(Arc::clone(&setup.pool)))),
            evidence: Evidence::new(origin.clone()),
            poison: Poison::new(Arc::clone(clock)),
            suspects: Suspects::new(Arc::clone(clock)),
            demand: Demand::new(own.vm.clone(), own.incarnation, Arc::clone(clock)),
            journal: Journal::new(origin, Arc::clone(&counters)),
            replicas: Replicas::new(Arc::clone(clock), Arc::clone(&counters), tuning.owner_timeout),
            members: Members::new(own, tuning.trust, Arc::clone(clock), setup.seed),
            documents: Documents::default(),
            replica_holders: Mutex::default(),
            replicated_orphans: Mutex::default(),
            fetch_lock: async_lock::Mutex::new(()),
            sequence: AtomicUsize::new(0),
            rpc_module: rpc::module(Weak::clone(weak)),
            self_ref: Weak::clone(weak),
            stop: stop::new(),
            counters,
            tuning,
            setup,
        }
    }

    /// The newest document that this node knows. Its epoch never decreases.
    pub fn document(&self) -> Option<Arc<Document>> {
        self.documents.document()
    }

    /// Waits for a document with a higher epoch than `after`.
    pub async fn next_document(&self, after: Epoch) -> Arc<Document> {
        self.documents.wait_for_newer(after).await
    }

    /// Answers a peer's call. The router's peer listener passes every call of [`rpc::PATH`] to
    /// this.
    pub async fn handle(&self, head: &http::request::Parts, body: Bytes) -> http::Response<Body> {
        rpc::handle(self, &self.rpc_module, head, &body).await
    }

    /// Installs a document from a source other than the table or a peer, if its epoch is higher
    /// than the current one, and returns whether it was installed.
    pub fn offer(&self, document: Document) -> bool {
        self.documents.offer(document, None)
    }

    /// Requests a newer document from a few peers, after a period in which this process could not
    /// receive any.
    pub async fn refresh(&self) {
        task::documents::refresh(self).await;
    }

    /// Makes an exchange with the next peer at once, for updates that can't wait for the next
    /// interval.
    pub async fn exchange(&self) {
        task::gossip::exchange(self).await;
    }

    /// The identity of this node.
    pub fn identity(&self) -> &Identity {
        self.members.own_identity()
    }

    /// The journal of this node's bill lines.
    pub fn journal(&self) -> &Journal {
        &self.journal
    }

    /// Ratings and error counts of model versions, from this node and its peers.
    pub fn evidence(&self) -> &Evidence {
        &self.evidence
    }

    /// Requests that crash endpoints.
    pub fn poison(&self) -> &Poison {
        &self.poison
    }

    /// Versions that the health check of some node has declared suspect.
    pub fn suspects(&self) -> &Suspects {
        &self.suspects
    }

    /// Request rates by account, of this node and the other nodes of the site.
    pub fn demand(&self) -> &Demand {
        &self.demand
    }

    /// An estimate of the number of live nodes in this site, including this one.
    pub fn site_nodes(&self) -> usize {
        self.members.site_nodes()
    }

    /// This node's share of the account's limit, from 0 to 1.
    pub fn share(&self, account: &account::Id) -> f64 {
        self.demand.share(account, self.site_nodes())
    }

    /// Whether the node still lacks live peers to replicate bill lines to and has peers left to
    /// contact.
    pub fn is_joining(&self) -> bool {
        self.members.is_joining()
    }

    /// The fleet as this node sees it.
    pub fn view(&self) -> member::View {
        self.members.view()
    }

    /// The counters of this node.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// The status that `/status` shows.
    pub fn status(&self) -> Status {
        Status {
            epoch: self.epoch(),
            view: self.view(),
            journal_lines: self.journal.n_lines(),
            replica_lines: self.replicas.n_lines(),
            counters: self.counters.all().into_iter().collect(),
        }
    }

    /// Stores or replicates all bill lines, announces the departure to the peers and stops the
    /// tasks.
    pub async fn leave(&self) {
        task::leave(self).await;
        self.stop.0.set();
    }

    /// Stops the tasks without announcing the departure, as if the process had been killed. For
    /// tests.
    pub fn kill(&self) {
        self.stop.0.set();
    }

    pub(crate) fn epoch(&self) -> Epoch {
        self.documents.epoch()
    }

    pub(crate) fn stop(&self) -> &Stop {
        &self.stop.1
    }

    pub(crate) fn tuning(&self) -> &Tuning {
        &self.tuning
    }

    pub(crate) fn is_enabled(&self, mechanism: Mechanism) -> bool {
        !self.tuning.disabled.contains(&mechanism)
    }

    /// The transfer for a peer that has epoch `peer_epoch`.
    pub(crate) fn transfer(&self, peer_epoch: Epoch) -> Transfer {
        // An epoch of zero requests the full document.
        let is_newer = peer_epoch < self.epoch();
        let base = if self.is_enabled(Mechanism::Delta) || !is_newer {
            peer_epoch
        } else {
            Epoch::default()
        };
        self.documents.transfer(base)
    }

    pub(crate) fn members(&self) -> &Members {
        &self.members
    }

    pub(crate) fn documents(&self) -> &Documents {
        &self.documents
    }

    pub(crate) fn replicas(&self) -> &Replicas {
        &self.replicas
    }

    pub(crate) fn key(&self) -> &auth::Key {
        &self.key
    }

    pub(crate) fn now_millis(&self) -> u64 {
        self.setup.clock.unix_millis()
    }

    pub(crate) fn next_sequence(&self) -> usize {
        self.sequence.fetch_add(1, Ordering::Relaxed)
    }

    /// Fetches `epoch`, which a peer has announced, if it is newer than this node's.
    pub(crate) fn fetch_if_newer(&self, addr: SocketAddr, epoch: Epoch) {
        if epoch <= self.epoch() {
            return;
        }
        if let Some(node) = self.self_ref.upgrade() {
            let fetch = async move { task::documents::fetch(&node, addr, epoch).await };
            self.setup.ex.spawn(fetch).detach();
        }
    }

    /// Records that a peer has announced that it is leaving.
    pub(crate) fn peer_left(&self, identity: &Identity) {
        self.members.record_departure(identity);
        self.demand.remove(&identity.vm);
    }

    /// Calls a peer and records whether it answered.
    pub(crate) async fn call<R: DeserializeOwned + Clone + 'static>(
        &self,
        addr: SocketAddr,
        method: &str,
        param: &impl Serialize,
        timeout: std::time::Duration,
    ) -> Result<R, rpc::Error> {
        let client = rpc::Client {
            transport: &*self.transport,
            key: &self.key,
            now_millis: self.now_millis(),
            counters: &self.counters,
        };
        let result = client.call(addr, method, param, timeout).await;
        // A rejection is still an answer; any other error means that the peer can't be used.
        match result {
            Ok(_) | Err(rpc::Error::Rejected(_)) => self.members.reset_failures(addr),
            Err(_) => self.members.record_failure(addr),
        }
        result
    }
}
