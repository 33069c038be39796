//! Counts a request as load of the endpoint that it is sent to, until the request ends.

use std::{
    net::SocketAddr,
    sync::{Arc, Weak},
    time::Duration,
};

use curranthook_http::client;
use curranthook_policy::slowdown::{Factor, Figure, Outlook};
use curranthook_types::endpoint;

use crate::{
    Gateway,
    advertised::Incarnation,
    affinity::Record,
    brittle::{self, limit::Rejection},
    connections,
    dialect::{Load, Reply},
    directory::{Directory, Outcome},
    entry::State,
    event::Event,
    forwarding::probe,
    job::millis,
    load::{
        in_flight,
        occupancy::Occupancy,
        prefill::Prompt,
        reports::{PeerState, statements},
        work::Work,
    },
    permit, rate_limit,
    selection::{self, Choice, Criteria, Room, Unavailable},
};

/// A request slot at an endpoint. Dropping the lease releases the slot.
#[derive(Debug)]
pub struct Lease {
    gateway: Arc<Gateway>,
    /// The endpoint's id.
    pub id: endpoint::Id,
    /// The address that the endpoint listens at.
    pub addr: SocketAddr,
    /// The version of the endpoint's software.
    pub version: String,
    /// The endpoint's service.
    service: String,
    /// Whether the endpoint gets the load of a busy one, as its version is under test.
    pub is_concentrated: bool,
    /// The estimated number of queued and running requests at the endpoint when the lease was
    /// acquired.
    pub outstanding: u32,
    /// The prompt, split by what the endpoint is expected to have cached.
    pub prompt: Prompt,
    /// The prefill time of the work that was queued ahead of the request.
    pub queue_delay: Duration,
    /// All work that was queued at the endpoint, and the age of the oldest report of another node
    /// that it is based on.
    pub waiting: (Work, Option<Duration>),
    /// How long work was expected to take at the endpoint when the lease was acquired.
    pub slowdown: Outlook,
    /// What was known about the requests at the endpoint.
    pub occupancy: Occupancy,
    /// Why the endpoint was expected to accept the request.
    pub room: Room,
    /// The expected time to the first event; `None` for a service without models.
    pub expected_time_to_first_event: Option<Duration>,
    /// How many idle connections this node may keep to the endpoint.
    pub max_idle: usize,
    /// When the endpoint started, in milliseconds of the wall clock; identifies its incarnation.
    started_ms: Option<u64>,
    pending_prefill: Work,
    /// Whether other nodes are informed when the lease ends.
    is_shared: bool,
    outcome: Outcome,
}

/// Charges an endpoint for bytes that follow after an answer that seemed whole.
#[derive(Debug)]
pub struct SurplusCharge {
    gateway: Weak<Gateway>,
    incarnation: Incarnation,
}

impl client::Observer for SurplusCharge {
    fn on_surplus(self: Box<Self>) {
        let Some(gateway) = self.gateway.upgrade() else { return };
        gateway.log.write(&Event::Surplus { endpoint: self.incarnation.id.as_str() });
        gateway.directory.lock().record_surplus(&self.incarnation, gateway.now());
    }
}

/// Whether a response carries all headers in which its endpoint states its own limits. If so, a
/// missing rate limit means that there is none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completeness {
    /// A successful response to the request.
    Whole,
    /// A failure, a refusal, or a response to another request.
    Partial,
}

impl Lease {
    /// Acquires a lease at the best endpoint for a request, if there is one (see
    /// [`selection::best`]).
    pub fn acquire(
        gateway: &Arc<Gateway>,
        criteria: &Criteria<'_>,
        peer_state: &PeerState,
    ) -> Result<Self, Unavailable> {
        let now = gateway.now();
        let mut directory = gateway.directory.lock();
        directory.refresh(now);
        selection::renew_permits(gateway, &mut directory, criteria.service, now);
        let choice = selection::best(gateway, &directory, criteria, peer_state)?;
        let Choice { prompt, outstanding, queue_delay, waiting, waiting_age, .. } = choice;
        let Choice { slowdown, occupancy, is_concentrated, room, .. } = choice;
        let is_shared = in_flight::is_shared(gateway, &directory, criteria.service);
        if slowdown.age.is_some() {
            gateway.metrics.record_slowdown(slowdown.expected);
        }
        let latency = criteria.model.map(|it| it.latency);
        let expected_time_to_first_event = latency.map(|it| choice.time_to_first_event(&it));
        let prefill = latency.map_or(Duration::ZERO, |it| it.coefficients.prefill_time(prompt));
        // Where priorities are ignored, all work is recorded as the most urgent.
        let pending_prefill = Work::new(criteria.priority.unwrap_or_default(), prefill);
        let entry = choice.endpoint.entry.clone();
        let permits = match criteria.borrowed {
            Some(_) => permit::Owner::Lender,
            None => permit::Owner::Sender,
        };
        directory.request_sent(&entry.id, pending_prefill, permits, now);
        if room == Room::Permitted && permits == permit::Owner::Sender {
            directory.attempt_sent(&entry.id, now);
        }
        if let Some(room) = room.name() {
            gateway.metrics.record_brittle_attempt(room);
        }
        if is_shared {
            report_in_flight(gateway);
        }
        gateway.pending_work_changed.wake();
        let max_connections = gateway.service(criteria.service, |it| it.max_connections);
        let max_idle = max_connections.map(|it| connections::max_idle(it, gateway.n_nodes()));
        Ok(Self {
            gateway: Arc::clone(gateway),
            id: entry.id,
            addr: entry.addr,
            version: entry.version,
            service: entry.service,
            started_ms: entry.started_ms,
            is_concentrated,
            outstanding,
            prompt,
            queue_delay,
            waiting: (waiting, waiting_age),
            slowdown,
            occupancy,
            room,
            expected_time_to_first_event,
            max_idle: max_idle.unwrap_or(usize::MAX),
            pending_prefill,
            is_shared,
            outcome: Outcome::Abandoned,
        })
    }

