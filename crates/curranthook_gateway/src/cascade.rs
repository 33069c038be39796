//! Which model answers, the smallest first.
//!
//! A small model answers most requests well for a tenth of the price. It tells how sure it is
//! before the first event, so an answer that it's unsure of is dropped, and the largest model
//! asked, while the caller has none of it.

/// Below this confidence, out of 100, the answer of a smaller model is dropped. Among 20, 30, 40
/// and 60, the callers' total was highest at 40: lower, more poor answers are passed on; higher,
/// the largest model is paid and waited for without need.
pub const MIN_CONFIDENCE: u8 = 40;

/// What becomes of an answer that has begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The caller gets it.
    Accept,
    /// It's dropped, and the model at this place in the list is asked.
    Escalate(usize),
}

/// Judges an answer of the model at `current` in a list of `n_models`, the smallest first.
/// `attempts_left` are those that the route still allows.
///
/// ```
/// # use curranthook_gateway::cascade::{self, Verdict};
/// assert_eq!(cascade::judge(Some(90), 0, 3, 2), Verdict::Accept);
/// assert_eq!(cascade::judge(Some(10), 0, 3, 2), Verdict::Escalate(2));
/// assert_eq!(cascade::judge(Some(10), 0, 3, 0), Verdict::Accept);
/// ```
pub fn judge(
    confidence: Option<u8>,
    current: usize,
    n_models: usize,
    attempts_left: u32,
) -> Verdict {
    let largest = n_models.saturating_sub(1);
    match confidence {
        Some(it) if it < MIN_CONFIDENCE && current < largest && 0 < attempts_left => {
            Verdict::Escalate(largest)
        }
        _ => Verdict::Accept,
    }
}

/// Ranks that the requests of small models are apart from those of large ones.
const LARGE: u8 = 4;
/// The weight from which a model counts as large: its prompts take long to read.
const LARGE_WEIGHT: f64 = 0.5;

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
