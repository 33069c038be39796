//! The number of requests that a brittle endpoint takes, according to those that it rejected.

use std::time::{Duration, Instant};

use super::{MIN_REJECTIONS, REPORT_DELAY, RESERVED_PART};

/// The share of the rejections that may be caused by finding out whether an endpoint has more room
/// than when it rejected a request.
const GROWTH_SHARE: f64 = 0.25;
/// The longest time for which an endpoint gets no requests after a rejection.
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// The shortest prompt that may be too long for an endpoint, in tokens. Requests without a prompt
/// have none.
const MIN_LONG_PROMPT: u64 = 2;
/// The rejections per second that an endpoint must bear for a shorter prompt to be tried there: one
/// more in the same second.
const MIN_REJECTIONS_FOR_LENGTH: f64 = 2.0;
/// Prompts are taken to be as long as a rejected one from this part of its length on.
const LONG_PART: u64 = 2;

/// A rejection for want of capacity.
#[derive(Debug, Clone, Copy)]
pub struct Rejection {
    /// The number of requests that the endpoint had.
    pub n_requests: u32,
    /// If the endpoint stated free slots all the same: the length of the request's prompt, in
    /// tokens. Its memory may be too small for that prompt.
    pub prompt_tokens: Option<u64>,
}

impl Rejection {
    /// The two rejections as one that lowers the limit by at least as much.
    pub fn lowest(self, other: Self) -> Self {
        let prompt_tokens = match (self.prompt_tokens, other.prompt_tokens) {
            (Some(a), Some(b)) => Some(a.min(b)),
            // Want of room and an unexplained rejection together: no request is taken.
            (Some(_), None) | (None, Some(_)) => Some(0),
            (None, None) => None,
        };
        Self { n_requests: self.n_requests.min(other.n_requests), prompt_tokens }
    }
}

/// What an endpoint takes, according to its rejections.
///
/// ```
/// # use std::time::{Duration, Instant};
/// # use curranthook_gateway::brittle::limit::{Limits, Rejection};
/// let (now, ms) = (Instant::now(), Duration::from_millis(1));
/// let rejection = |tokens| Rejection { n_requests: 3, prompt_tokens: Some(tokens) };
/// let mut limits = Limits::default();
/// limits.record(rejection(10_000), 8, 4.0, now);
/// assert_eq!(limits.requests(8, 9_000, now + ms), 0);
/// assert_eq!(limits.requests(8, 2_000, now + ms), 7);
/// limits.record(rejection(2_000), 8, 4.0, now + ms);
/// assert_eq!(limits.requests(8, 100, now + 2 * ms), 0, "it rejects short prompts, too");
/// ```
#[derive(Debug, Default, Clone, Copy)]
pub struct Limits {
    all: Option<Limit>,
    /// The limit for requests with long prompts, and the number of tokens that make one long.
    long: Option<(u64, Limit)>,
}

impl Limits {
    /// Records a rejection by an endpoint with `slots` that bears `max_rejections` per second.
    ///
    /// If it stated free slots, the number of its requests says nothing, and it gets none for a
    /// while that are about as long as the rejected one; none at all if it rejected a shorter one,
    /// too.
    pub fn record(&mut self, rejection: Rejection, slots: u32, max_rejections: f64, now: Instant) {
        let limit = Limit::after_rejection(rejection.n_requests, max_rejections, now);
        let Some(tokens) = rejection.prompt_tokens else {
            self.all = Some(limit.lower(self.all, now));
            return;
        };
        let limit = limit.paused(now);
        let long = self.long(slots, now);
        let min = long.map_or(MIN_LONG_PROMPT, |(min, _)| min);
        if tokens < min || max_rejections < MIN_REJECTIONS_FOR_LENGTH {
            self.all = Some(limit.lower(self.all, now));
        } else {
            let min = long.map_or(u64::MAX, |(min, _)| min).min(tokens / LONG_PART);
            self.long = Some((min, limit.lower(long.map(|(_, it)| it), now)));
        }
    }

    /// The number of requests that the endpoint is known to take if it has `slots`, for a request
    /// with a prompt of that many tokens.
    pub fn requests(&self, slots: u32, prompt_tokens: u64, now: Instant) -> u32 {
        let all = Limit::requests(slots, self.all, now);
        let long = self.long.filter(|(min, _)| *min <= prompt_tokens);
        long.map_or(all, |(_, it)| all.min(Limit::requests(slots, Some(it), now)))
    }