    /// The endpoint's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { id: self.id.clone(), addr: self.addr, started_ms: self.started_ms }
    }

    /// Records that the endpoint prefills the prompt prefix with this hash.
    pub fn record_prefix(&self, prefix_hash: u64) {
        let (gateway, endpoint) = (&self.gateway, &self.id);
        gateway.affinity.lock().record(prefix_hash, endpoint, gateway.now());
        if let Some(reports) = gateway.load_reports.get() {
            reports.queue_prefill(Record { prefix_hash, endpoint: endpoint.clone() });
            gateway.pending_work_changed.wake();
        }
    }

    /// Applies the state and the limits that the endpoint announces in a response.
    pub fn record_advertised(&self, reply: &Reply, completeness: Completeness) {
        let incarnation = self.incarnation();
        let (endpoint, now) = (self.id.as_str(), self.gateway.now());
        let at = self.gateway.store_time().unwrap_or_default();
        let notice = rate_limit::Notice { rate: reply.rate_limit, at };
        if let Some(max_rejections) = reply.max_rejections {
            let statement = brittle::Statement { max_rejections, at: now, since: now };
            statements::record(&self.gateway, &self.service, statement, "answer");
        }
        if reply.is_rejection() {
            self.record_rejection(reply.load);
        }
        let mut directory = self.gateway.directory.lock();
        if completeness == Completeness::Whole {
            directory.record_response(&self.id, self.addr, now);
            log_transitions(&self.gateway, &mut directory);
        }
        if reply.state == State::Leaving && directory.set_leaving(&incarnation, now) {
            self.gateway.log.write(&Event::Leaving { endpoint, from: "answer" });
        }
        if let Some(length) = reply.pause {
            directory.pause(&incarnation, length, now);
            let length_ms = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
            self.gateway.log.write(&Event::Paused { endpoint, length_ms });
        }
        // A failed response may lack headers that the endpoint sends in all others.
        let states_limit = completeness == Completeness::Whole || notice.rate.is_some();
        let is_changed = states_limit && directory.set_rate_limit(&incarnation, &notice, now);
        // Only a response to this request is evidence of the endpoint's speed.
        let figure = reply.load.and_then(|it| it.slowdown).and_then(Factor::new);
        let figure = figure.filter(|_| completeness == Completeness::Whole);
        let figure = figure.map(|factor| Figure { factor, at: now });
        let figure = figure.filter(|it| directory.record_slowdown(&self.id, self.started_ms, *it));
        drop(directory);
        if is_changed {
            self.report_rate_limit(notice);
        }
        if let Some(figure) = figure {
            self.report_slowdown(figure);
        }
    }

    /// Records a rejection for want of capacity, if the endpoint is brittle.
    fn record_rejection(&self, load: Option<Load>) {
        let (gateway, now) = (&self.gateway, self.gateway.now());
        let mut directory = gateway.directory.lock();
        if !directory.is_brittle(&self.service, now) {
            return;
        }
        let known_requests = self.occupancy.requests();
        let stated = load.map(|it| it.running.saturating_add(it.waiting));
        let slots = directory.get(&self.id).map_or(0, |it| it.entry.slots);
        let has_free_slots = stated.is_some_and(|it| it < slots);
        let rejection = Rejection {
            n_requests: stated.unwrap_or(known_requests),
            prompt_tokens: has_free_slots.then(|| self.prompt.tokens()),
        };
        directory.record_rejection(&self.id, rejection, now);
        let own_in_flight = directory.get(&self.id).map_or(0, |it| it.in_flight);
        drop(directory);
        gateway.metrics.record_brittle_attempt("rejected");
        gateway.log.write(&Event::BrittleRejected {
            endpoint: self.id.as_str(),
            room: self.room.name(),
            running: load.map(|it| it.running),
            waiting: load.map(|it| it.waiting),
            known_requests,
            own_in_flight,
            prompt_tokens: rejection.prompt_tokens,
            nodes: gateway.n_nodes(),
        });
        if let Some(reports) = gateway.load_reports.get() {
            reports.queue_rejection(&self.id, rejection);
            gateway.pending_work_changed.wake();
        }
    }

    fn report_slowdown(&self, figure: Figure) {
        self.gateway.metrics.record_slowdown_figures("response", 1);
        if let Some(reports) = self.gateway.load_reports.get() {
            reports.queue_slowdown(&self.id, self.started_ms, figure);
            self.gateway.pending_work_changed.wake();
        }
    }

    /// The slowdown by which the time to the first event is divided to learn the usual time: the
    /// one that was expected. If none was known, the response that reported the first one counts.
    pub fn first_event_slowdown(&self) -> Factor {
        let now = self.gateway.now();
        let current = || {
            let directory = self.gateway.directory.lock();
            directory.get(&self.id).map(|it| it.slowdown.expected(now))
        };
        let known = self.slowdown.age.map(|_| self.slowdown.expected);
        known.or_else(current).unwrap_or(Factor::USUAL)
    }

    /// The endpoint's lasting slowdown as known now.
    pub fn lasting_slowdown(&self) -> Factor {
        let now = self.gateway.now();
        let directory = self.gateway.directory.lock();
        let known = directory.get(&self.id);
        known.map_or(self.slowdown.lasting, |it| it.slowdown.outlook(now).lasting)
    }

    fn report_rate_limit(&self, notice: rate_limit::Notice) {
        let (endpoint, rate) = (self.id.as_str(), notice.rate);
        self.gateway.log.write(&Event::RateLimit { endpoint, rate, from: "answer" });
        if let Some(reports) = self.gateway.load_reports.get() {
            reports.queue_limit(&self.id, notice);
            self.gateway.pending_work_changed.wake();
        }
    }

    /// Records that another endpoint responded at the address of this one.
    pub fn record_instance(&self, other: &endpoint::Id) {
        let mut directory = self.gateway.directory.lock();
        directory.record_response(other, self.addr, self.gateway.now());
        log_transitions(&self.gateway, &mut directory);
    }

    /// Records that a connection that was opened for this request works.
    pub fn record_connection(&self) {
        probe::record_connection(&self.gateway, &self.service);
    }

    /// Records that the first byte of the response arrived.
    pub fn record_first_byte(&mut self, load: Option<Load>) {
        let now = self.gateway.now();
        let pending_prefill = std::mem::take(&mut self.pending_prefill);
        self.gateway.directory.lock().first_byte_received(&self.id, pending_prefill, load, now);
        self.gateway.pending_work_changed.wake();
    }

    /// What charges the endpoint if its answer turns out to be longer than it stated.
    pub fn surplus_charge(&self) -> SurplusCharge {
        let gateway = Arc::downgrade(&self.gateway);
        SurplusCharge { gateway, incarnation: self.incarnation() }
    }

    /// Releases the lease with the outcome of the request.
    pub fn close(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

/// Logs the suspensions that began or ended.
pub fn log_transitions(gateway: &Gateway, directory: &mut Directory) {
    for it in directory.take_transitions() {
        gateway.log.write(&Event::Suspension {
            endpoint: it.endpoint.as_str(),
            state: if it.length.is_some() { "begun" } else { "ended" },
            cause: it.cause,
            length_ms: it.length.map(millis),
        });
    }
}

fn report_in_flight(gateway: &Gateway) {
    if let Some(reports) = gateway.load_reports.get() {
        reports.in_flight_changed();
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let now = self.gateway.now();
        let mut directory = self.gateway.directory.lock();
        directory.request_ended(&self.id, self.outcome, self.pending_prefill, now);
        log_transitions(&self.gateway, &mut directory);
        if matches!(self.outcome, Outcome::ConnectFailed | Outcome::ConnectionLost) {
            drop(directory);
            probe::record_failure(&self.gateway, &self.service, &self.id);
            directory = self.gateway.directory.lock();
        }
        if self.is_shared {
            report_in_flight(&self.gateway);
            self.gateway.pending_work_changed.wake();
        }
        let is_unreachable =
            matches!(self.outcome, Outcome::ConnectFailed | Outcome::AddressReused);
        if is_unreachable
            && directory.has_recent_answer(now)
            && let Some(reports) = self.gateway.load_reports.get()
        {
            reports.queue_unreachable(self.id.clone());
            self.gateway.pending_work_changed.wake();
        }
    }
}
