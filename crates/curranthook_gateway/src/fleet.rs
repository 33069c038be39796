//! The rows that nodes write for each other: addresses, steps of rollouts, evidence about new
//! versions, requests blamed for endpoint failures, and snapshots of latency estimates.

mod start;
pub mod unlisted;

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use curranthook_policy::hash;
use curranthook_types::domain;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::{
    Gateway,
    event::{Event, RouteAnswers},
    load::{reports::statements, snapshot_rows},
    poison::{self, Source},
    steps::{Evidence, Routes, Step},
    store::{Rev, Row, Table},
    suspects,
};

pub use self::start::Start;

/// The key of a row in the fleet table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Key<'a> {
    /// The tree of relays, which the root stores. The key precedes all others, so that a starting
    /// node finds it in the first rows of the table. Builds that do not know this kind of row
    /// ignore it.
    Tree,
    /// The key with which nodes recognize each other's requests. It precedes the rows of nodes.
    /// Builds that do not know this kind of row ignore it.
    ForwardingKey,
    /// The addresses of a node.
    Node(&'a str),
    /// The current step of a service's rollout.
    Step(&'a str),
    /// A node's evidence about a rollout; the fields are the service and the node.
    Evidence(&'a str, &'a str),
    /// The requests that a node blames for endpoint failures.
    Poison(&'a str),
    /// The parts of prompts under which a node found that endpoints crash. Builds that do not know
    /// this kind of row ignore it.
    Parts(&'a str),
    /// What the endpoints of a service state of the rejections that they bear. Builds that do not
    /// know this kind of row ignore it.
    Brittle(&'a str),
    /// The latency estimates of a service's models. Builds that do not know this kind of row ignore
    /// it.
    Snapshot(&'a str),
}

impl<'a> Key<'a> {
    /// Parses a key; none if it has no known form.
    ///
    /// ```
    /// # use curranthook_gateway::fleet::Key;
    /// let key = Key::Evidence("engines", "node-1");
    /// assert_eq!(Key::parse(&key.to_string()), Some(key));
    /// assert_eq!(Key::parse("else"), None);
    /// ```
    pub fn parse(key: &'a str) -> Option<Self> {
        let (kind, rest) = key.split_once('/')?;
        match kind {
            "0" if rest == "tree" => Some(Self::Tree),
            "0" if rest == "forwarding" => Some(Self::ForwardingKey),
            "node" => Some(Self::Node(rest)),
            "step" => Some(Self::Step(rest)),
            "poison" => Some(Self::Poison(rest)),
            "parts" => Some(Self::Parts(rest)),
            "brittle" => Some(Self::Brittle(rest)),
            "snapshot" => Some(Self::Snapshot(rest)),
            "evidence" => {
                rest.rsplit_once('/').map(|(service, node)| Self::Evidence(service, node))
            }
            _ => None,
        }
    }
}

impl std::fmt::Display for Key<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Tree => f.write_str("0/tree"),
            Self::ForwardingKey => f.write_str("0/forwarding"),
            Self::Node(node) => write!(f, "node/{node}"),
            Self::Step(service) => write!(f, "step/{service}"),
            Self::Evidence(service, node) => write!(f, "evidence/{service}/{node}"),
            Self::Poison(node) => write!(f, "poison/{node}"),
            Self::Parts(node) => write!(f, "parts/{node}"),
            Self::Brittle(service) => write!(f, "brittle/{service}"),
            Self::Snapshot(service) => write!(f, "snapshot/{service}"),
        }
    }
}

/// The addresses and properties of a node.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Node {
    /// The address for requests from peers.
    pub peers: SocketAddr,
    /// The address for load reports. Its name in the row is `notices`, for compatibility.
    #[serde(default, rename = "notices")]
    pub reports: Option<SocketAddr>,
    /// The node's failure domain; none if the row does not contain it.
    #[serde(default)]
    pub domain: Option<domain::Id>,
    /// The capacity for relaying rows to other nodes, in Mbit/s.
    #[serde(default)]
    pub capacity: f64,
    /// When the row was first written, by the store's clock; none if that is unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub joined: Option<Duration>,
}

impl Node {
    /// Whether the addresses and properties are the same, whenever the row was written.
    pub fn is_same(&self, other: &Self) -> bool {
        Self { joined: None, ..self.clone() } == Self { joined: None, ..other.clone() }
    }
}

/// A node's evidence about a rollout, as stored in its row.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Observation {
    /// The revision of the rollout order, which identifies the rollout.
    pub order: Rev,
    /// The evidence.
    pub evidence: Evidence,
    /// The evidence that other nodes reported to this one as their collector.
    #[serde(default, skip_serializing_if = "Evidence::is_empty")]
    pub collected: Evidence,
    /// The number of nodes that it comes from.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub n_collected: u64,
}

