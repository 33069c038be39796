//! Admission: whether a request is refused at once because no endpoint can be expected to serve it.
//!
//! Addresses load at which callers compete for insufficient capacity: engines queue everything, so
//! they spend time on requests whose callers have left, and requests that could still be served
//! wait behind them.

use std::time::Duration;

/// The shortest gap without an event after which callers give up on a stream.
const MIN_PATIENCE: Duration = Duration::from_secs(2);
/// The gap after which callers give up, as multiples of the latency objective and of the route's
/// `max_event_gap`.
const PATIENCE_OBJECTIVES: u32 = 4;
const PATIENCE_EVENT_GAPS: u32 = 8;
/// The largest age at which a forecast is evidence. While all requests are refused nothing new is
/// observed, so a forecast must expire.
const MAX_AGE: Duration = Duration::from_secs(10);
/// How far a forecast must exceed a limit, in percent of the limit. The margin of the most urgent
/// level is halved with each less urgent one. First events usually take 0.8 to 1.1 times as long as
/// expected, so with less than the smallest margin requests would be refused that are served in
/// time. In the simulation of the gateway's tests, at the levels 0 to 2 and 2 to 4, a maximum of 50
/// refuses a quarter of the callers that return, and with 150 no caller of the levels 0 to 2 is
/// asked to return. A minimum of 20 or more is worse for callers at the levels 2 to 4.
const MAX_MARGIN_PERCENT: u32 = 100;
const MIN_MARGIN_PERCENT: u32 = 10;
/// Callers wait for a `Retry-After` up to this part of their remaining time.
const MAX_RETRY_AFTER_DIVISOR: u32 = 3;

/// The time limits and the urgency of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// The target time to the first event.
    pub objective: Duration,
    /// The route's maximum gap between two events; none if it has no such target.
    pub max_event_gap: Option<Duration>,
    /// The time until the last event that the caller stated, on its first attempt if it has
    /// returned.
    pub deadline: Duration,
    /// The part of `deadline` that has passed. Includes the time of an earlier attempt that was
    /// refused, as the caller states a shorter time when it returns.
    pub elapsed: Duration,
    /// Whether the request is known to have been refused before, with a time to return.
    pub has_returned: bool,
    /// The level of urgency; 0 is the most urgent one.
    pub level: u8,
}

/// What is expected of the endpoint that can serve a request soonest, for the smallest usable
/// model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Forecast {
    /// The time from now to the first event.
    pub time_to_first_event: Duration,
    /// The time from now to the last event.
    pub time_to_last_event: Duration,
    /// The part of both that is spent on work ahead of the request.
    pub queue_delay: Duration,
    /// Whether the endpoint has no other work.
    pub is_idle: bool,
    /// The age of the oldest observation that the forecast depends on; none if it is based on
    /// assumptions.
    pub age: Option<Duration>,
}

/// The decision on a request, with its reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The request is sent to an endpoint.
    Admit(Admission),
    /// The request is refused.
    Refuse(Refusal),
}

/// Why a request was admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Too little is known about the endpoint.
    Unknown,
    /// The endpoint is idle.
    Idle,
    /// The endpoint may serve the request in time.
    Expected,
}

/// A refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The limit that the request cannot meet.
    pub cause: Cause,
    /// When the caller should return; none if it cannot be served then either.
    pub retry: Option<Window>,
}

/// The limit that a refused request cannot meet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The caller gives up before the first event.
    FirstEvent,
    /// The last event is expected after the deadline.
    LastEvent,
    /// The prompt and the output exceed the memory of every engine.
    Memory,
}

/// The times from now between which a refused caller may return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Window {
    /// When the work ahead of the request will be done.
    pub earliest: Duration,
    /// The longest time that the caller waits before it returns.
    pub latest: Duration,
}

impl Admission {
    /// The name of the reason in logs and metrics.
    ///
    /// ```
    /// # use curranthook_policy::admission::Admission;
    /// assert_eq!(Admission::Idle.name(), "idle");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Idle => "idle",
            Self::Expected => "expected",
        }
    }
}

impl Cause {
    /// The name of the cause in logs and metrics.
    ///
    /// ```
    /// # use curranthook_policy::admission::Cause;
    /// assert_eq!(Cause::FirstEvent.name(), "first_event");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::FirstEvent => "first_event",
            Self::LastEvent => "last_event",
            Self::Memory => "memory",
        }
    }
}

impl Request {
    /// The gap without an event after which the caller gives up.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use curranthook_policy::admission::Request;
    /// let s = Duration::from_secs;
    /// let request = Request {
    ///     objective: s(3),
    ///     max_event_gap: Some(s(1)),
    ///     deadline: s(30),
    ///     elapsed: s(0),
    ///     has_returned: false,
    ///     level: 1,
    /// };
    /// assert_eq!(request.patience(), s(12));
    /// assert_eq!(Request { objective: s(0), max_event_gap: None, ..request }.patience(), s(2));
    /// ```
    pub fn patience(&self) -> Duration {
        let by_gap = self.max_event_gap.unwrap_or_default().saturating_mul(PATIENCE_EVENT_GAPS);
        self.objective.saturating_mul(PATIENCE_OBJECTIVES).max(by_gap).max(MIN_PATIENCE)
    }

    fn time_left(&self) -> Duration {
        self.deadline.saturating_sub(self.elapsed)
    }

