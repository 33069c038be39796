//! The rows that the nodes write for each other: addresses, steps of roll-outs, what each saw of
//! a new version, and requests that ended endpoints.

use std::{net::SocketAddr, sync::Arc};

use curranthook_policy::poison;
use curranthook_types::domain;
use serde::{Deserialize, Serialize};

use crate::{
    Gateway,
    event::Event,
    steps::{Evidence, Step},
    store::{Rev, Row, Table},
};

/// The key of a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Key<'a> {
    /// Where a node is reached.
    Node(&'a str),
    /// How far the roll-out of a service is.
    Step(&'a str),
    /// What a node saw of a roll-out: service and node.
    Evidence(&'a str, &'a str),
    /// The requests that a node charges.
    Poison(&'a str),
}

impl<'a> Key<'a> {
    /// Reads a key; none if it's no key of ours.
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
            "node" => Some(Self::Node(rest)),
            "step" => Some(Self::Step(rest)),
            "poison" => Some(Self::Poison(rest)),
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
            Self::Node(node) => write!(f, "node/{node}"),
            Self::Step(service) => write!(f, "step/{service}"),
            Self::Evidence(service, node) => write!(f, "evidence/{service}/{node}"),
            Self::Poison(node) => write!(f, "poison/{node}"),
        }
    }
}

/// Where a node is reached.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Node {
    /// Its address for peers.
    pub peers: SocketAddr,
    /// Its address for load reports, under the name that it has always had on the wire.
    #[serde(default, rename = "notices")]
    pub reports: Option<SocketAddr>,
    /// Its failure domain.
    #[serde(default)]
    pub domain: Option<domain::Id>,
    /// How much it can carry for others.
    #[serde(default)]
    pub capacity: f64,
}

/// What a node saw of a roll-out.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Seen {
    /// The order.
    pub order: Rev,
    /// What was seen.
    pub evidence: Evidence,
}

/// Takes in a row.
pub fn row(gateway: &Arc<Gateway>, row: &Row) {
    let Some(key) = Key::parse(&row.key) else { return };
    let Some(value) = &row.value else {
        if let Key::Node(name) = key {
            gateway.peers.lock().remove(name);
            gateway.load_owners.lock().set(name, None);
        }
        return;
    };
    if let Err(e) = take(gateway, &key, value, row.rev) {
        let why = format!("{}: {e}", row.key);
        gateway.log.write(&Event::RowRejected { table: "fleet", why: &why });
    }
}

fn take(
    gateway: &Arc<Gateway>,
    key: &Key<'_>,
    value: &[u8],
    rev: Rev,
) -> Result<(), serde_json::Error> {
    match key {
        Key::Node(name) => {
            let node: Node = serde_json::from_slice(value)?;
            gateway.load_owners.lock().set(name, node.reports);
            gateway.peers.lock().insert((*name).to_owned(), node);
        }
        Key::Step(service) => {
            let step: Step = serde_json::from_slice(value)?;
            let mut rollouts = gateway.rollouts.lock();
            if rollouts.apply_step(service, step, rev)
                && let Some(it) = rollouts.get(service)
            {
                log_step(gateway, it, "seen");
            }
        }
        Key::Evidence(_, node) if *node == gateway.settings.node => {}
        Key::Evidence(service, node) => {
            let seen: Seen = serde_json::from_slice(value)?;
            gateway.rollouts.lock().apply_evidence(service, seen.order, node, seen.evidence);
        }
        Key::Poison(node) if *node == gateway.settings.node => {}
        Key::Poison(_) => {
            let entries: Vec<poison::Entry> = serde_json::from_slice(value)?;
            gateway.poison.lock().merge(entries, gateway.now());
        }
    }
    Ok(())
}

/// Takes in once more what is known of the roll-out of `service`.
pub fn reread(gateway: &Arc<Gateway>, service: &str) {
    let rows = gateway.mirror.lock().batch(Table::Fleet).rows;
    for it in rows {
        let is_of_service = match Key::parse(&it.key) {
            Some(Key::Step(name) | Key::Evidence(name, _)) => name == service,
            _ => false,
        };
        if is_of_service {
            row(gateway, &it);
        }
    }
}

/// Logs how far a roll-out is.
pub fn log_step(gateway: &Gateway, it: &crate::rollouts::Rollout, outcome: &str) {
    let evidence = it.evidence();
    gateway.log.write(&Event::RollOut {
        service: &it.order.service,
        target: &it.order.target,
        phase: &format!("{:?}", it.phase()).to_lowercase(),
        new_answers: evidence.new.answers,
        new_bad: evidence.new.bad,
        old_answers: evidence.old.answers,
        old_bad: evidence.old.bad,
        slower_first: evidence.slower_first(),
        slower_rest: evidence.slower_rest(),
        outcome,
    });
}
