//! Writes the rows that other nodes read from this one: its addresses, rollout steps that are due,
//! its evidence about a new version, the requests that it blames for endpoint failures, and what
//! endpoints state of the rejections that they bear.

pub mod charges;
pub mod collectors;
mod evidence;
pub mod restoration;
mod statements;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use async_io::Timer;
use curranthook_policy::hash;

use self::{charges::Charges, evidence::WrittenEvidence, restoration::Restoration};
use crate::{
    Gateway,
    event::Event,
    fleet::{self, Key, Node, log_rollout},
    replication::joins::{self, Join},
    rollouts::Rollout,
    steps::{self, ExtraShare, Phase, Step},
    store::{Commit, Committed, Error, Report, Rev, Table},
    suspects,
};

/// How often the node checks which rows have to be written.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// The delay between the nodes' attempts to write a step, so that the first one writes it and the
/// others see that it is written.
const STEP_STAGGER: Duration = Duration::from_millis(200);
/// The highest rank with a delay of its own; nodes of a higher rank share this one.
const MAX_RANK: usize = 8;
/// The delay before a failed write of a step is retried.
const STEP_RETRY_DELAY: Duration = Duration::from_secs(1);
/// How much the intervals grow with each node, so that all nodes together write at most 40 rows per
/// second.
const INTERVAL_PER_NODE: Duration = Duration::from_millis(25);
/// The minimum interval between two writes of blamed requests. A request that brought down three
/// endpoints must be known to all connected nodes within three seconds, the time for which a node
/// counts as connected after its last contact.
const POISON_INTERVAL: Duration = Duration::from_millis(500);
/// The minimum interval between two writes of verdicts on prompt parts.
const VERDICTS_INTERVAL: Duration = Duration::from_secs(1);
/// The maximum number of verdicts in a row.
const MAX_VERDICTS: usize = 64;
/// How long a starting node waits for the fleet rows, which may already contain its addresses.
const MEMBERS_TIMEOUT: Duration = Duration::from_secs(5);
/// The span over which the nodes of a fleet that starts for the first time spread the writes of
/// their addresses.
const ANNOUNCE_SPREAD: Duration = Duration::from_millis(700);
/// The minimum interval between two writes of the tree of relays, which changes with every node that
/// joins.
const TREE_INTERVAL: Duration = Duration::from_secs(2);
/// The delay before a failed write of the node's own addresses is retried.
const ANNOUNCE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Writes the rows that are due, for the lifetime of the process.
pub async fn run(gateway: Arc<Gateway>) {
    let mut writer = Writer {
        gateway,
        due_since: HashMap::new(),
        written_evidence: HashMap::new(),
        charges: Charges::default(),
        written_verdicts: Vec::new(),
        verdicts_written_at: None,
        statements_written_at: HashMap::new(),
        tree_written_at: None,
        key_written_at: None,
        restoration: Restoration::default(),
    };
    writer.announce().await;
    loop {
        Timer::after(POLL_INTERVAL).await;
        writer.restore().await;
        writer.update_tree().await;
        writer.write_forwarding_key().await;
        writer.update_rollouts().await;
        writer.write_poison().await;
        writer.write_verdicts().await;
        writer.write_statements().await;
    }
}

struct Writer {
    gateway: Arc<Gateway>,
    /// The due phase of each service's rollout and when it became due, by the store's clock.
    due_since: HashMap<String, (Phase, Duration)>,
    /// What was last written and reported of each service's evidence.
    written_evidence: HashMap<String, WrittenEvidence>,
    charges: Charges,
    /// The parts in this node's row of verdicts, and when it was last written.
    written_verdicts: Vec<u64>,
    verdicts_written_at: Option<Instant>,
    /// When the statement of each service was last written, successfully or not.
    statements_written_at: HashMap<String, Instant>,
    /// When the tree of relays was last written.
    tree_written_at: Option<Instant>,
    /// When a key for forwarded requests was last written.
    key_written_at: Option<Instant>,
    restoration: Restoration,
}

