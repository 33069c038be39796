//! Nodes of the fleet that have no row, as the store has lost it.
//!
//! Such a node may be running, without knowing that its row is gone. If the others forgot it at once,
//! each would take a larger part of the fleet's limits than the node leaves. So it stays one of the
//! fleet until it has been silent for a window of these limits: nothing that it did is in a window then.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use async_io::Timer;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::{Node, log_member};
use crate::{Gateway, load::reports::Message};

/// How often the unlisted nodes are checked, while there are some.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The part of the time limit on silence after which a node is asked whether it runs.
const ASKED_AFTER: f64 = 0.4;
/// The interval between two questions to a node, as a part of that limit.
const QUESTION_INTERVAL: f64 = 0.15;
/// The maximum number of nodes in a datagram.
const MAX_PER_DATAGRAM: usize = 3;
/// The maximum number of nodes that a node which starts is told of.
const MAX_TOLD: usize = 200;

/// The nodes without a row that may be running.
#[derive(Debug)]
pub struct Nodes {
    nodes: HashMap<String, Unlisted>,
    /// How long a node may be silent until it counts as gone.
    max_silence: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Unlisted {
    reports: Option<SocketAddr>,
    /// When the node was last known to run.
    heard_at: Instant,
    asked_at: Option<Instant>,
}

impl Nodes {
    /// No nodes; those that are added may be silent for `max_silence`.
    pub fn new(max_silence: Duration) -> Self {
        Self { nodes: HashMap::new(), max_silence }
    }

    /// Whether all nodes have rows.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Adds a node that was last known to run at `heard_at`, and that receives reports at `reports`.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use curranthook_gateway::fleet::unlisted::Nodes;
    /// let (mut nodes, start) = (Nodes::new(Duration::from_secs(10)), Instant::now());
    /// let at = |s| start + Duration::from_secs(s);
    /// nodes.add("node-1", Some(([127, 0, 0, 1], 7000).into()), start);
    /// assert!(nodes.take_silent(at(9)).is_empty());
    /// nodes.record_heard("node-1", at(9));
    /// assert!(nodes.take_silent(at(18)).is_empty());
    /// assert_eq!(nodes.take_silent(at(20)), ["node-1"]);
    /// ```
    pub fn add(&mut self, name: &str, reports: Option<SocketAddr>, heard_at: Instant) {
        let known = self.nodes.get(name).map(|it| it.heard_at);
        let heard_at = known.map_or(heard_at, |it| it.max(heard_at));
        self.nodes.insert(name.to_owned(), Unlisted { reports, heard_at, asked_at: None });
    }

    /// Removes a node that has a row. Returns whether it had none.
    pub fn remove(&mut self, name: &str) -> bool {
        self.nodes.remove(name).is_some()
    }

    /// Records that the node of this name, if it's one without a row, is running.
    pub fn record_heard(&mut self, name: &str, now: Instant) {
        if let Some(it) = self.nodes.get_mut(name) {
            it.heard_at = now;
        }
    }

    /// The addresses of the nodes that have to be asked now whether they run.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use curranthook_gateway::fleet::unlisted::Nodes;
    /// let (mut nodes, now) = (Nodes::new(Duration::from_secs(10)), Instant::now());
    /// let addr = ([127, 0, 0, 1], 7000).into();
    /// nodes.add("node-1", Some(addr), now);
    /// assert!(nodes.take_questions(now + Duration::from_secs(3)).is_empty());
    /// assert_eq!(nodes.take_questions(now + Duration::from_secs(4)), [addr]);
    /// assert!(nodes.take_questions(now + Duration::from_secs(5)).is_empty());
    /// ```
    pub fn take_questions(&mut self, now: Instant) -> Vec<SocketAddr> {
        let (asked_after, interval) =
            (self.max_silence.mul_f64(ASKED_AFTER), self.max_silence.mul_f64(QUESTION_INTERVAL));
        let is_due = |it: &&mut Unlisted| {
            it.heard_at + asked_after <= now && it.asked_at.is_none_or(|at| at + interval <= now)
        };
        let due = self.nodes.values_mut().filter(is_due);
        due.filter_map(|it| {
            it.asked_at = Some(now);
            it.reports
        })
        .collect()
    }

    /// Removes and returns the names of the nodes that have been silent for too long.
    pub fn take_silent(&mut self, now: Instant) -> Vec<String> {
        let limit = self.max_silence;
        self.nodes.extract_if(|_, it| it.heard_at + limit <= now).map(|(name, _)| name).collect()
    }
}

/// A node without a row, as told to others.
#[serde_as]
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Told {
    name: String,
    node: Node,
    /// The time since it was last known to run.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    silent_for: Duration,
}

/// Applies that the row of the node named `name` is gone.
pub(super) fn lose_row(gateway: &Gateway, name: &str) {
    // A node needs no row to know of itself.
    if name == gateway.settings.node {
        return;
    }
    let (node, n_nodes) = {
        let peers = gateway.peers.lock();
        (peers.get(name).cloned(), peers.len())
    };
    let Some(node) = node else { return };
    gateway.unlisted.lock().add(name, node.reports, gateway.now());
    log_member(gateway, name, "unlisted", n_nodes);
}

/// Checks the nodes without a row for the lifetime of the process: asks them whether they run, and
/// forgets those that are silent.
pub async fn run(gateway: Arc<Gateway>) {
    loop {
        gateway.wait_until(|| !gateway.unlisted.lock().is_empty()).await;
        Timer::after(CHECK_INTERVAL).await;
        let now = gateway.now();
        let silent = gateway.unlisted.lock().take_silent(now);
        silent.iter().for_each(|it| forget(&gateway, it));
        let asked = gateway.unlisted.lock().take_questions(now);
        if let Some(socket) = gateway.load_reports.get() {
            socket.ask_presence(asked).await;
        }
    }
}

fn forget(gateway: &Gateway, name: &str) {
    let n_nodes = {
        let mut peers = gateway.peers.lock();
        peers.remove(name);
        peers.len()
    };
    gateway.load_owners.lock().set_node(name, None);
    gateway.topology.lock().invalidate();
    log_member(gateway, name, "silent", n_nodes);
}

/// The messages that tell a node which starts of those without a row.
pub fn answers(gateway: &Gateway) -> Vec<Message> {
    let now = gateway.now();
    let unlisted: Vec<_> = {
        let unlisted = gateway.unlisted.lock();
        let heard = unlisted.nodes.iter().take(MAX_TOLD);
        heard.map(|(name, it)| (name.clone(), now.saturating_duration_since(it.heard_at))).collect()
    };
    let told: Vec<Told> = {
        let peers = gateway.peers.lock();
        let told = unlisted.into_iter().filter_map(|(name, silent_for)| {
            let node = peers.get(&name)?.clone();
            Some(Told { name, node, silent_for })
        });
        told.collect()
    };
    told.chunks(MAX_PER_DATAGRAM).map(|it| Message::Unlisted { nodes: it.to_vec() }).collect()
}

/// Adds the nodes without a row that another node knows.
pub fn receive(gateway: &Gateway, nodes: Vec<Told>) {
    for Told { name, node, silent_for } in nodes {
        let is_known = name == gateway.settings.node || gateway.peers.lock().contains_key(&name);
        let Some(heard_at) = gateway.now().checked_sub(silent_for) else { continue };
        if is_known || gateway.settings.retries.window <= silent_for {
            continue;
        }
        gateway.unlisted.lock().add(&name, node.reports, heard_at);
        super::add_node(gateway, &name, node);
        log_member(gateway, &name, "unlisted", gateway.n_nodes());
    }
    gateway.rows_changed.wake();
}
