//! What a node writes for the others: its address, steps of roll-outs that are due, what it saw
//! of a new version, and the requests that it charges.

use std::{
    cmp::Reverse,
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use async_io::Timer;
use curranthook_policy::hash;

use crate::{
    Gateway,
    event::Event,
    fleet::{Key, Node, Seen, log_step},
    rollouts::Rollout,
    settings::Settings,
    steps::{self, Evidence, Phase, Step},
    store::{Commit, Committed, Error, Progress, Report, Rev, Table},
};

/// How often it's looked at what is to be written.
const PERIOD: Duration = Duration::from_millis(250);
/// By how much the nodes stagger a step, so that one takes it and the others see it taken.
const STAGGER: Duration = Duration::from_millis(200);
/// How many nodes stagger apart; later ones share the last place.
const MAX_RANK: usize = 8;
/// After how long a step is tried again that couldn't be written.
const STEP_RETRY: Duration = Duration::from_secs(1);
/// How often what was seen of a new version is written, at least.
const EVIDENCE_PERIOD: Duration = Duration::from_millis(1_000);
/// How much longer that is for each node there is, so that all nodes together write 40 rows a
/// second at most.
const PERIOD_PER_NODE: Duration = Duration::from_millis(25);
/// How often charges are written, at least. A request that ended three endpoints must be known to
/// all nodes within the three seconds in which a node counts as in touch.
const POISON_PERIOD: Duration = Duration::from_millis(500);
/// How many requests a row of charges holds: at 150 bytes each a sixth of the largest row.
const MAX_CHARGES: usize = 64;
/// How many nodes tell of good answers. A few see enough of them; bad ones are told by all.
const WITNESSES: u32 = 6;
/// How long a node that starts waits to see whether its address is known from before.
const MEMBERS_LIMIT: Duration = Duration::from_millis(500);
/// Over how long the nodes of a fleet that starts for the first time spread these writes. The store
/// turns away more than some hundred a second.
const ANNOUNCE_SPREAD: Duration = Duration::from_millis(900);
/// How often a failed write of the own address is repeated.
const NODE_PERIOD: Duration = Duration::from_secs(1);

/// Writes what is due for as long as the process lives.
pub async fn run(gateway: Arc<Gateway>) {
    let mut writer =
        Writer { gateway, due: HashMap::new(), written: HashMap::new(), poison: (0, None) };
    writer.announce().await;
    loop {
        Timer::after(PERIOD).await;
        writer.roll_outs().await;
        writer.poison().await;
    }
}

struct Writer {
    gateway: Arc<Gateway>,
    /// Since when a step of a service is due, by the store's clock.
    due: HashMap<String, (Phase, Duration)>,
    /// What was written of each service, and when.
    written: HashMap<String, (Evidence, Duration)>,
    /// What was charged when that was last written, and when.
    poison: (usize, Option<Instant>),
}

impl Writer {
    async fn announce(&self) {
        let Some(peers) = self.gateway.settings.peers else { return };
        let value = {
            let Settings { reports, capacity, domain, .. } = self.gateway.settings.clone();
            encode(&Node { peers, reports, domain: Some(domain), capacity })
        };
        let name = self.gateway.settings.node.clone();
        let key = Key::Node(&name).to_string();
        if self.gateway.settings.is_first_start {
            Timer::after(ANNOUNCE_SPREAD.mul_f64(rand::random())).await;
        } else {
            self.gateway.wait_for_members(MEMBERS_LIMIT).await;
        }
        loop {
            // Nothing to do if an earlier process of this node wrote the same.
            let known = self.gateway.mirror.lock().row(Table::Fleet, &key).cloned();
            if known.is_some_and(|it| it.value.as_deref() == Some(&value[..])) {
                return;
            }
            if self.write(&key, None, &value, None).await.is_ok() {
                return;
            }
            Timer::after(NODE_PERIOD).await;
        }
    }

    async fn roll_outs(&mut self) {
        let now = self.gateway.store_time();
        let Some(now) = now else { return };
        let running: Vec<Rollout> = self.gateway.rollouts.lock().running().cloned().collect();
        for it in running {
            self.tell(&it, now).await;
            self.step(&it, now).await;
        }
    }

    async fn step(&mut self, it: &Rollout, now: Duration) {
        let service = &it.order.service;
        let next = match &it.step {
            None => Some(Phase::Waiting),
            Some((step, _)) => {
                let schedule = *self.gateway.rollouts.lock().schedule();
                steps::due(&schedule, &it.order, step, it.evidence(), now)
            }
        };
        let Some(phase) = next else {
            self.due.remove(service);
            return;
        };
        let due = match self.due.get(service) {
            Some((known, at)) if *known == phase => *at,
            _ => {
                self.due.insert(service.clone(), (phase, now));
                now
            }
        };
        if now < due + STAGGER * self.rank(service) {
            return;
        }
        self.due.remove(service);
        if self.take_step(it, phase, now).await.is_err() {
            self.due.insert(service.clone(), (phase, now + STEP_RETRY));
        }
    }

    async fn take_step(&self, it: &Rollout, phase: Phase, now: Duration) -> Result<(), Error> {
        let service = &it.order.service;
        let (began, expected) = match &it.step {
            Some((step, rev)) => (step.began, *rev),
            // Nodes whose place is later take this step later; the time they had the order counts.
            None => (it.heard.unwrap_or(now), self.row_rev(service)),
        };
        let target = it.order.target.clone();
        let step = Step { order: it.order_rev, target, phase, began, since: now };
        let state = match phase {
            Phase::Completed => Progress::Completed,
            Phase::RolledBack => Progress::RolledBack,
            _ => Progress::Running,
        };
        let is_told = phase == Phase::Waiting || phase.is_final();
        let report = Report { service: service.clone(), target: step.target.clone(), state };
        let key = Key::Step(service).to_string();
        let value = encode(&step);
        let report = is_told.then_some(&report);
        match self.write(&key, Some(expected), &value, report).await? {
            Committed::Done(rev) => {
                let mut rollouts = self.gateway.rollouts.lock();
                rollouts.apply_step(service, step, rev);
                if let Some(it) = rollouts.get(service) {
                    log_step(&self.gateway, it, "taken");
                }
            }
            Committed::Conflict => log_step(&self.gateway, it, "conflict"),
        }
        Ok(())
    }

    /// The revision that the row of a service's steps has from an earlier order.
    fn row_rev(&self, service: &str) -> Rev {
        let key = Key::Step(service).to_string();
        self.gateway.mirror.lock().row(Table::Fleet, &key).map_or(Rev(0), |it| it.rev)
    }

    /// Writes what this node saw of a roll-out, if that is news.
    async fn tell(&mut self, it: &Rollout, now: Duration) {
        let service = &it.order.service;
        if matches!(it.phase(), Phase::Waiting | Phase::Completed | Phase::RolledBack) {
            return;
        }
        let (known, at) = self.written.get(service).copied().unwrap_or_default();
        let is_same = known.new.bad == it.own.new.bad && !it.own.is_suspicious();
        let is_news = match is_same {
            true => known.new != it.own.new && self.rank(service) < WITNESSES,
            false => true,
        };
        let period = self.period(EVIDENCE_PERIOD);
        if !is_news || now < at + period {
            return;
        }
        let key = Key::Evidence(service, &self.gateway.settings.node).to_string();
        let value = encode(&Seen { order: it.order_rev, evidence: it.own });
        let is_written = self.write(&key, None, &value, None).await.is_ok();
        // A failed write waits like a done one; otherwise each node would call a store that is
        // away four times a second.
        let told = if is_written { it.own } else { known };
        self.written.insert(service.clone(), (told, now));
    }

    /// Writes the requests that this node charges, if there are new ones.
    async fn poison(&mut self) {
        let now = self.gateway.now();
        let period = self.period(POISON_PERIOD);
        let (known, at) = self.poison;
        if at.is_some_and(|at| now.saturating_duration_since(at) < period) {
            return;
        }
        let mut entries = self.gateway.poison.lock().export(now);
        let charged: usize = entries.iter().map(|it| it.endpoints.len()).sum();
        if charged <= known {
            return;
        }
        // When many endpoints end at once, each request under way there is charged. The one that
        // ends endpoints comes again, so it's among those with most charges or the newest.
        entries.sort_by_key(|it| (Reverse(it.endpoints.len()), it.age));
        entries.truncate(MAX_CHARGES);
        let key = Key::Poison(&self.gateway.settings.node).to_string();
        let written = self.write(&key, None, &encode(&entries), None).await;
        // A failed write isn't repeated at once: the store may be away, or refuse it for good.
        let charged = if written.is_ok() { charged } else { known };
        self.poison = (charged, Some(now));
    }

    /// How often this node may write what all nodes write.
    fn period(&self, least: Duration) -> Duration {
        let n_nodes = u32::try_from(self.gateway.n_nodes()).unwrap_or(u32::MAX);
        least.max(PERIOD_PER_NODE.saturating_mul(n_nodes))
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

    /// This node's place among those that may take a step of `service`.
    fn rank(&self, service: &str) -> u32 {
        let weight =
            |node: &str| hash::pair(hash::bytes(service.as_bytes()), hash::bytes(node.as_bytes()));
        let own = weight(&self.gateway.settings.node);
        let before = self.gateway.peers.lock().keys().filter(|it| weight(it) < own).count();
        u32::try_from(before.min(MAX_RANK)).unwrap_or(u32::MAX)
    }
}

fn encode(value: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("rows can be written as JSON")
}
