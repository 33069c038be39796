//! Whether an attempt that failed is followed by another.

use std::time::{Duration, Instant};

use curranthook_types::retry::Reason;

/// No request is tried more often than this.
pub const MAX_ATTEMPTS: u32 = 3;

/// Retries that a node may make. Each success earns a fraction of one. When endpoints fail for
/// everyone, successes stop and so do retries; without that, retries would multiply the load
/// just when there is least room for it.
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
    updated: Instant,
}

/// The budget is spent; the reason is the one that was asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Exhausted(pub Reason);

impl Budget {
    /// The most that can be saved up.
    const CAPACITY: f64 = 20.0;
    /// Retries a second that are earned without successes, so that a quiet node can retry.
    const MIN_RETRIES_PER_SECOND: f64 = 0.5;

    /// A budget that earns `fraction` of a retry with each success.
    pub fn new(fraction: f64, now: Instant) -> Self {
        Self { fraction, tokens: Self::CAPACITY / 2.0, updated: now }
    }

    /// Changes the fraction earned with each success.
    pub fn set_fraction(&mut self, fraction: f64) {
        self.fraction = fraction;
    }

    /// A request succeeded.
    pub fn succeeded(&mut self) {
        self.earn(self.fraction);
    }

    /// Takes one retry. Some cost nothing: an escalation is part of its plan, and an endpoint that
    /// is gone or going has done no work that would be done again.
    pub fn spend(&mut self, reason: Reason, now: Instant) -> Result<(), Exhausted> {
        let elapsed = now.saturating_duration_since(self.updated);
        self.updated = self.updated.max(now);
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

/// Whether a call may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// Running it twice is the same as running it once.
    Idempotent,
    /// It must run at most once.
    AtMostOnce,
}

/// What the endpoint can have seen of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sent {
    /// No byte was handed to a socket.
    Unsent,
    /// The endpoint said that it had not begun.
    NotStarted,
    /// Bytes went out and nothing tells that it didn't run.
    MayHaveRun,
}

/// What the caller has seen of the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivered {
    /// Nothing.
    Nothing,
    /// A part of a stream.
    Partial,
}

/// A failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// Whether the call may be repeated.
    pub repeat: Repeat,
    /// What the endpoint can have seen.
    pub sent: Sent,
    /// What the caller has seen.
    pub delivered: Delivered,
    /// How often it was tried, this time included.
    pub attempts: u32,
    /// How long the caller will still wait.
    pub time_left: Duration,
}

/// What follows a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Try anew, on another endpoint where there is one.
    Retry,
    /// Take the stream up where it stopped, on the same version.
    Resume,
    /// Give up.
    Stop(Stop),
}

/// Whether a retry adds no work. Were those counted, a failure domain that goes away would use up
/// the budget, and requests would be refused that other endpoints have room for.
fn is_free(reason: Reason) -> bool {
    matches!(reason, Reason::Escalated | Reason::Connect | Reason::EndpointLeaving)
}

/// Why there is no further attempt. Each has its counter, `retry.stop.<name>`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Stop {
    /// It may have run and may not run twice.
    MayHaveRun,
    /// It was tried often enough.
    Attempts,
    /// The deadline is too near.
    Deadline,
}

impl Stop {
    /// The last part of the counter's name.
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

/// Whether a failed attempt may be followed by another. The budget is asked separately.
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
        // The caller holds a part of this answer. A new one would differ from it.
        Delivered::Partial => Decision::Resume,
    }
}