    /// The time left that limits are derived from. A caller that was refused and returns has used
    /// at most a third of the time that it had, so this is at least the time that it had then, and
    /// it is not refused again because its time is now shorter.
    fn time_left_before_retry(&self) -> Duration {
        let time_left = self.time_left();
        if !self.has_returned {
            return time_left;
        }
        time_left.saturating_add(time_left / (MAX_RETRY_AFTER_DIVISOR - 1)).min(self.deadline)
    }

    /// A limit extended by the margin of the request's level. Where capacity is short, forecasts
    /// exceed the smallest margin first, so that the least urgent requests are refused first. A
    /// caller that returns has the largest margin: it retries once, so a second refusal is final.
    fn with_margin(&self, limit: Duration) -> Duration {
        let level = if self.has_returned { 0 } else { self.level };
        let margin = MAX_MARGIN_PERCENT.checked_shr(level.into()).unwrap_or(0);
        let percent = 100 + margin.max(MIN_MARGIN_PERCENT);
        limit.saturating_mul(percent) / 100
    }
}

impl Forecast {
    /// The time that the request's own prompt takes until the first event.
    fn own_time(&self) -> Duration {
        self.time_to_first_event.saturating_sub(self.queue_delay)
    }

    /// The forecast with the output counted up to half of the time that the prompt leaves of
    /// `time_left`. Callers state the largest length of an answer, which is rarely reached. With
    /// this bound, a longer output never makes a request more likely to be admitted.
    fn within(self, time_left: Duration) -> Self {
        let output_time = self.time_to_last_event.saturating_sub(self.time_to_first_event);
        let max_output_time = time_left.saturating_sub(self.own_time()) / 2;
        let output_time = output_time.min(max_output_time);
        Self { time_to_last_event: self.time_to_first_event.saturating_add(output_time), ..self }
    }
}

/// Decides whether a request is sent to the endpoint that can serve it soonest.
///
/// ```
/// # use std::time::Duration;
/// # use curranthook_policy::admission::{self, Admission, Cause, Decision, Forecast, Request};
/// let s = Duration::from_secs;
/// let request = Request {
///     objective: s(2),
///     max_event_gap: None,
///     deadline: s(15),
///     elapsed: s(0),
///     has_returned: false,
///     level: 2,
/// };
/// let busy = Forecast {
///     time_to_first_event: s(5),
///     time_to_last_event: s(7),
///     queue_delay: s(4),
///     is_idle: false,
///     age: Some(s(1)),
/// };
/// assert_eq!(admission::decide(&request, &busy), Decision::Admit(Admission::Expected));
/// let full = Forecast {
///     time_to_first_event: s(17),
///     time_to_last_event: s(19),
///     queue_delay: s(16),
///     ..busy
/// };
/// let Decision::Refuse(refusal) = admission::decide(&request, &full) else { panic!() };
/// assert_eq!((refusal.cause, refusal.retry), (Cause::FirstEvent, None));
/// ```
pub fn decide(request: &Request, forecast: &Forecast) -> Decision {
    if forecast.age.is_none_or(|it| MAX_AGE < it) {
        return Decision::Admit(Admission::Unknown);
    }
    if forecast.is_idle {
        return Decision::Admit(Admission::Idle);
    }
    let forecast = forecast.within(request.time_left());
    let max_last_event = request.with_margin(request.time_left_before_retry());
    // A prompt that alone takes longer than a limit is not served sooner anywhere or at any time.
    let is_due_to_queue =
        |limit: Duration| !forecast.queue_delay.is_zero() && forecast.own_time() <= limit;
    let cause = if is_due_to_queue(request.patience())
        && request.with_margin(request.patience()) < forecast.time_to_first_event
    {
        Cause::FirstEvent
    } else if is_due_to_queue(request.time_left_before_retry())
        && max_last_event < forecast.time_to_last_event
    {
        Cause::LastEvent
    } else {
        return Decision::Admit(Admission::Expected);
    };
    Decision::Refuse(Refusal { cause, retry: retry(request, &forecast) })
}

/// When the caller of a refused request should return: when so much of the work ahead is done that
/// it can wait for the rest.
fn retry(request: &Request, forecast: &Forecast) -> Option<Window> {
    let time_left = request.time_left();
    let first_event_excess = if forecast.own_time() <= request.patience() {
        forecast.time_to_first_event.saturating_sub(request.patience())
    } else {
        Duration::ZERO
    };
    let excess = first_event_excess.max(forecast.time_to_last_event.saturating_sub(time_left));
    let window = Window { earliest: excess, latest: time_left / MAX_RETRY_AFTER_DIVISOR };
    (excess <= forecast.queue_delay && window.earliest <= window.latest).then_some(window)
}

/// Whether a request with this prompt and output, in tokens, fits into the memory of no engine.
/// Unknown memory fits everything.
///
/// ```
/// # use curranthook_policy::admission;
/// assert!(admission::exceeds_memory(400_000, 200_000, Some(524_101)));
/// assert!(!admission::exceeds_memory(400_000, 2_000, Some(524_101)));
/// assert!(!admission::exceeds_memory(u64::MAX, u64::MAX, None));
/// ```
pub fn exceeds_memory(prompt: u64, output: u64, memory: Option<u64>) -> bool {
    memory.is_some_and(|it| it < prompt.saturating_add(output))
}