fn is_zero(n: &u64) -> bool {
    *n == 0
}

/// Applies a row of the fleet table.
pub fn apply_row(gateway: &Arc<Gateway>, row: &Row) {
    let Some(key) = Key::parse(&row.key) else { return };
    let Some(value) = &row.value else {
        if let Key::Node(name) = key {
            unlisted::lose_row(gateway, name);
        }
        return;
    };
    if let Err(e) = decode_and_apply(gateway, &key, value, row.rev) {
        let why = format!("{}: {e}", row.key);
        gateway.log.write(&Event::RowRejected { table: "fleet", why: &why });
    }
}

fn decode_and_apply(
    gateway: &Arc<Gateway>,
    key: &Key<'_>,
    value: &[u8],
    rev: Rev,
) -> Result<(), serde_json::Error> {
    match key {
        Key::Tree => gateway.topology.lock().receive(serde_json::from_slice(value)?),
        Key::ForwardingKey => gateway.forwarding.set_key(&serde_json::from_slice::<String>(value)?),
        Key::Node(name) => {
            let node: Node = serde_json::from_slice(value)?;
            let was_unlisted = gateway.unlisted.lock().remove(name);
            let is_new = add_node(gateway, name, node);
            if is_new || was_unlisted {
                log_member(gateway, name, "listed", gateway.n_nodes());
            }
        }
        Key::Step(service) => {
            let step = serde_json::from_slice::<Step>(value);
            let mut rollouts = gateway.rollouts.lock();
            if step.is_err() {
                rollouts.record_unreadable_step(service);
            }
            let step = step?;
            if rollouts.apply_step(service, step, rev)
                && let Some(it) = rollouts.get(service)
            {
                log_rollout(gateway, it, "seen");
            }
        }
        Key::Evidence(service, node) => {
            let Observation { order, evidence, collected, n_collected } =
                serde_json::from_slice(value)?;
            if *node == gateway.settings.node {
                gateway.rollouts.lock().restore_evidence(service, order, evidence);
                return Ok(());
            }
            let received_at = gateway.store_time();
            let mut rollouts = gateway.rollouts.lock();
            rollouts.apply_evidence(service, order, (node, evidence), received_at);
            rollouts.apply_collected(service, order, node, (collected, n_collected));
        }
        Key::Poison(node) => {
            let is_own = *node == gateway.settings.node;
            let source = if is_own { Source::OwnRow } else { Source::Store };
            poison::receive(gateway, serde_json::from_slice(value)?, source);
        }
        Key::Parts(_) => {
            let findings: Vec<suspects::Finding> = serde_json::from_slice(value)?;
            findings.iter().for_each(|it| suspects::receive_finding(gateway, it, "store"));
        }
        Key::Brittle(service) => {
            statements::restore(gateway, service, &serde_json::from_slice(value)?);
        }
        Key::Snapshot(service) => snapshot_rows::apply(gateway, service, value, rev),
    }
    Ok(())
}

