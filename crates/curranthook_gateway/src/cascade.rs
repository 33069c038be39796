//! Which model answers, the smallest first.
//!
//! A small model answers most requests well for a tenth of the price. It tells how sure it is
//! before the first event, so an answer that it's unsure of is dropped, and the largest model
//! asked, while the caller has none of it.

use std::time::Duration;

/// What an answer that comes late is worth, against one on time. Callers value it at a tenth to
/// three tenths.
const LATE: f64 = 0.2;
/// What a poor answer is worth, against a good one.
const POOR: f64 = 0.05;
/// The confidence at which a small model's answer is as likely low-quality as accepted, and the scale of
/// the logistic curve around it, both in points of 100.
const CONFIDENCE_MIDPOINT: f64 = 50.0;
const CONFIDENCE_SCALE: f64 = 10.0;
/// What an answer of the largest model costs, as a part of its worth: the engine's time, and what other
/// requests wait longer for.
pub const LARGE_PRICE: f64 = 0.45;
/// How far off the outlook is, as a part of the time it's compared with.
const SPREAD: f64 = 0.2;

/// What is to be expected of a model for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Outlook {
    /// When the first event comes, from when the request came.
    pub first: Duration,
    /// When the last one does.
    pub last: Duration,
    /// What the answer costs, as a part of its worth.
    pub price: f64,
}

/// By when a caller wants what.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Aim {
    /// The time for the first event.
    pub objective: Duration,
    /// The time for the last one.
    pub deadline: Duration,
}

impl Outlook {
    /// What a good answer is worth, as it's likely to come in time, late, or not at all.
    fn worth(&self, aim: &Aim) -> f64 {
        let in_time = chance(self.first, aim.objective);
        let whole = chance(self.last, aim.deadline);
        whole * (in_time + (1.0 - in_time) * LATE) - self.price
    }
}

/// The chance that something expected at `at` has come by `by`.
fn chance(at: Duration, by: Duration) -> f64 {
    let by = by.as_secs_f64();
    let spread = (by * SPREAD).max(f64::MIN_POSITIVE);
    1.0 / (1.0 + ((at.as_secs_f64() - by) / spread).exp())
}

/// Whether the answer of a small model that has begun is dropped and a larger model asked, from
/// the small one's confidence (0 to 100).
///
/// A busy large model answers late or not at all; then even a doubtful answer is worth more.
///
/// ```
/// # use std::time::Duration;
/// # use curranthook_gateway::cascade::{self, Aim, Outlook};
/// let s = Duration::from_secs;
/// let aim = Aim { objective: s(2), deadline: s(15) };
/// let small = Outlook { first: s(0), last: s(1), price: 0.01 };
/// let idle = Outlook { first: s(1), last: s(3), price: 0.1 };
/// let busy = Outlook { first: s(6), last: s(20), price: 0.1 };
/// assert!(cascade::escalates(10, &small, &idle, &aim));
/// assert!(!cascade::escalates(90, &small, &idle, &aim));
/// assert!(!cascade::escalates(10, &small, &busy, &aim));
/// ```
pub fn escalates(confidence: u8, small: &Outlook, large: &Outlook, aim: &Aim) -> bool {
    let good =
        1.0 / (1.0 + ((CONFIDENCE_MIDPOINT - f64::from(confidence)) / CONFIDENCE_SCALE).exp());
    let kept = small.worth(aim) * (good + (1.0 - good) * POOR);
    kept < large.worth(aim)
}

/// Ranks that the requests of small models are apart from those of large ones.
const LARGE: u8 = 4;
/// The weight from which a model counts as large: its prompts take long to read.
pub const LARGE_WEIGHT: f64 = 0.5;

/// How urgent a request to a model is at its engine, 0 before all others. `rank` is the route's
/// or account's, `weight` the model's price against the dearest one's.
///
/// Engines read prompts one after another. A small model reads a prompt in a tenth of the time,
/// and its word decides whether a larger one is asked at all, so it doesn't wait behind one.
///
/// ```
/// # use curranthook_gateway::cascade;
/// assert!(cascade::urgency(2, 0.1) < cascade::urgency(0, 1.0));
/// ```
pub fn urgency(rank: u8, weight: f64) -> u8 {
    let rank = rank.min(LARGE - 1);
    if weight < LARGE_WEIGHT { rank } else { rank + LARGE }
}
