//! Writes again what the store has lost, after it came back from a copy (see
//! [`eras`](crate::replication::eras)) or without this node's rows.
//!
//! Each node writes its own rows, at a random time, so that the nodes of a large fleet do not all
//! write at once. The step of a rollout is written by one of them, as any other step.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use super::{Charges, INTERVAL_PER_NODE, STEP_RETRY_DELAY, STEP_STAGGER, Writer, encode};
use crate::{
    fleet::{Key, Node, log_rollout},
    replication::joins::Join,
    rollouts::Rollout,
    steps::Step,
    store::{Committed, Era, Rev, Table},
};

/// The longest time over which nodes spread their writes. Until then, the others go by the lost rows.
pub const MAX_SPREAD: Duration = Duration::from_secs(10);
/// The time after which a node reads the row that it has written, also through several relays.
const READ_BACK_TIME: Duration = Duration::from_secs(5);
/// The delay before a failed write is retried.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// What is left to be written again.
#[derive(Debug, Default)]
pub(super) struct Restoration {
    /// The era for which everything has been written or is planned; none before the first read.
    era: Option<Era>,
    /// When this node's own rows are written again; none if they are.
    due_at: Option<Instant>,
    /// When this node's address was last written again.
    address_written_at: Option<Instant>,
    /// When the step of each service's rollout was found to be missing, by the store's clock.
    missing_steps: HashMap<String, Duration>,
}

/// The time over which the nodes of a fleet spread the writes of their own rows.
///
/// ```
/// # use std::time::Duration;
/// # use curranthook_gateway::fleet_writer::restoration;
/// assert_eq!(restoration::spread(40), Duration::from_secs(1));
/// ```
pub fn spread(n_nodes: usize) -> Duration {
    INTERVAL_PER_NODE.saturating_mul(u32::try_from(n_nodes).unwrap_or(u32::MAX)).min(MAX_SPREAD)
}

impl Writer {
    /// The era of this node's copy of the fleet's rows.
    pub(super) fn era(&self) -> Era {
        self.gateway.mirror.lock().rev(Table::Fleet).era()
    }

    /// Writes what the store has lost and what is due now.
    pub(super) async fn restore(&mut self) {
        let (era, now) = (self.era(), self.gateway.now());
        if !self.gateway.mirror.lock().has_read(Table::Fleet) {
            return;
        }
        let is_new_era = self.restoration.era.replace(era).is_some_and(|it| it < era);
        if is_new_era || self.has_lost_address(now) {
            let spread = spread(self.gateway.n_nodes());
            self.restoration.due_at = Some(now + spread.mul_f64(rand::random()));
        }
        if self.restoration.due_at.is_some_and(|it| it <= now) {
            self.restoration.due_at = None;
            self.restore_own_rows().await;
        }
        if 0 < era {
            self.restore_steps(era).await;
        }
    }

    /// Whether the store has no row with this node's address, which it had, although it has not come back
    /// from a copy, and no write of it is under way.
    fn has_lost_address(&self, now: Instant) -> bool {
        let Restoration { due_at, address_written_at, .. } = self.restoration;
        let is_recent = |at| now.saturating_duration_since(at) < READ_BACK_TIME;
        if due_at.is_some() || address_written_at.is_some_and(is_recent) {
            return false;
        }
        let settings = &self.gateway.settings;
        let key = Key::Node(&settings.node).to_string();
        let is_gone = self.gateway.mirror.lock().is_removed(Table::Fleet, &key);
        // The row of a node that is stopping is its successor's.
        is_gone && settings.peers.is_some() && !self.gateway.is_stopping()
    }

    /// Writes this node's address if the store has lost it. Its other rows are written by the tasks
    /// that wrote them before, which forget what they have written.
    async fn restore_own_rows(&mut self) {
        self.charges = Charges::default();
        self.written_verdicts.clear();
        self.written_evidence.clear();
        self.statements_written_at.clear();
        let settings = &self.gateway.settings;
        let key = Key::Node(&settings.node).to_string();
        let (stored, newest): (Option<Node>, Option<Node>) = {
            let mirror = self.gateway.mirror.lock();
            let stored = mirror.stored_row(Table::Fleet, &key);
            let newest = mirror.row(Table::Fleet, &key);
            (stored.and_then(|it| decode(&it.value?)), newest.and_then(|it| decode(&it.value?)))
        };
        let known = self.gateway.peers.lock().get(&settings.node).cloned();
        let Some(own) = known.or(newest).or_else(|| self.own_node()) else { return };
        if stored.is_some_and(|it| it.is_same(&own)) {
            return;
        }
        let join = Join { name: settings.node.clone(), node: own };
        let value = encode(&join.node);
        if self.join(&join).await || self.write(&key, None, &value, None).await.is_ok() {
            self.restoration.address_written_at = Some(self.gateway.now());
        } else {
            self.restoration.due_at = Some(self.gateway.now() + RETRY_DELAY);
        }
    }

    /// Writes the steps of rollouts, with their reports, that the store has lost.
    async fn restore_steps(&mut self, era: Era) {
        let Some(now) = self.gateway.store_time() else { return };
        let unconfirmed: Vec<(Rollout, Step)> = {
            let rollouts = self.gateway.rollouts.lock();
            let of_era = rollouts.all().filter_map(|it| Some((it, it.unconfirmed_step(era)?)));
            of_era.map(|(it, step)| (it.clone(), step.clone())).collect()
        };
        let is_unconfirmed =
            |service: &str| unconfirmed.iter().any(|(it, _)| it.order.service == service);
        self.restoration.missing_steps.retain(|service, _| is_unconfirmed(service));
        for (rollout, step) in unconfirmed {
            self.restore_step(&rollout, step, now).await;
        }
    }

    async fn restore_step(&mut self, it: &Rollout, step: Step, now: Duration) {
        let service = &it.order.service;
        let key = Key::Step(service).to_string();
        let stored = self.gateway.mirror.lock().stored_row(Table::Fleet, &key);
        let step = Step { order: it.order_rev, ..step };
        let stored_step: Option<Step> = stored.as_ref().and_then(|it| decode(it.value.as_ref()?));
        if let Some((row, _)) = stored.as_ref().zip(stored_step).filter(|(_, it)| *it == step) {
            self.gateway.rollouts.lock().apply_step(service, step, row.rev);
            return;
        }
        let missing = &mut self.restoration.missing_steps;
        let since = *missing.entry(service.clone()).or_insert(now);
        if now < since + STEP_STAGGER * self.rank(service) {
            return;
        }
        let report = step.report(service);
        let expected = stored.map_or(Rev(0), |it| it.rev);
        match self.write(&key, Some(expected), &encode(&step), Some(&report)).await {
            Ok(Committed::Done(rev)) => {
                self.restoration.missing_steps.remove(service);
                let mut rollouts = self.gateway.rollouts.lock();
                rollouts.apply_step(service, step, rev);
                if let Some(it) = rollouts.get(service) {
                    log_rollout(&self.gateway, it, "restored");
                }
            }
            Ok(Committed::Conflict) => log_rollout(&self.gateway, it, "conflict"),
            Err(_logged) => {
                let retry_at = now + STEP_RETRY_DELAY;
                self.restoration.missing_steps.insert(service.clone(), retry_at);
            }
        }
    }
}

fn decode<T: serde::de::DeserializeOwned>(value: &[u8]) -> Option<T> {
    serde_json::from_slice(value).ok()
}
