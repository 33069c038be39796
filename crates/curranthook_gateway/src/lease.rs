//! A place at the endpoint that a request goes to, and the account that is kept of it there.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use curranthook_types::endpoint;

use crate::{
    Gateway,
    advertised::Incarnation,
    affinity::Record,
    connections,
    dialect::{Load, Reply},
    directory::Outcome,
    entry::State,
    event::Event,
    load_reports::PeerState,
    prefill::Prompt,
    rate_limit,
    selection::{self, Choice, Criteria},
};

/// A place at an endpoint. Dropping it gives it back.
#[derive(Debug)]
pub struct Lease {
    gateway: Arc<Gateway>,
    /// The endpoint.
    pub id: endpoint::Id,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its version.
    pub version: String,
    /// How busy it seemed.
    pub outstanding: u32,
    /// The prompt that it reads.
    pub prompt: Prompt,
    /// The work that waited there.
    pub queue_delay: Duration,
    /// When its first event is likely to come; none for plain services.
    pub expected_first_event: Option<Duration>,
    /// How many idle connections this node may keep there.
    pub max_idle: usize,
    /// Which start of the endpoint it's for.
    started_ms: Option<u64>,
    pending_prefill: Duration,
    outcome: Outcome,
}

/// Whether an answer is all that its endpoint would say.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completeness {
    /// A successful answer to the request.
    Whole,
    /// A failure, a refusal, or none of the request's.
    Partial,
}

impl Lease {
    /// A place at the best endpoint for a request, if there is one (see [`offer::best`]).
    pub fn acquire(
        gateway: &Arc<Gateway>,
        criteria: &Criteria<'_>,
        peer_reports: &PeerState,
    ) -> Option<Self> {
        let now = gateway.now();
        let mut directory = gateway.directory.lock();
        directory.remove_lapsed(now);
        selection::renew_permits(gateway, &mut directory, criteria.service, now);
        let choice = selection::best(gateway, &directory, criteria, peer_reports)?;
        let Choice { prompt, outstanding, queue_delay, .. } = choice;
        let latency = criteria.model.map(|it| it.latency);
        let expected_first_event = latency.map(|it| choice.first_event(&it));
        let pending_prefill =
            latency.map_or(Duration::ZERO, |it| it.coefficients.prefill_time(prompt));
        let entry = choice.endpoint.entry.clone();
        directory.request_sent(&entry.id, pending_prefill, now);
        if let Some(prefix_hash) = criteria.prefix_hash {
            gateway.affinity.lock().record(prefix_hash, &entry.id, now);
            if let Some(reports) = gateway.load_reports.get() {
                reports.queue_read(Record { prefix_hash, endpoint: entry.id.clone() });
            }
        }
        gateway.pending_work_changed.wake();
        let max_connections = gateway.service(criteria.service, |it| it.max_connections);
        let max_idle = max_connections.map(|it| connections::max_idle(it, gateway.n_nodes()));
        Some(Self {
            gateway: Arc::clone(gateway),
            id: entry.id,
            addr: entry.addr,
            version: entry.version,
            started_ms: entry.started_ms,
            outstanding,
            prompt,
            queue_delay,
            expected_first_event,
            max_idle: max_idle.unwrap_or(usize::MAX),
            pending_prefill,
            outcome: Outcome::Abandoned,
        })
    }

    /// Takes in what the endpoint says of itself in an answer.
    pub fn record_advertised(&self, reply: &Reply, completeness: Completeness) {
        let incarnation =
            Incarnation { id: self.id.clone(), addr: self.addr, born: self.started_ms };
        let (endpoint, now) = (self.id.as_str(), self.gateway.now());
        let at = self.gateway.store_time().unwrap_or_default();
        let notice = rate_limit::Notice { rate: reply.rate_limit, at };
        let mut directory = self.gateway.directory.lock();
        if reply.state == State::Leaving && directory.set_leaving(&incarnation, now) {
            self.gateway.log.write(&Event::Leaving { endpoint, from: "answer" });
        }
        if let Some(length) = reply.pause {
            directory.pause(&incarnation, length, now);
            let length_ms = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
            self.gateway.log.write(&Event::Paused { endpoint, length_ms });
        }
        // An answer that went wrong may lack what its endpoint says in all others.
        let states_limit = completeness == Completeness::Whole || notice.rate.is_some();
        let is_changed = states_limit && directory.set_rate_limit(&incarnation, &notice, now);
        drop(directory);
        if is_changed {
            self.report_rate_limit(notice);
        }
    }

    fn report_rate_limit(&self, notice: rate_limit::Notice) {
        let (endpoint, rate) = (self.id.as_str(), notice.rate);
        self.gateway.log.write(&Event::RateLimit { endpoint, rate, from: "answer" });
        if let Some(reports) = self.gateway.load_reports.get() {
            reports.queue_limit(&self.id, notice);
            self.gateway.pending_work_changed.wake();
        }
    }

    /// The first byte of an answer came.
    pub fn record_first_byte(&mut self, load: Option<Load>) {
        let now = self.gateway.now();
        let pending_prefill = std::mem::take(&mut self.pending_prefill);
        self.gateway.directory.lock().first_byte_received(&self.id, pending_prefill, load, now);
        self.gateway.pending_work_changed.wake();
    }

    /// Gives it back.
    pub fn close(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let now = self.gateway.now();
        let mut directory = self.gateway.directory.lock();
        directory.request_ended(&self.id, self.outcome, self.pending_prefill, now);
        let is_lost = matches!(self.outcome, Outcome::ConnectFailed | Outcome::AddressReused);
        if is_lost
            && directory.has_recent_answer(now)
            && let Some(reports) = self.gateway.load_reports.get()
        {
            reports.queue_unreachable(self.id.clone());
            self.gateway.pending_work_changed.wake();
        }
    }
}
