//! Whether a failed attempt is retried.

use std::time::{Duration, Instant};

use curranthook_types::retry::Reason;

/// The maximum number of attempts per request.
pub const MAX_ATTEMPTS: u32 = 3;

/// The retry budget of a node. Each success earns a fraction of a retry. If endpoints fail for
/// everyone, successes stop and so do retries; without the budget, retries would multiply the load
/// just when there is the least capacity for it.
///
/// ```
/// # use std::time::Instant;
/// # use curranthook_policy::retry::Budget;
/// # use curranthook_types::retry::Reason;
/// let now = Instant::now();
/// let mut budget = Budget::new(0.1, now);
/// assert_eq!(budget.spend(Reason::Connect, now), Ok(()));
/// ```
#[derive(Debug)]
pub struct Budget {
    fraction: f64,
    tokens: f64,
    updated_at: Instant,
}

/// The budget is exhausted; holds the reason of the retry that was denied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Exhausted(pub Reason);

impl Budget {
    /// The maximum number of retries saved up.
    const CAPACITY: f64 = 20.0;
    /// Retries per second earned without successes, so that a node with few requests can retry.
    const MIN_RETRIES_PER_SECOND: f64 = 0.5;

    /// Creates a budget that earns `fraction` of a retry per success.
    pub fn new(fraction: f64, now: Instant) -> Self {
        Self { fraction, tokens: Self::CAPACITY / 2.0, updated_at: now }
    }

    /// Changes the fraction of a retry earned per success.
    pub fn set_fraction(&mut self, fraction: f64) {
        self.fraction = fraction;
    }

    /// Records that a request succeeded.
    pub fn succeeded(&mut self) {
        self.earn(self.fraction);
    }

    /// Takes one retry from the budget. Some retries are free: an escalation is part of its plan,
    /// and an endpoint that is unreachable or leaving did no work that would be repeated.
    pub fn spend(&mut self, reason: Reason, now: Instant) -> Result<(), Exhausted> {
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        self.earn(elapsed.as_secs_f64() * Self::MIN_RETRIES_PER_SECOND);
        if is_free(reason) {
            return Ok(());
        }
        if self.tokens < 1.0 {
            return Err(Exhausted(reason));
        }
        self.tokens -= 1.0;
        Ok(())
    }

    fn earn(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(Self::CAPACITY);
    }
}

/// Whether a call may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// Running the call twice has the same effect as running it once.
    Idempotent,
    /// The call must run at most once.
    AtMostOnce,
}

/// What the endpoint may have received of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sent {
    /// No byte was written to a socket.
    Unsent,
    /// The endpoint reported that it did not start the request.
    NotStarted,
    /// Bytes were sent, and nothing proves that the request did not run.
    MayHaveRun,
}

/// What the caller has received of the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivered {
    /// The caller has received no part of the answer.
    Nothing,
    /// The caller has received a part of a streamed answer.
    Partial,
}

/// A failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// Whether the call may be repeated.
    pub repeat: Repeat,
    /// What the endpoint may have received of the attempt.
    pub sent: Sent,
    /// What the caller has received of the answer.
    pub delivered: Delivered,
    /// The number of attempts so far, including this one.
    pub attempts: u32,
    /// The time until the caller's deadline.
    pub time_left: Duration,
}

/// What follows a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Retry from the start, on another endpoint if there is one.
    Retry,
    /// Resume the stream where it stopped, on the same version.
    Resume,
    /// Don't retry, for the given reason.
    Stop(Stop),
}

/// Whether a retry adds no work. If these counted, the loss of a failure domain would exhaust the
/// budget, and requests would be refused although other endpoints have capacity for them.
fn is_free(reason: Reason) -> bool {
    matches!(reason, Reason::Escalated | Reason::Connect | Reason::EndpointLeaving)
}

/// Why there is no further attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Stop {
    /// The request may have run and must not run twice.
    MayHaveRun,
    /// The maximum number of attempts was reached.
    Attempts,
    /// Too little time is left until the deadline.
    Deadline,
}

impl Stop {
    /// A stable name, for use in counter names.
    ///
    /// ```
    /// # use curranthook_policy::retry::Stop;
    /// assert_eq!(Stop::MayHaveRun.name(), "may_have_run");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::MayHaveRun => "may_have_run",
            Self::Attempts => "tries",
            Self::Deadline => "deadline",
        }
    }
}

/// Whether and how a failed attempt is retried. The retry budget is checked separately.
///
/// ```
/// # use std::time::Duration;
/// # use curranthook_policy::retry::{Attempt, Decision, Repeat, Sent, Delivered, Stop, decide};
/// let attempt = Attempt {
///     repeat: Repeat::AtMostOnce,
///     sent: Sent::MayHaveRun,
///     delivered: Delivered::Nothing,
///     attempts: 1,
///     time_left: Duration::from_secs(5),
/// };
/// assert_eq!(decide(&attempt), Decision::Stop(Stop::MayHaveRun));
/// assert_eq!(decide(&Attempt { sent: Sent::Unsent, ..attempt }), Decision::Retry);
/// ```
pub fn decide(attempt: &Attempt) -> Decision {
    const MIN_TIME_LEFT: Duration = Duration::from_millis(10);

    if attempt.sent == Sent::MayHaveRun && attempt.repeat == Repeat::AtMostOnce {
        return Decision::Stop(Stop::MayHaveRun);
    }
    if MAX_ATTEMPTS <= attempt.attempts {
        return Decision::Stop(Stop::Attempts);
    }
    if attempt.time_left < MIN_TIME_LEFT {
        return Decision::Stop(Stop::Deadline);
    }
    match attempt.delivered {
        Delivered::Nothing => Decision::Retry,
        // The caller has a part of this answer, and a new answer would differ from it.
        Delivered::Partial => Decision::Resume,
    }
}