impl Writer {
    /// Writes this node's addresses, unless an earlier process of it has written the same ones.
    async fn announce(&self) {
        let settings = &self.gateway.settings;
        if settings.peers.is_none() {
            return;
        }
        if settings.is_first_start {
            Timer::after(ANNOUNCE_SPREAD.mul_f64(rand::random())).await;
        } else {
            self.gateway.wait_for_members(MEMBERS_TIMEOUT).await;
        }
        let Some(node) = self.own_node() else { return };
        let join = Join { name: settings.node.clone(), node };
        let (key, value) = (Key::Node(&join.name).to_string(), encode(&join.node));
        loop {
            let known = self.gateway.mirror.lock().stored_row(Table::Fleet, &key);
            let known: Option<Node> = known.and_then(|it| {
                let value = it.value?;
                // A row that cannot be read is written again.
                serde_json::from_slice(&value).ok()
            });
            if known.is_some_and(|it| it.is_same(&join.node)) {
                return;
            }
            if self.join(&join).await || self.write(&key, None, &value, None).await.is_ok() {
                return;
            }
            Timer::after(ANNOUNCE_RETRY_DELAY).await;
        }
    }

    /// This node's addresses and properties, as of a node that joins now; none if it has no address for
    /// other nodes.
    fn own_node(&self) -> Option<Node> {
        let settings = &self.gateway.settings;
        Some(Node {
            peers: settings.peers?,
            reports: settings.reports,
            domain: Some(settings.domain.clone()),
            capacity: settings.capacity,
            joined: self.gateway.store_time(),
        })
    }

    /// Hands this node's addresses to a node that writes those of many. Returns whether they were
    /// written.
    async fn join(&self, join: &Join) -> bool {
        let gateway = &self.gateway;
        if gateway.settings.is_first_start && joins::is_writer(gateway) {
            return joins::join_self(gateway, join.clone()).await.is_ok();
        }
        for addr in self.writers(join) {
            match joins::join(gateway, addr, join).await {
                Ok(tree) => {
                    tree.into_iter().for_each(|it| gateway.receive_tree(it));
                    return true;
                }
                Err(e) => {
                    let (name, state, why) = (&addr.to_string(), "join_failed", &e.to_string());
                    gateway.log.write(&Event::Dependency { name, state, why });
                }
            }
        }
        false
    }

    /// The nodes that may write the addresses of this one: its parents, or at the first start of the
    /// fleet, when nobody knows the tree, those in the settings.
    fn writers(&self, join: &Join) -> Vec<SocketAddr> {
        let settings = &self.gateway.settings;
        if !settings.is_first_start {
            let Some(tree) = self.gateway.tree() else { return Vec::new() };
            let parents = tree.parents(&settings.node, Some(&settings.domain));
            return parents.into_iter().map(|it| it.addr).collect();
        }
        let mut writers = settings.seeds.clone();
        // The nodes spread over the writers.
        let n_writers = writers.len().max(1);
        writers.rotate_left(hash::bytes(join.name.as_bytes()) as usize % n_writers);
        writers
    }

    /// Stores the tree of relays if this node is its root, for nodes that start.
    async fn update_tree(&mut self) {
        let gateway = Arc::clone(&self.gateway);
        let Some(tree) = gateway.tree().filter(|it| it.is_root(&gateway.settings.node)) else {
            return;
        };
        let key = Key::Tree.to_string();
        let (has_read, stored) = {
            let mirror = gateway.mirror.lock();
            (mirror.has_read(Table::Fleet), mirror.stored_row(Table::Fleet, &key))
        };
        let (value, now) = (encode(&*tree), gateway.now());
        let is_stored = stored.as_ref().and_then(|it| it.value.as_deref()) == Some(&value[..]);
        let is_recent = |at| now.saturating_duration_since(at) < TREE_INTERVAL;
        if !has_read || is_stored || self.tree_written_at.is_some_and(is_recent) {
            return;
        }
        self.tree_written_at = Some(now);
        let expected = stored.map_or(Rev(0), |it| it.rev);
        // A failed write was logged, and is repeated after the interval.
        let _failed = self.write(&key, Some(expected), &value, None).await;
    }

