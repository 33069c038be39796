//! Which model answers, the smallest first.
//!
//! A small model answers most requests well for a tenth of the price. It tells how sure it is
//! before the first event, so an answer that it's unsure of is dropped, and the largest model
//! asked, while the caller has none of it.

use std::time::Duration;

/// What an answer that comes late is worth, against one on time. Callers value it at a tenth to
/// three tenths.
const LATE_VALUE: f64 = 0.2;
/// What a poor answer is worth, against a good one.
const POOR_VALUE: f64 = 0.05;
/// The confidence at which a small model's answer is as likely low-quality as accepted, and the scale of
/// the logistic curve around it, both in points of 100.
const CONFIDENCE_MIDPOINT: f64 = 50.0;
const CONFIDENCE_SCALE: f64 = 10.0;
/// What an answer of the largest model costs, as a part of its worth: the engine's time, and what other
/// requests wait longer for.
pub const LARGE_MODEL_COST: f64 = 0.45;
/// How far off the outlook is, as a part of the time it's compared with.
const FORECAST_SPREAD: f64 = 0.2;

/// What is to be expected of a model for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Forecast {
    /// When the first event comes, from when the request came.
    pub first_event: Duration,
    /// When the last one does.
    pub last_event: Duration,
    /// What the answer costs, as a part of its worth.
    pub cost: f64,
}

/// By when a caller wants what.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Targets {
    /// The time for the first event.
    pub objective: Duration,
    /// The time for the last one.
    pub deadline: Duration,
}

impl Forecast {
    /// What a good answer is worth, as it's likely to come in time, late, or not at all.
    fn value(&self, targets: &Targets) -> f64 {
        let on_time = probability(self.first_event, targets.objective);
        let completes = probability(self.last_event, targets.deadline);
        completes * (on_time + (1.0 - on_time) * LATE_VALUE) - self.cost
    }
}

/// The chance that something expected at `at` has come by `by`.
fn probability(expected: Duration, limit: Duration) -> f64 {
    let limit = limit.as_secs_f64();
    let spread = (limit * FORECAST_SPREAD).max(f64::MIN_POSITIVE);
    1.0 / (1.0 + ((expected.as_secs_f64() - limit) / spread).exp())
}

/// Whether the answer of a small model that has begun is dropped and a larger model asked, from
/// the small one's confidence (0 to 100).
///
/// A busy large model answers late or not at all; then even a doubtful answer is worth more.
///
/// ```
/// # use std::time::Duration;
/// # use curranthook_gateway::cascade::{self, Targets, Forecast};
/// let s = Duration::from_secs;
/// let targets = Targets { objective: s(2), deadline: s(15) };
/// let small = Forecast { first_event: s(0), last_event: s(1), cost: 0.01 };
/// let idle = Forecast { first_event: s(1), last_event: s(3), cost: 0.1 };
/// let busy = Forecast { first_event: s(6), last_event: s(20), cost: 0.1 };
/// assert!(cascade::should_escalate(10, &small, &idle, &targets));
/// assert!(!cascade::should_escalate(90, &small, &idle, &targets));
/// assert!(!cascade::should_escalate(10, &small, &busy, &targets));
/// ```
pub fn should_escalate(
    confidence: u8,
    small: &Forecast,
    large: &Forecast,
    targets: &Targets,
) -> bool {
    let good_probability =
        1.0 / (1.0 + ((CONFIDENCE_MIDPOINT - f64::from(confidence)) / CONFIDENCE_SCALE).exp());
    let small_value =
        small.value(targets) * (good_probability + (1.0 - good_probability) * POOR_VALUE);
    small_value < large.value(targets)
}

/// Ranks that the requests of small models are apart from those of large ones.
const N_RANKS: u8 = 4;
/// The weight from which a model counts as large: its prompts take long to read.
pub const LARGE_MODEL_MIN_PRICE: f64 = 0.5;

/// How urgent a request to a model is at its engine, 0 before all others. `rank` is the route's
/// or account's, `weight` the model's price against the dearest one's.
///
/// Engines read prompts one after another. A small model reads a prompt in a tenth of the time,
/// and its word decides whether a larger one is asked at all, so it doesn't wait behind one.
///
/// ```
/// # use curranthook_gateway::cascade;
/// assert!(cascade::engine_priority(2, 0.1) < cascade::engine_priority(0, 1.0));
/// ```
pub fn engine_priority(rank: u8, relative_price: f64) -> u8 {
    let rank = rank.min(N_RANKS - 1);
    if relative_price < LARGE_MODEL_MIN_PRICE { rank } else { rank + N_RANKS }
}