    /// The number of tokens from which on prompts are subject to a lower limit, if there is one.
    pub fn min_long_prompt(&self, slots: u32, now: Instant) -> Option<u64> {
        self.long(slots, now).map(|(min, _)| min)
    }

    fn long(&self, slots: u32, now: Instant) -> Option<(u64, Limit)> {
        let most = Limit::requests(slots, None, now);
        self.long.filter(|(_, it)| Limit::requests(slots, Some(*it), now) < most)
    }
}

/// The number of requests up to which a brittle endpoint is known to accept one more.
#[derive(Debug, Clone, Copy)]
pub struct Limit {
    requests: f64,
    since: Instant,
    /// By how much it grows per second.
    growth: f64,
    /// Until when the endpoint gets no requests.
    paused_until: Option<Instant>,
}

impl Limit {
    /// The limit after a rejection by an endpoint that had `n_requests`.
    pub fn after_rejection(n_requests: u32, max_rejections: f64, now: Instant) -> Self {
        let margin = (n_requests / RESERVED_PART).max(1);
        let growth = GROWTH_SHARE * max_rejections.max(MIN_REJECTIONS);
        let requests = n_requests.saturating_sub(margin).into();
        Self { requests, since: now, growth, paused_until: None }
    }

    /// The lower one of two limits, of which `other` was set before. An endpoint that rejects
    /// requests below a recent limit may take none, and gets none for a while: otherwise each
    /// request that ends there would let another one be sent and rejected.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use curranthook_gateway::brittle::limit::Limit;
    /// let (now, ms) = (Instant::now(), Duration::from_millis(1));
    /// let first = Limit::after_rejection(6, 4.0, now);
    /// let second = Limit::after_rejection(4, 4.0, now + 50 * ms);
    /// let limit = second.lower(Some(first), now + 50 * ms);
    /// let requests = |elapsed| Limit::requests(8, Some(limit), now + elapsed);
    /// assert_eq!(requests(100 * ms), 0);
    /// assert_eq!(requests(1_100 * ms), 1);
    /// assert_eq!(requests(2_100 * ms), 2);
    /// ```
    pub fn lower(self, other: Option<Self>, now: Instant) -> Self {
        let Some(other) = other else { return self };
        let lower = if other.value(now) < self.value(now) { other } else { self };
        let pause = self.pause();
        let elapsed = now.saturating_duration_since(other.since);
        // A request that was sent before the first rejection was known says nothing new.
        let is_repeated = (REPORT_DELAY..2 * pause).contains(&elapsed);
        let paused_until = match is_repeated && self.requests < other.requests {
            true => Some(now + pause),
            false => other.paused_until.filter(|until| now < *until).max(lower.paused_until),
        };
        Self { paused_until, ..lower }
    }

    /// The same limit of an endpoint that gets no requests for a while.
    fn paused(self, now: Instant) -> Self {
        Self { paused_until: Some(now + self.pause()), ..self }
    }

    /// How long an endpoint gets no requests: the time in which the limit grows by one.
    fn pause(&self) -> Duration {
        Duration::from_secs_f64(self.growth.recip()).min(MAX_PAUSE)
    }

    fn value(&self, now: Instant) -> f64 {
        let Some(until) = self.paused_until else {
            let elapsed = now.saturating_duration_since(self.since).as_secs_f64();
            return self.requests + self.growth * elapsed;
        };
        if now < until {
            return 0.0;
        }
        // One request finds out whether the endpoint takes any. What it had when it rejected one
        // isn't what limits it.
        let elapsed = now.saturating_duration_since(until).as_secs_f64();
        (elapsed / self.pause().as_secs_f64()).exp2()
    }

    /// The number of requests that an endpoint with `slots` is known to take, given the limit that
    /// its last rejection set.
    ///
    /// Requests are not let into its queue, as it may let fewer wait at any moment.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use curranthook_gateway::brittle::limit::Limit;
    /// let (now, s) = (Instant::now(), Duration::from_secs(1));
    /// let rejected = Limit::after_rejection(16, 4.0, now);
    /// assert_eq!(Limit::requests(24, None, now), 21);
    /// assert_eq!(Limit::requests(24, Some(rejected), now), 14);
    /// assert_eq!(Limit::requests(24, Some(rejected), now + 3 * s), 17);
    /// assert_eq!(Limit::requests(24, Some(rejected), now + 60 * s), 21);
    /// ```
    pub fn requests(slots: u32, rejected: Option<Self>, now: Instant) -> u32 {
        let slots = slots.max(1);
        let most = slots - slots / RESERVED_PART;
        rejected.map_or(most, |it| most.min(it.value(now) as u32))
    }
}