    /// Creates the key with which nodes recognize each other's requests if there is none. One node
    /// does so: the root, or in a fleet without a tree, the one of the lowest rank.
    async fn write_forwarding_key(&mut self) {
        let (gateway, now) = (Arc::clone(&self.gateway), self.gateway.now());
        let is_recent = |at| now.saturating_duration_since(at) < TREE_INTERVAL;
        let known = gateway.forwarding.key();
        let is_lost = known.is_some() && 0 < gateway.mirror.lock().rev(Table::Fleet).era();
        let is_needed = (known.is_none() || is_lost) && 1 < gateway.n_nodes();
        if !is_needed || self.key_written_at.is_some_and(is_recent) {
            return;
        }
        let key = Key::ForwardingKey.to_string();
        let is_writer = match gateway.tree().filter(|it| it.is_used()) {
            Some(tree) => tree.is_root(&gateway.settings.node),
            None => fleet::rank(&gateway, &key) == 0,
        };
        let has_row = {
            let mirror = gateway.mirror.lock();
            !mirror.has_read(Table::Fleet) || mirror.stored_row(Table::Fleet, &key).is_some()
        };
        if !is_writer || has_row {
            return;
        }
        self.key_written_at = Some(now);
        let new = || format!("{:032x}", rand::random::<u128>()).into();
        let value: Arc<str> = known.unwrap_or_else(new);
        // A failed write was logged, and is repeated after the interval.
        let _failed = self.write(&key, Some(Rev(0)), &encode(&value), None).await;
    }

    async fn update_rollouts(&mut self) {
        let now = self.gateway.store_time();
        let Some(now) = now else { return };
        let running: Vec<Rollout> = {
            let mut rollouts = self.gateway.rollouts.lock();
            rollouts.expire_reports(self.gateway.now());
            rollouts.running().cloned().collect()
        };
        for it in running {
            self.write_evidence(&it, now).await;
            self.advance(&it, now).await;
        }
    }

    async fn advance(&mut self, it: &Rollout, now: Duration) {
        let service = &it.order.service;
        let next = match &it.step {
            None => Some(Phase::Waiting),
            Some((step, _)) => {
                let schedule = *self.gateway.rollouts.lock().schedule();
                let share = it.n_reporting() as f64 / self.gateway.n_nodes() as f64;
                let schedule = schedule.for_share_of_nodes(share.min(1.0));
                steps::due(&schedule, &it.order, step, it.evidence(), now)
            }
        };
        let Some(phase) = next else {
            self.due_since.remove(service);
            return;
        };
        let due = match self.due_since.get(service) {
            Some((known, at)) if *known == phase => *at,
            _ => {
                self.due_since.insert(service.clone(), (phase, now));
                now
            }
        };
        if now < due + STEP_STAGGER * self.rank(service) {
            return;
        }
        self.due_since.remove(service);
        if self.write_step(it, phase, now).await.is_err() {
            self.due_since.insert(service.clone(), (phase, now + STEP_RETRY_DELAY));
        }
    }

    async fn write_step(&self, it: &Rollout, phase: Phase, now: Duration) -> Result<(), Error> {
        let service = &it.order.service;
        let (began, expected) = match &it.step {
            Some((step, rev)) if rev.era() == self.era() => (step.began, *rev),
            Some((step, _lost)) => (step.began, self.step_row_rev(service)),
            // Nodes of a higher rank write this step later, so the step begins when the order was
            // received.
            None => (it.received_at.unwrap_or(now), self.step_row_rev(service)),
        };
        let target = it.order.target.clone();
        let history = it.history.clone();
        let extra_share = match (&it.step, phase) {
            (_, Phase::Canary) => self.extra_share(it, now.saturating_sub(began)),
            (Some((step, _)), _) => step.extra_share,
            (None, _) => ExtraShare::default(),
        };
        let order = it.order_rev;
        let step = Step { order, target, phase, began, since: now, history, extra_share };
        let is_reported = phase == Phase::Waiting || phase.is_final();
        let report = step.report(service);
        let key = Key::Step(service).to_string();
        let value = encode(&step);
        let report = is_reported.then_some(&report);
        match self.write(&key, Some(expected), &value, report).await? {
            Committed::Done(rev) => {
                let mut rollouts = self.gateway.rollouts.lock();
                rollouts.apply_step(service, step, rev);
                if let Some(it) = rollouts.get(service) {
                    log_rollout(&self.gateway, it, "taken");
                }
            }
            Committed::Conflict => log_rollout(&self.gateway, it, "conflict"),
        }
        Ok(())
    }

