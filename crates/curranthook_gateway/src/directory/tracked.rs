//! The state that a node tracks for one endpoint.

use std::time::{Duration, Instant};

use curranthook_policy::{hash, slowdown};

use crate::{
    advertised::Advertised,
    brittle,
    dialect::Load,
    directory::{Permits, suspension::Suspension},
    entry::{Entry, State},
    load::{occupancy::Observation, work::Work},
    rate_limit,
    slow_start::SlowStart,
};

/// How long an unreachable endpoint is ejected, that is, gets no requests, after its first failure.
/// Doubles with each further failure.
const FIRST_EJECTION: Duration = Duration::from_millis(400);
/// The longest ejection; about the time an endpoint takes to restart.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// The maximum age of a load reported by an endpoint.
const LOAD_EXPIRY: Duration = Duration::from_secs(1);
/// How long the number of requests at which an endpoint refused one applies. The endpoint may accept
/// more after that, or fewer.
const FULL_EXPIRY: Duration = Duration::from_secs(2);
/// The maximum age of a load that counts as part of an answer that is being handled.
const SAME_ANSWER: Duration = Duration::from_millis(5);
/// How long an endpoint counts as unreachable. After that, a node sends it requests again.
const UNREACHABLE_EXPIRY: Duration = Duration::from_secs(1);
/// The upper limit applied to the slow start time in an entry.
const MAX_SLOW_START: Duration = Duration::from_secs(600);

/// An endpoint's entry, and what this node has observed of the endpoint.
#[derive(Debug)]
pub struct Tracked {
    /// The newest entry.
    pub entry: Entry,
    /// The hash of the endpoint's id.
    pub id_hash: u64,
    /// The number of this node's requests in flight at the endpoint.
    pub in_flight: u32,
    /// The expected prefill time of those requests that have no first byte yet.
    pub pending: Work,
    /// The moving average of the share of requests that failed.
    pub failures: f64,
    /// The load that the endpoint last reported, when it did, and how many requests this node had
    /// in flight there at that time.
    pub(super) load: Option<(Load, Instant, u32)>,
    /// The number of requests that the endpoint had when it refused one because it was full, and
    /// when that was.
    pub(super) full_at: Option<(u32, Instant)>,
    /// How long work takes at the endpoint, according to its own reports.
    pub slowdown: slowdown::Estimate,
    /// The length of its last ejection; zero after an answer.
    pub(super) ejection_time: Duration,
    pub(super) ejected_until: Option<Instant>,
    /// When this node, or another that reported it, last failed to open a connection.
    pub(super) unreachable_since: Option<Instant>,
    /// The suspension, if another endpoint seems to have the address.
    pub(super) suspension: Option<Suspension>,
    /// When the endpoint last responded to a request of this node.
    pub(super) responded_at: Option<Instant>,
    /// The slow start, if the endpoint is in one.
    pub(super) slow_start: Option<SlowStart>,
    /// This node's part in the requests to the endpoint, if its service is brittle.
    pub brittle: Option<brittle::Share>,
    /// What the endpoint takes according to its rejections, if its service is brittle.
    pub limits: brittle::limit::Limits,
    /// The state that the endpoint reports about itself.
    pub(super) advertised: Advertised,
    /// Whether the entry was removed, and the endpoint is kept only because the entry may have
    /// lapsed during a store outage.
    pub(super) is_missing: bool,
    /// When the endpoint's version counts as established and gets requests without a rollout order.
    pub(super) established_at: Instant,
}

impl Tracked {
    pub(super) fn new(entry: Entry, advertised: Advertised, established_at: Instant) -> Self {
        Self {
            established_at,
            id_hash: hash::bytes(entry.id.as_str().as_bytes()),
            entry,
            in_flight: 0,
            pending: Work::default(),
            failures: 0.0,
            load: None,
            full_at: None,
            slowdown: slowdown::Estimate::default(),
            ejection_time: Duration::ZERO,
            ejected_until: None,
            unreachable_since: None,
            suspension: None,
            responded_at: None,
            slow_start: None,
            brittle: None,
            limits: brittle::limit::Limits::default(),
            advertised,
            is_missing: false,
        }
    }

    /// Whether the endpoint accepts new requests according to its entry and its own reports.
    pub fn is_ready(&self) -> bool {
        self.entry.state == State::Ready && !self.advertised.is_leaving
    }

    /// Whether the endpoint is ejected after failures.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether this node, or another that reported it, recently failed to open a connection.
    pub fn is_unreachable(&self, now: Instant) -> bool {
        let since = self.unreachable_since;
        since.is_some_and(|at| now.saturating_duration_since(at) < UNREACHABLE_EXPIRY)
    }

    /// Whether the endpoint's version is established: known for some seconds, or the first one of
    /// its service.
    pub fn is_established_version(&self, now: Instant) -> bool {
        self.established_at <= now
    }

    /// Estimates the number of requests at the endpoint: the load that it last reported, corrected
    /// by the change since then in this node's own requests.
    pub fn estimated_requests(&self, now: Instant) -> u32 {
        match self.load {
            Some((load, at, in_flight_then)) if now.saturating_duration_since(at) < LOAD_EXPIRY => {
                let reported = load.running.saturating_add(load.waiting);
                reported.saturating_sub(in_flight_then).saturating_add(self.in_flight)
            }
            _ => self.in_flight,
        }
    }

    /// The number of requests that the endpoint last reported to this node.
    pub fn observation(&self, now: Instant) -> Option<Observation> {
        let (load, at, _) = self.load?;
        let requests = load.running.saturating_add(load.waiting);
        Some(Observation { requests, age: now.saturating_duration_since(at) })
    }

