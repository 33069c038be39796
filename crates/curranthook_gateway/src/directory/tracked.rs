//! One endpoint, as a node sees it.

use std::time::{Duration, Instant};

use curranthook_policy::hash;

use crate::{
    advertised::Advertised,
    dialect::Load,
    entry::{Entry, State},
    rate_limit,
    slow_start::SlowStart,
};

/// How long an endpoint that can't be reached is left alone after the first failure.
const FIRST_PAUSE: Duration = Duration::from_millis(400);
/// The longest that an endpoint is left alone; about the time that one takes to start again.
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// How old a load may be that an endpoint told of itself.
const LOAD_EXPIRY: Duration = Duration::from_secs(1);
/// How long it's believed that an endpoint can't be reached; then a node tries it again.
const UNREACHABLE_EXPIRY: Duration = Duration::from_secs(1);
/// The longest slow start that an entry is believed.
const MAX_SLOW_START: Duration = Duration::from_secs(600);

/// An endpoint and what was seen of it.
#[derive(Debug)]
pub struct Tracked {
    /// Its newest entry.
    pub entry: Entry,
    /// A hash of its id.
    pub id_hash: u64,
    /// Requests that this node has there.
    pub in_flight: u32,
    /// The work of those of them that have no first byte yet.
    pub pending: Duration,
    /// The share of requests that failed lately.
    pub failures: f64,
    pub(super) load: Option<(Load, Instant, u32)>,
    pub(super) pause: Duration,
    pub(super) ejected_until: Option<Instant>,
    /// When this node, or one that told it, last found that no connection can be opened.
    pub(super) unreachable_since: Option<Instant>,
    /// Its slow start, while there is one.
    pub(super) slow_start: Option<SlowStart>,
    /// What it says of itself.
    pub(super) advertised: Advertised,
    /// Whether it's missing from the list.
    pub(super) missing: bool,
    /// From when on its version may be used without an order.
    pub(super) established_at: Instant,
}

impl Tracked {
    pub(super) fn new(entry: Entry, advertised: Advertised, established_at: Instant) -> Self {
        Self {
            established_at,
            id_hash: hash::bytes(entry.id.as_str().as_bytes()),
            entry,
            in_flight: 0,
            pending: Duration::ZERO,
            failures: 0.0,
            load: None,
            pause: Duration::ZERO,
            ejected_until: None,
            unreachable_since: None,
            slow_start: None,
            advertised,
            missing: false,
        }
    }

    /// Whether it takes new work, by its entry and by its own word.
    pub fn is_ready(&self) -> bool {
        self.entry.state == State::Ready && !self.advertised.is_leaving
    }

    /// Whether it's left alone after failures.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether this node, or one that told it, found lately that no connection can be opened.
    pub fn is_unreachable(&self, now: Instant) -> bool {
        let since = self.unreachable_since;
        since.is_some_and(|at| now.saturating_duration_since(at) < UNREACHABLE_EXPIRY)
    }

    /// Whether its version has been in use for a while, or is the only one.
    pub fn is_established_version(&self, now: Instant) -> bool {
        self.established_at <= now
    }

    /// How many requests it has, its own word and this node's knowledge taken together.
    pub fn estimated_requests(&self, now: Instant) -> u32 {
        match self.load {
            Some((load, at, then)) if now.saturating_duration_since(at) < LOAD_EXPIRY => {
                let told = load.running.saturating_add(load.waiting);
                told.saturating_sub(then).saturating_add(self.in_flight)
            }
            _ => self.in_flight,
        }
    }

    /// Whether it takes a request of this node now: always, but for an endpoint in slow start or one that
    /// names a limit or a pause.
    pub fn admits(&self, now: Instant) -> bool {
        let is_slow_start = self.slow_start.is_some_and(|it| !it.admits(now));
        !is_slow_start && self.advertised.admits(now)
    }

    /// The requests a second that it takes from all nodes, if it's bounded and takes none of this node now.
    /// `slow_start_rate` is what endpoints in slow start take.
    pub fn throttled_rate(&self, slow_start_rate: Option<f64>, now: Instant) -> Option<f64> {
        let limited = self
            .advertised
            .rate_limit
            .filter(|it| !it.admits(now))
            .map(|it| rate_limit::granted(it.rate));
        let slow_start = self.slow_start.filter(|it| !it.admits(now)).and(slow_start_rate);
        limited.into_iter().chain(slow_start).reduce(f64::min)
    }

    /// Until when it wants no requests of this node; none if it takes some.
    pub fn paused_until(&self, now: Instant) -> Option<Instant> {
        self.advertised.paused_until(now)
    }

    /// Takes in how long its entry says that it stays in slow start.
    pub(super) fn set_warm_in(&mut self, warm_in: Duration, now: Instant) {
        let end = now + warm_in.min(MAX_SLOW_START);
        match &mut self.slow_start {
            _ if warm_in.is_zero() => self.slow_start = None,
            Some(it) => it.set_end(end),
            none => *none = Some(SlowStart::new(end)),
        }
    }

    pub(super) fn eject(&mut self, now: Instant) {
        self.ejected_until = self.ejected_until.max(Some(now + UNREACHABLE_EXPIRY));
    }

    pub(super) fn failed(&mut self, now: Instant) {
        self.pause = (self.pause * 2).clamp(FIRST_PAUSE, MAX_PAUSE);
        self.ejected_until = Some(now + self.pause);
    }
}
