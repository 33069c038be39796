//! A place at the endpoint that a request goes to, and the account that is kept of it there.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use curranthook_types::endpoint;

use crate::{
    Gateway,
    advertised::Incarnation,
    affinity::Read,
    connections,
    dialect::{Load, Reply},
    directory::Outcome,
    entry::State,
    event::Event,
    load_reports::PeerState,
    offer::{self, Offer, Wanted},
    prefill::Prompt,
    rate_limit,
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
    pub busy: u32,
    /// The prompt that it reads.
    pub prompt: Prompt,
    /// The work that waited there.
    pub waited: Duration,
    /// When its first event is likely to come; none for plain services.
    pub expected: Option<Duration>,
    /// How many idle connections this node may keep there.
    pub max_idle: usize,
    /// Which start of the endpoint it's for.
    born: Option<u64>,
    pending: Duration,
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
    pub fn take(gateway: &Arc<Gateway>, wanted: &Wanted<'_>, heard: &PeerState) -> Option<Self> {
        let now = gateway.now();
        let mut directory = gateway.directory.lock();
        directory.remove_lapsed(now);
        offer::renew_permits(gateway, &mut directory, wanted.service, now);
        let offer = offer::best(gateway, &directory, wanted, heard)?;
        let Offer { prompt, busy, waited, .. } = offer;
        let pace = wanted.model.map(|it| it.pace);
        let expected = pace.map(|it| offer.first_event(&it));
        let pending = pace.map_or(Duration::ZERO, |it| it.speed.prefill(prompt));
        let entry = offer.endpoint.entry.clone();
        directory.request_sent(&entry.id, pending, now);
        if let Some(subject) = wanted.subject {
            gateway.affinity.lock().read(subject, &entry.id, now);
            if let Some(reports) = gateway.load_reports.get() {
                reports.queue_read(Read { subject, endpoint: entry.id.clone() });
            }
        }
        gateway.pending_work_changed.wake();
        let max_connections = gateway.service(wanted.service, |it| it.max_connections);
        let max_idle = max_connections.map(|it| connections::max_idle(it, gateway.n_nodes()));
        Some(Self {
            gateway: Arc::clone(gateway),
            id: entry.id,
            addr: entry.addr,
            version: entry.version,
            born: entry.born,
            busy,
            prompt,
            waited,
            expected,
            max_idle: max_idle.unwrap_or(usize::MAX),
            pending,
            outcome: Outcome::Abandoned,
        })
    }

    /// Takes in what the endpoint says of itself in an answer.
    pub fn record_advertised(&self, reply: &Reply, completeness: Completeness) {
        let incarnation = Incarnation { id: self.id.clone(), addr: self.addr, born: self.born };
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
        let tells_limit = completeness == Completeness::Whole || notice.rate.is_some();
        let is_news = tells_limit && directory.set_rate_limit(&incarnation, &notice, now);
        drop(directory);
        if is_news {
            self.tell_rate_limit(notice);
        }
    }

    fn tell_rate_limit(&self, notice: rate_limit::Notice) {
        let (endpoint, rate) = (self.id.as_str(), notice.rate);
        self.gateway.log.write(&Event::RateLimit { endpoint, rate, from: "answer" });
        if let Some(reports) = self.gateway.load_reports.get() {
            reports.queue_limit(&self.id, notice);
            self.gateway.pending_work_changed.wake();
        }
    }

    /// The first byte of an answer came.
    pub fn began(&mut self, load: Option<Load>) {
        let now = self.gateway.now();
        let pending = std::mem::take(&mut self.pending);
        self.gateway.directory.lock().first_byte_received(&self.id, pending, load, now);
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
        directory.request_ended(&self.id, self.outcome, self.pending, now);
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