    /// The share of sessions that get the new version in addition, by the requests for the service in the
    /// time since the order.
    fn extra_share(&self, it: &Rollout, elapsed: Duration) -> ExtraShare {
        let schedule = *self.gateway.rollouts.lock().schedule();
        let share = (it.n_reporting() as f64 / self.gateway.n_nodes() as f64).min(1.0);
        let known = it.evidence().requests as f64 / share;
        let part = elapsed.as_secs_f64() / it.order.time_limit.as_secs_f64();
        schedule.extra_share(known / part.max(f64::MIN_POSITIVE))
    }

    /// The revision of the service's step row, which an earlier order may have written.
    fn step_row_rev(&self, service: &str) -> Rev {
        let key = Key::Step(service).to_string();
        self.gateway.mirror.lock().stored_row(Table::Fleet, &key).map_or(Rev(0), |it| it.rev)
    }

    /// Writes the requests that this node blames for endpoint failures, if there are new ones.
    async fn write_poison(&mut self) {
        let now = self.gateway.now();
        let interval = self.write_interval(POISON_INTERVAL);
        let due = self.charges.due(&self.gateway.poison.lock(), interval, now);
        let Some(row) = due else { return };
        let key = Key::Poison(&self.gateway.settings.node).to_string();
        let state = match self.write(&key, None, &encode(&row.entries), None).await {
            Ok(_) => {
                self.charges.record_written(&row, now);
                "written"
            }
            Err(_logged) => {
                self.charges.record_failed(now);
                "write_failed"
            }
        };
        self.gateway.log.write(&Event::PoisonWritten { requests: row.entries.len(), state });
    }

    /// Writes the verdicts on prompt parts that this node is the first to judge, if they changed.
    async fn write_verdicts(&mut self) {
        let (gateway, now) = (&self.gateway, self.gateway.now());
        let due_at = self.verdicts_written_at.map(|it| it + VERDICTS_INTERVAL);
        let own_addr = gateway.settings.reports;
        let mut findings = suspects::findings(gateway);
        findings.retain(|it| suspects::judges(gateway, it.part()).first() == own_addr.as_ref());
        findings.truncate(MAX_VERDICTS);
        let parts: Vec<_> = findings.iter().map(suspects::Finding::part).collect();
        if parts == self.written_verdicts || due_at.is_some_and(|it| now < it) {
            return;
        }
        self.verdicts_written_at = Some(now);
        let key = Key::Parts(&gateway.settings.node).to_string();
        if self.write(&key, None, &encode(&findings), None).await.is_ok() {
            self.written_verdicts = parts;
        }
    }

    /// The minimum interval between two writes of a row that every node writes: `min`, or longer in
    /// a large fleet.
    fn write_interval(&self, min: Duration) -> Duration {
        let n_nodes = u32::try_from(self.gateway.n_nodes()).unwrap_or(u32::MAX);
        min.max(INTERVAL_PER_NODE.saturating_mul(n_nodes))
    }

    async fn write(
        &self,
        key: &str,
        expected: Option<Rev>,
        value: &[u8],
        report: Option<&Report>,
    ) -> Result<Committed, Error> {
        let result = self.gateway.store.commit(Commit { key, expected, value, report }).await;
        self.gateway.metrics.record_store_call(Table::Fleet, &result);
        if let Err(e) = &result {
            let why = format!("{key}: {e}");
            let (name, state) = ("store", "write_failed");
            self.gateway.log.write(&Event::Dependency { name, state, why: &why });
        }
        result
    }

    /// This node's rank among the nodes that may write a step of `service`; rank 0 writes first.
    fn rank(&self, service: &str) -> u32 {
        let n_before = fleet::rank(&self.gateway, service);
        u32::try_from(n_before.min(MAX_RANK)).unwrap_or(u32::MAX)
    }
}

fn encode(value: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("rows can be written as JSON")
}
