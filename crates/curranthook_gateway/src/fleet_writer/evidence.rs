//! Writes and reports this node's evidence about new versions.

use std::{net::SocketAddr, time::Duration};

use super::{INTERVAL_PER_NODE, Writer, collectors::Collectors, encode};
use crate::{
    fleet::{Key, Observation},
    rollouts::Rollout,
    steps::Counts,
    store::Rev,
};

/// The minimum interval between two writes of evidence about a new version.
const EVIDENCE_INTERVAL: Duration = Duration::from_millis(1_000);
/// The minimum interval between two reports of evidence to a collector.
const EVIDENCE_REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// The part of the time limit after which a collector writes its row though no answer of the new version
/// is known, so that the others know the number of requests.
const FIRST_WRITE_PART: f64 = 0.25;

/// What a node has written and reported of the evidence about a rollout, at times of the store's
/// clock.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct WrittenEvidence {
    order: Rev,
    /// The answers of the new version in the row: those that this node has received, and those that
    /// were reported to it.
    new: (Counts, Counts),
    written_at: Duration,
    reported_at: Duration,
}

/// What a node does with its evidence about a rollout, beside writing bad evidence.
#[derive(Debug, Clone, Copy)]
enum EvidenceRole {
    /// It writes good evidence, too, and that of others, as one of `n_collectors`.
    Collector { n_collectors: u32 },
    /// It reports to the collector at this address.
    Reporter(SocketAddr),
    /// There are no datagrams between the nodes.
    None,
}

impl Writer {
    /// Writes this node's evidence about a rollout if that is its role or if there is bad evidence,
    /// and reports to its collector what it has not written.
    pub(super) async fn write_evidence(&mut self, it: &Rollout, now: Duration) {
        let service = &it.order.service;
        if it.phase().is_final() {
            return;
        }
        let known = self.written_evidence.get(service).copied().unwrap_or_default();
        let known = if known.order == it.order_rev { known } else { WrittenEvidence::default() };
        let mut written = WrittenEvidence { order: it.order_rev, ..known };
        let role = self.evidence_role(service);
        // The first phase in which the version gets requests depends on how many there are.
        let elapsed = now.saturating_sub(it.received_at.unwrap_or(now));
        let is_first =
            known.written_at.is_zero() && it.order.time_limit.mul_f64(FIRST_WRITE_PART) <= elapsed;
        let (collected, n_collected) = it.reported_sum();
        let (own, has_bad) = (it.own, known.new.0.bad != it.own.new.bad);
        let (is_due, interval) = match role {
            EvidenceRole::Collector { n_collectors } => (
                known.new != (own.new, collected.new) || is_first,
                EVIDENCE_INTERVAL.max(INTERVAL_PER_NODE * n_collectors),
            ),
            EvidenceRole::Reporter(_) => (has_bad, self.write_interval(EVIDENCE_INTERVAL)),
            EvidenceRole::None => {
                (has_bad || own.is_suspicious(), self.write_interval(EVIDENCE_INTERVAL))
            }
        };
        if is_due && known.written_at + interval <= now {
            self.gateway.rollouts.lock().record_evidence_written(service);
            let key = Key::Evidence(service, &self.gateway.settings.node).to_string();
            let row = Observation { order: it.order_rev, evidence: own, collected, n_collected };
            if self.write(&key, None, &encode(&row), None).await.is_ok() {
                self.gateway.rollouts.lock().record_row(service, it.order_rev, own);
                written.new = (own.new, collected.new);
                // The collector must not add what the row contains now.
                written.reported_at = Duration::ZERO;
            }
            // A failed write delays the next one as a successful write does; otherwise each node
            // would call an unavailable store four times a second.
            written.written_at = now;
        }
        if let EvidenceRole::Reporter(collector) = role
            && written.reported_at + EVIDENCE_REPORT_INTERVAL <= now
        {
            self.report_evidence(it, collector).await;
            written.reported_at = now;
        }
        self.written_evidence.insert(service.clone(), written);
    }

    async fn report_evidence(&self, it: &Rollout, collector: SocketAddr) {
        let Some(reports) = self.gateway.load_reports.get() else { return };
        let own_in_row = {
            let rollouts = self.gateway.rollouts.lock();
            rollouts.get(&it.order.service).map_or(it.own_in_row, |it| it.own_in_row)
        };
        let (node, rollout) = (&self.gateway.settings.node, (&it.order.service[..], it.order_rev));
        reports.send_evidence(node, rollout, it.own.minus(own_in_row), collector).await;
    }

    fn evidence_role(&self, service: &str) -> EvidenceRole {
        let own = &self.gateway.settings.node;
        let peers = self.gateway.peers.lock();
        let others = peers.keys().filter(|it| *it != own).map(String::as_str);
        let collectors = Collectors::new(service, others.chain([&own[..]]));
        if collectors.contains(own) {
            let n_collectors = u32::try_from(collectors.len()).unwrap_or(u32::MAX);
            return EvidenceRole::Collector { n_collectors };
        }
        let collector = collectors.of(own).and_then(|it| peers.get(it)?.reports);
        match collector.filter(|_| self.gateway.load_reports.get().is_some()) {
            Some(addr) => EvidenceRole::Reporter(addr),
            None => EvidenceRole::None,
        }
    }
}
