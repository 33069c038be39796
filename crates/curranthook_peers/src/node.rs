//! One node: what a router embeds.

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

/// What a node needs to start.
#[derive(Debug)]
pub struct Setup {
    /// The VM's settings.
    pub settings: Settings,
    /// Which process of the VM this is.
    pub incarnation: vm::Incarnation,
    /// Where peers reach it: the bound address, with its real port.
    pub peer_addr: SocketAddr,
    /// Where its tasks run.
    pub ex: runtime::Handle,
    /// Connections to peers.
    pub pool: Arc<Pool>,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// The platform's table.
    pub table: Arc<dyn Table>,
    /// The platform's object store.
    pub objects: Arc<dyn Objects>,
    /// The platform's list of VMs.
    pub vms: Arc<dyn Vms>,
    /// Feeds the choice of peers and the jitter.
    pub seed: u64,
}

/// What `/status` shows.
#[derive(Debug, Clone, Serialize)]
pub struct Status {
    /// The epoch in force; zero for none.
    pub epoch: Epoch,
    /// The peers.
    pub view: member::View,
    /// This node's bill lines that aren't stored yet.
    pub journal_lines: usize,
    /// Peers' bill lines kept here.
    pub replica_lines: usize,
    /// All counters.
    pub counters: BTreeMap<&'static str, u64>,
}

/// One of many nodes that act together.
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
    /// Which owners' lines were passed on to which processes.
    pub(crate) replicated_orphans: Mutex<BTreeSet<(Origin, Origin)>>,
    /// One fetch of a document at a time; peers often tell the same news at once.
    pub(crate) fetch_lock: async_lock::Mutex<()>,
    sequence: AtomicUsize,
    module: RpcModule<Weak<Self>>,
    weak: Weak<Self>,
    stop: (Trigger, Stop),
}

impl Node {
    /// Starts a node and its tasks.
    pub fn start(setup: Setup) -> Arc<Self> {
        Self::start_with(setup, Tuning::default())
    }

    /// Starts a node that differs from the usual one.
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
            module: rpc::module(Weak::clone(weak)),
            weak: Weak::clone(weak),
            stop: stop::new(),
            counters,
            tuning,
            setup,
        }
    }

    /// The newest document that this node knows. It never goes back to a lower epoch.
    pub fn document(&self) -> Option<Arc<Document>> {
        self.documents.document()
    }

    /// Waits for a document of a higher epoch than `after`.
    pub async fn next_document(&self, after: Epoch) -> Arc<Document> {
        self.documents.wait_for_newer(after).await
    }

    /// Answers a peer's call. The router's peer listener hands over every call to [`rpc::PATH`].
    pub async fn handle(&self, head: &http::request::Parts, body: Bytes) -> http::Response<Body> {
        rpc::handle(self, &self.module, head, &body).await
    }

    /// Takes over a document that came another way than from the table or a peer, if its epoch
    /// is higher, and says whether it did.
    pub fn offer(&self, document: Document) -> bool {
        self.documents.offer(document, None)
    }

    /// Asks a few peers for a newer document, after a pause in which none could come.
    pub async fn refresh(&self) {
        task::documents::refresh(self).await;
    }

    /// Meets the next peer ahead of its round, with news that can't wait.
    pub async fn exchange(&self) {
        task::gossip::exchange(self).await;
    }

    /// Who this node is to its peers.
    pub fn identity(&self) -> &Identity {
        self.members.own_identity()
    }

    /// This node's bill lines.
    pub fn journal(&self) -> &Journal {
        &self.journal
    }

    /// Evidence on versions.
    pub fn evidence(&self) -> &Evidence {
        &self.evidence
    }

    /// Requests that take endpoints down.
    pub fn poison(&self) -> &Poison {
        &self.poison
    }

    /// Versions that some node found bad.
    pub fn suspects(&self) -> &Suspects {
        &self.suspects
    }

    /// Demand for each account.
    pub fn demand(&self) -> &Demand {
        &self.demand
    }

    /// An estimate of the live nodes in this site, this one included.
    pub fn site_nodes(&self) -> usize {
        self.members.site_nodes()
    }

    /// This node's part of the account's limit, from 0 to 1.
    pub fn share(&self, account: &account::Id) -> f64 {
        self.demand.share(account, self.site_nodes())
    }

    /// Whether it has just started and still has peers to meet.
    pub fn is_joining(&self) -> bool {
        self.members.is_joining()
    }

    /// What this node sees of the fleet.
    pub fn view(&self) -> member::View {
        self.members.view()
    }

    /// What this node did and met.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// What `/status` shows.
    pub fn status(&self) -> Status {
        Status {
            epoch: self.epoch(),
            view: self.view(),
            journal_lines: self.journal.n_lines(),
            replica_lines: self.replicas.n_lines(),
            counters: self.counters.all().into_iter().collect(),
        }
    }

    /// Hands the journal over, tells the peers and stops the tasks.
    pub async fn leave(&self) {
        task::leave(self).await;
        self.stop.0.set();
    }

    /// Stops the tasks and tells nobody, as when the process is killed. For tests.
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

    /// What a peer that has epoch `peer_epoch` gets.
    pub(crate) fn transfer(&self, peer_epoch: Epoch) -> Transfer {
        // A peer's epoch of zero asks for the whole.
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

    /// A peer said that it has `epoch`; if that's newer, it's fetched.
    pub(crate) fn fetch_if_newer(&self, addr: SocketAddr, epoch: Epoch) {
        if epoch <= self.epoch() {
            return;
        }
        if let Some(node) = self.weak.upgrade() {
            let fetch = async move { task::documents::fetch(&node, addr, epoch).await };
            self.setup.ex.spawn(fetch).detach();
        }
    }

    /// A peer said itself that it leaves.
    pub(crate) fn peer_left(&self, identity: &Identity) {
        self.members.record_departure(identity);
        self.demand.remove(&identity.vm);
    }

    /// Calls a peer; whether it answered is noted.
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
        // A refusal is an answer; anything else says that the peer can't be used.
        match result {
            Ok(_) | Err(rpc::Error::Refused(_)) => self.members.reset_failures(addr),
            Err(_) => self.members.record_failure(addr),
        }
        result
    }
}