    /// The number of requests at which the endpoint refused one because it was full; none if it did
    /// not do so recently.
    pub fn full_at(&self, now: Instant) -> Option<u32> {
        let recent = |(_, at): &(u32, Instant)| now.saturating_duration_since(*at) < FULL_EXPIRY;
        self.full_at.filter(recent).map(|(n_requests, _)| n_requests)
    }

    /// Records that the endpoint refused a request because it was full. A load with free slots, or
    /// none, does not tell how many requests it accepts.
    pub(super) fn refused_as_full(&mut self, now: Instant) {
        let observation = self.observation(now).filter(|it| it.age <= SAME_ANSWER);
        let n_requests = observation.map(|it| it.requests);
        let n_requests = n_requests.filter(|it| self.entry.slots.max(1) <= *it);
        self.full_at = n_requests.map(|it| (it, now)).or(self.full_at);
    }

    /// Whether this node may send the endpoint a request now. Always true, except in slow start,
    /// under a rate limit, or during a pause.
    pub fn admits(&self, now: Instant) -> bool {
        let is_blocked_by_slow_start = self.slow_start.is_some_and(|it| !it.admits(now));
        !is_blocked_by_slow_start && self.advertised.admits(now)
    }

    /// The time until this node may send the endpoint a request under its own permits; none if it
    /// lacks one.
    pub(super) fn permit_due_in(&self, now: Instant) -> Option<Duration> {
        let slow_start = self.slow_start.filter(|it| !it.is_over(now));
        let shares = [
            slow_start.map(|it| it.share.due_in(now)),
            self.advertised.rate_limit.map(|it| it.due_in(now)),
            self.brittle.map(|it| it.attempts.due_in(now)),
        ];
        shares.into_iter().flatten().try_fold(Duration::ZERO, |max, it| Some(max.max(it?)))
    }

    /// Whether this node may send the endpoint a request under its own permits now.
    pub fn has_due_permits(&self, now: Instant) -> bool {
        self.permit_due_in(now) == Some(Duration::ZERO)
    }

    /// The requests per second that the endpoint accepts from all nodes in its slow start, given the
    /// rate of its service; none if it is in none.
    pub fn slow_start_rate(&self, rate: Option<f64>, now: Instant) -> Option<f64> {
        self.slow_start.filter(|it| !it.is_over(now)).and(rate)
    }

    /// The requests per second, or attempts if the endpoint is brittle, that nodes share by rotating
    /// permits; none if there is no such limit.
    pub fn shared_rate(&self) -> Option<f64> {
        let limit = self.advertised.rate_limit.map(|it| it.rate);
        let attempts = self.brittle.map(|it| it.attempts.rate);
        limit.into_iter().chain(attempts).reduce(f64::min)
    }

    /// Whether all nodes together may send the endpoint some requests per second only.
    pub(super) fn is_limited(&self, now: Instant) -> bool {
        self.advertised.rate_limit.is_some() || self.slow_start.is_some_and(|it| !it.is_over(now))
    }

    /// Records a request under this node's permits.
    pub(super) fn use_permits(&mut self, now: Instant) {
        if let Some(slow_start) = &mut self.slow_start {
            slow_start.share.sent(now);
        }
        if let Some(limit) = &mut self.advertised.rate_limit {
            limit.sent(now);
        }
    }

    /// The requests per second that the endpoint accepts from all nodes, if they are bounded and
    /// this node may send none now. `slow_start_rate` is the rate of endpoints in slow start.
    pub fn throttled_rate(&self, slow_start_rate: Option<f64>, now: Instant) -> Option<f64> {
        let limited = self
            .advertised
            .rate_limit
            .filter(|it| !it.admits(now))
            .map(|it| rate_limit::granted(it.rate));
        let slow_start = self.slow_start.filter(|it| !it.admits(now)).and(slow_start_rate);
        limited.into_iter().chain(slow_start).reduce(f64::min)
    }

    /// When the pause ends that the endpoint asked this node for; none if there is no pause.
    pub fn paused_until(&self, now: Instant) -> Option<Instant> {
        self.advertised.paused_until(now)
    }

    /// Recomputes this node's part in the `attempt_rate` of a brittle endpoint, if it is outdated;
    /// none if the endpoint is not brittle.
    pub(super) fn renew_share(
        &mut self,
        attempt_rate: Option<f64>,
        permits: &impl Permits,
        now: Instant,
    ) {
        let Some(rate) = attempt_rate else {
            self.brittle = None;
            return;
        };
        let share = self.brittle.get_or_insert_with(|| brittle::Share::new(rate));
        if share.attempts.rate != rate {
            share.attempts = share.attempts.with_rate(rate);
        }
        let rotation = permits.rotation();
        if share.attempts.is_outdated(rotation, now) {
            let interval = permits.rate_limited(self.id_hash, rate);
            share.attempts.set_interval(interval, rotation, now);
            share.rank = permits.rank(self.id_hash);
        }
    }

    /// Applies the remaining slow start time from the entry; zero ends the slow start.
    pub(super) fn set_slow_start(&mut self, remaining: Duration, now: Instant) {
        let end = now + remaining.min(MAX_SLOW_START);
        match &mut self.slow_start {
            _ if remaining.is_zero() => self.slow_start = None,
            Some(it) => it.set_end(end),
            none => *none = Some(SlowStart::new(end)),
        }
    }

    pub(super) fn eject(&mut self, now: Instant) {
        self.ejected_until = self.ejected_until.max(Some(now + UNREACHABLE_EXPIRY));
    }

    pub(super) fn eject_after_failure(&mut self, now: Instant) {
        self.ejection_time = (self.ejection_time * 2).clamp(FIRST_EJECTION, MAX_EJECTION);
        self.ejected_until = Some(now + self.ejection_time);
    }
}