/// Records which processes may have run before this one. A process that replaces another one begins
/// without retries, as that one may have used the node's part.
pub fn record_start(gateway: &Gateway, start: Start) {
    gateway.start.get_or_init(|| start);
    if start != Start::Restart {
        gateway.retry_budget.lock().record_first_process();
    }
    let nodes = gateway.n_nodes();
    gateway.log.write(&Event::FleetRead { start: start.name(), nodes });
}

/// Adds a node of the fleet, or replaces its addresses and properties. Returns whether it is new.
fn add_node(gateway: &Gateway, name: &str, node: Node) -> bool {
    let mut owners = gateway.load_owners.lock();
    owners.set_node(name, node.reports);
    owners.set_joined(name, node.joined);
    drop(owners);
    let is_new = gateway.peers.lock().insert(name.to_owned(), node).is_none();
    gateway.topology.lock().invalidate();
    is_new
}

/// Logs a change of the nodes that divide the fleet's limits, once all of them have been read.
fn log_member(gateway: &Gateway, node: &str, state: &str, n_nodes: usize) {
    gateway.metrics.nodes.set(i64::try_from(n_nodes).unwrap_or(i64::MAX));
    if gateway.start.get().is_some() {
        gateway.log.write(&Event::Member { node, state, nodes: n_nodes });
    }
}

/// Applies the known rows of a service's rollout again, after an order that they belong to was
/// received.
pub fn reapply_rows(gateway: &Arc<Gateway>, service: &str) {
    // A step that the store has lost comes before the older one that the copy has.
    let lost = gateway.eras.lock().take_steps(service);
    let rows = gateway.mirror.lock().batch(Table::Fleet).rows;
    for it in lost.into_iter().chain(rows) {
        let is_of_service = match Key::parse(&it.key) {
            Some(Key::Step(name) | Key::Evidence(name, _)) => name == service,
            _ => false,
        };
        if is_of_service {
            apply_row(gateway, &it);
        }
    }
}

/// The addresses of the nodes in `rows`, but for the one named `own`.
pub fn addrs(rows: &[Row], own: &str) -> Vec<SocketAddr> {
    let nodes = rows.iter().filter_map(|it| match Key::parse(&it.key) {
        Some(Key::Node(name)) if name != own => serde_json::from_slice(it.value.as_ref()?).ok(),
        _ => None,
    });
    nodes.map(|it: Node| it.peers).collect()
}

/// This node's rank among the nodes that may write a row of `service`; rank 0 writes first.
pub fn rank(gateway: &Gateway, service: &str) -> usize {
    let weight =
        |node: &str| hash::pair(hash::bytes(service.as_bytes()), hash::bytes(node.as_bytes()));
    let own = weight(&gateway.settings.node);
    gateway.peers.lock().keys().filter(|it| weight(it) < own).count()
}

/// Logs the phase of a rollout and the evidence about its versions.
pub fn log_rollout(gateway: &Gateway, it: &crate::rollouts::Rollout, outcome: &str) {
    let evidence = it.evidence();
    let configuration = gateway.configuration.load();
    let names: HashMap<_, _> = configuration
        .iter()
        .flat_map(|it| it.document.route_names())
        .map(|it| (Routes::key(it), it))
        .collect();
    let routes = evidence.routes.iter().map(|(key, it)| RouteAnswers {
        route: names.get(&key).map_or_else(String::new, |it| (*it).to_owned()),
        usual_share: it.usual_share(),
        answers: *it,
    });
    gateway.log.write(&Event::RollOut {
        service: &it.order.service,
        target: &it.order.target,
        phase: &format!("{:?}", it.phase()).to_lowercase(),
        new_answers: evidence.new.answers,
        new_bad: evidence.new.bad,
        old_answers: evidence.old.answers,
        old_bad: evidence.old.bad,
        slower_first: evidence.first_event_slowdown(),
        slower_rest: evidence.event_gap_slowdown(),
        log_ratio: evidence.log_ratio(),
        routes: &routes.collect::<Vec<_>>(),
        outcome,
    });
}
