//! The usual times of the old version's answers, with which those of the new version are compared.
//!
//! An engine that generates the tokens of many requests at once takes longer for each. The first
//! requests of a new version leave its endpoints nearly idle, so a version that takes several times
//! as long as the old one under the same load may seem as fast. So the times are compared at equal
//! load: the old version's answers tell how their times grow with the load, as a power of it.

use std::{collections::HashMap, time::Duration};

use super::Kind;

/// Added to all times, in milliseconds, so that differences of a few milliseconds have little
/// weight.
const TIME_OFFSET_MS: f64 = 5.0;
/// The weight of a new answer in the moving averages.
const SMOOTHING: f64 = 0.1;
/// The weight of a new answer in the sums that tell how times grow with the load. It is smaller
/// because an exponent takes more answers than an average.
const GROWTH_SMOOTHING: f64 = 0.005;
/// The weight of the assumption that the load has no effect, as a sum of squared deviations of the
/// logarithm of the load. It prevails while few answers with different loads are known.
const PRIOR_WEIGHT: f64 = 1.0;
/// The maximum exponent: a request takes no longer than if it waited for all others in turn.
const MAX_EXPONENT: f64 = 1.0;

/// A part of an answer that is timed separately.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Part {
    FirstEvent,
    EventGap,
}

/// The usual times by kind of answer and part, according to the old version's answers that this
/// node received.
#[derive(Debug, Default)]
pub(super) struct Baseline {
    usual: HashMap<(String, usize, Part), Usual>,
    /// How the times between events grow with the load, by service.
    growth: HashMap<String, Growth>,
}

/// A time and the load that it was measured at.
#[derive(Debug, Clone, Copy)]
pub(super) struct Timing {
    /// The time.
    pub time: Duration,
    /// The number of requests that the endpoint ran; none if it reports no load.
    pub n_running: Option<u32>,
}

/// Moving averages of the logarithms of the time in milliseconds and of the load.
#[derive(Debug, Clone, Copy)]
struct Usual {
    log_ms: f64,
    /// None until an endpoint has reported its load.
    log_load: Option<f64>,
}

/// Sums over the deviations of the logarithms of time and load from their averages.
#[derive(Debug, Clone, Copy, Default)]
struct Growth {
    products: f64,
    squares: f64,
}

impl Growth {
    /// The exponent of the power of the load that the times are proportional to.
    fn exponent(self) -> f64 {
        (self.products / (self.squares + PRIOR_WEIGHT)).clamp(0.0, MAX_EXPONENT)
    }

    fn add(&mut self, log_time: f64, log_load: f64) {
        self.products += log_time * log_load - GROWTH_SMOOTHING * self.products;
        self.squares += log_load * log_load - GROWTH_SMOOTHING * self.squares;
    }
}

impl Baseline {
    /// The ratio of `timing` to the usual time at the same load.
    pub fn ratio(&self, service: &str, kind: Kind<'_>, part: Part, timing: Timing) -> f64 {
        let key = (kind.route.to_owned(), kind.model, part);
        let Some(usual) = self.usual.get(&key) else { return 1.0 };
        let (log_time, log_load) = usual.deviations(timing);
        let exponent = self.growth.get(service).map_or(0.0, |it| it.exponent());
        (log_time - exponent * log_load).exp()
    }

    /// Adds a time of the old version's.
    pub fn add(&mut self, service: &str, kind: Kind<'_>, part: Part, timing: Timing) {
        let key = (kind.route.to_owned(), kind.model, part);
        let first = Usual { log_ms: timing.log_ms(), log_load: timing.log_load() };
        let usual = self.usual.entry(key).or_insert(first);
        let (log_time, log_load) = usual.deviations(timing);
        usual.log_ms += SMOOTHING * log_time;
        usual.log_load = usual.log_load.or(timing.log_load()).map(|it| it + SMOOTHING * log_load);
        if part == Part::EventGap {
            self.growth.entry(service.to_owned()).or_default().add(log_time, log_load);
        }
    }
}

impl Timing {
    fn log_ms(self) -> f64 {
        (self.time.as_secs_f64() * 1e3 + TIME_OFFSET_MS).ln()
    }

    fn log_load(self) -> Option<f64> {
        self.n_running.map(|it| f64::from(it.max(1)).ln())
    }
}

impl Usual {
    /// By how much the logarithms of time and load differ from the averages. An unknown load counts
    /// as the usual one.
    fn deviations(self, timing: Timing) -> (f64, f64) {
        let log_load = timing.log_load().zip(self.log_load).map_or(0.0, |(it, usual)| it - usual);
        (timing.log_ms() - self.log_ms, log_load)
    }
}
