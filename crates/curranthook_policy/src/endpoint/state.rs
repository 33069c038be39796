//! A node's view of one endpoint.

use std::time::{Duration, Instant};

use curranthook_types::domain;

use crate::{
    endpoint::{Member, Outcome, first_byte::FirstByte, window::Window},
    hash,
};

/// The half-life of the requests counted in a load report, which end while no newer report arrives.
const LOAD_REPORT_HALF_LIFE: Duration = Duration::from_millis(500);
/// If fewer requests than this remain of a decayed load report, none are assumed.
const NEGLIGIBLE_REQUESTS: f64 = 0.1;
/// The factor by which an endpoint in another failure domain must score better to be preferred.
const REMOTE_DOMAIN_PENALTY: f64 = 1.15;
/// The latency assumed of an endpoint that has not answered yet, in seconds. It is low, so that new
/// endpoints are tried.
const DEFAULT_LATENCY_SECONDS: f64 = 0.02;

/// A node's view of one endpoint.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) member: Member,
    pub(crate) hash: u64,
    pub(crate) in_flight: usize,
    pub(crate) is_leaving: bool,
    pub(crate) first_byte: FirstByte,
    /// Failures since the last answer.
    pub(crate) n_failures: u32,
    pub(crate) hedge_losses: HedgeLosses,
    pub(crate) ejected: Option<Ejected>,
    /// Consecutive ejections, for the backoff.
    pub(crate) n_ejections: u32,
    /// The number of requests of other nodes, and when it was reported.
    others_load: Option<(f64, Instant)>,
    window: Window,
}

/// The state of an ejected endpoint.
#[derive(Debug)]
pub(crate) struct Ejected {
    /// When it is probed next.
    pub(crate) until: Instant,
}

/// Attempts lost since the last answer of this endpoint, because a hedged attempt at another
/// endpoint answered sooner.
#[derive(Debug, Default)]
pub(crate) struct HedgeLosses {
    pub(crate) n: u32,
    /// How long the last lost attempt waited. Its first byte would have arrived even later.
    pub(crate) last_wait: Duration,
}

impl HedgeLosses {
    fn add(&mut self, waited: Duration) {
        self.n += 1;
        self.last_wait = waited;
    }
}

impl State {
    pub(crate) fn new(member: Member) -> Self {
        Self {
            hash: hash::bytes(member.id.as_str().as_bytes()),
            window: Window::new(member.slots.max(1) as f64),
            member,
            in_flight: 0,
            is_leaving: false,
            first_byte: FirstByte::default(),
            n_failures: 0,
            hedge_losses: HedgeLosses::default(),
            ejected: None,
            n_ejections: 0,
            others_load: None,
        }
    }

    /// The same endpoint with changed settings.
    pub(crate) fn with_member(self, member: Member) -> Self {
        let window = if member.slots == self.member.slots {
            self.window
        } else {
            Window::new(member.slots.max(1) as f64)
        };
        Self { member, window, ..self }
    }

    pub(crate) fn start(&mut self, now: Instant) {
        const PROBE_TIMEOUT: Duration = Duration::from_secs(10);
        self.in_flight += 1;
        // Only one probe at a time. If its end is never reported, another one follows after the
        // timeout.
        if let Some(ejected) = &mut self.ejected {
            ejected.until = ejected.until.max(now + PROBE_TIMEOUT);
        }
    }

    pub(crate) fn record_first_byte(&mut self, first_byte: Duration) {
        self.n_failures = 0;
        self.hedge_losses = HedgeLosses::default();
        self.first_byte.add(first_byte);
    }

    pub(crate) fn finish(&mut self, outcome: Outcome, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Answered { first_byte } => self.record_first_byte(first_byte),
            Outcome::HedgeLost { waited } => self.hedge_losses.add(waited),
            Outcome::Completed => {}
            Outcome::Failed | Outcome::Unreachable => self.n_failures += 1,
            // The endpoint is full: the slots that this node does not use hold requests of others.
            Outcome::Refused => {
                self.report_load(self.member.slots as u64, now);
                self.window.record_refusal(now);
            }
            Outcome::Cancelled => {}
        }
    }

    pub(crate) fn report_load(&mut self, load: u64, now: Instant) {
        let others_load = (load as f64 - self.in_flight as f64).max(0.0);
        self.others_load = Some((others_load, now));
        let slots = self.slots();
        self.window.record_load(load as f64, slots, now);
    }

    /// Whether this node may send another request now.
    pub(crate) fn has_capacity(&self) -> bool {
        self.window.has_capacity(self.in_flight)
    }

    pub(crate) fn slots(&self) -> f64 {
        self.member.slots.max(1) as f64
    }

    /// This node's own requests plus the decayed number of requests of other nodes.
    pub(crate) fn load(&self, now: Instant) -> f64 {
        let others_load = self.others_load.map_or(0.0, |(others_load, reported)| {
            let age = now.saturating_duration_since(reported);
            let remaining =
                others_load * (-age.as_secs_f64() / LOAD_REPORT_HALF_LIFE.as_secs_f64()).exp2();
            // Otherwise the remainder of an old report would decide between equal endpoints.
            if remaining < NEGLIGIBLE_REQUESTS { 0.0 } else { remaining }
        });
        self.in_flight as f64 + others_load
    }

    /// The balancing score, lower is better: utilisation times latency.
    pub(crate) fn score(&self, local_domain: &domain::Id, now: Instant) -> f64 {
        let latency = self.first_byte.mean().unwrap_or(DEFAULT_LATENCY_SECONDS);
        let domain_factor =
            if self.member.domain == *local_domain { 1.0 } else { REMOTE_DOMAIN_PENALTY };
        (self.load(now) + 1.0) / self.slots() * latency * domain_factor
    }

    pub(crate) fn is_ejected(&self) -> bool {
        self.ejected.is_some()
    }

    /// Whether the endpoint was ejected and its next probe is due.
    pub(crate) fn is_probe_due(&self, now: Instant) -> bool {
        self.ejected.as_ref().is_some_and(|it| it.until <= now)
    }
}
