//! When requests are meant to go out.
//!
//! The loop is open: the times are fixed before the first request is sent. A closed loop waits
//! for answers, so a slow system gets fewer requests and looks quicker than it is.

use std::time::Duration;

use rand::SeedableRng as _;
use rand_distr::{Distribution as _, Exp};
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};
use serde_with::{DurationSecondsWithFrac, serde_as};

/// How arrivals are spaced.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Spacing {
    /// Independent callers: gaps are exponential.
    #[default]
    Poisson,
    /// Equal gaps.
    Fixed,
}

/// A stretch of time at one rate.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// How long it lasts.
    #[serde(rename = "seconds")]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub duration: Duration,
    /// Arrivals a second.
    pub rate: f64,
    /// How arrivals are spaced.
    #[serde(default)]
    pub spacing: Spacing,
}

/// One arrival.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Arrival {
    /// The intended time, from the start of the run.
    pub at: Duration,
    /// The index of its phase.
    pub phase: usize,
}

/// The arrivals of all phases, in order; the same for the same seed.
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
        let times = offsets(phase, &mut rng);
        all.extend(times.map(|it| Arrival { at: begin + it, phase: index }));
        begin += phase.duration;
    }
    all
}

fn offsets(phase: &Phase, rng: &mut Pcg64) -> impl Iterator<Item = Duration> {
    let mut times = Vec::new();
    if 0.0 < phase.rate {
        let gaps = Exp::new(phase.rate).expect("the rate is above zero");
        let gap = 1.0 / phase.rate;
        // Fixed arrivals are multiplied out, as a sum of gaps would drift by rounding.
        let mut at = 0.0;
        for n in 0_u32.. {
            at = match phase.spacing {
                Spacing::Poisson => at + gaps.sample(rng),
                Spacing::Fixed => gap * f64::from(n),
            };
            if phase.duration.as_secs_f64() <= at {
                break;
            }
            times.push(Duration::from_secs_f64(at));
        }
    }
    times.into_iter()
}
