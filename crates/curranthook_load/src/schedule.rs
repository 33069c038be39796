//! Arrival times of requests.
//!
//! The load is open-loop: times are fixed before the first request is sent. A closed loop waits
//! for responses, so a slow system receives fewer requests and appears faster than it is.

use std::time::Duration;

use rand::SeedableRng as _;
use rand_distr::{Distribution as _, Exp};
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};
use serde_with::{DurationSecondsWithFrac, serde_as};

/// Distribution of the intervals between arrivals.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Spacing {
    /// Poisson process of independent callers: intervals are exponentially distributed.
    #[default]
    Poisson,
    /// Constant intervals.
    Fixed,
}

/// A time span with a constant rate.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// Duration of the phase.
    #[serde(rename = "seconds")]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub duration: Duration,
    /// Arrivals per second.
    pub rate: f64,
    /// Distribution of the intervals between arrivals.
    #[serde(default)]
    pub spacing: Spacing,
}

/// A scheduled arrival.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Arrival {
    /// Scheduled time since the start of the run.
    pub at: Duration,
    /// Index of the phase.
    pub phase: usize,
}

/// Arrivals of all phases, in order; deterministic for a seed.
///
/// ```
/// use std::time::Duration;
/// use curranthook_load::schedule::{self, Phase, Spacing};
/// let phase = Phase { duration: Duration::from_secs(2), rate: 10.0, spacing: Spacing::Fixed };
/// assert_eq!(schedule::arrivals(&[phase], 1).len(), 20);
/// ```
pub fn arrivals(phases: &[Phase], seed: u64) -> Vec<Arrival> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut all = Vec::new();
    let mut begin = Duration::ZERO;
    for (index, phase) in phases.iter().enumerate() {
        let times = arrival_offsets(phase, &mut rng);
        all.extend(times.map(|it| Arrival { at: begin + it, phase: index }));
        begin += phase.duration;
    }
    all
}

fn arrival_offsets(phase: &Phase, rng: &mut Pcg64) -> impl Iterator<Item = Duration> {
    let mut times = Vec::new();
    if 0.0 < phase.rate {
        let gaps = Exp::new(phase.rate).expect("the rate is above zero");
        let gap = 1.0 / phase.rate;
        // Fixed times are multiplied out; summing intervals would accumulate rounding errors.
        let mut offset_seconds = 0.0;
        for n in 0_u32.. {
            offset_seconds = match phase.spacing {
                Spacing::Poisson => offset_seconds + gaps.sample(rng),
                Spacing::Fixed => gap * f64::from(n),
            };
            if phase.duration.as_secs_f64() <= offset_seconds {
                break;
            }
            times.push(Duration::from_secs_f64(offset_seconds));
        }
    }
    times.into_iter()
}
