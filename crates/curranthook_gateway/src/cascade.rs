//! Chooses the model that answers a request, trying the smallest first.
//!
//! A small model answers most requests well at a tenth of the price. It states its confidence
//! before the first event, so a response of low confidence can be dropped and the largest model
//! called before the caller has received anything.

use std::time::Duration;

use curranthook_policy::{
    price::Scale,
    rank::{self, Rank},
};

use crate::settings::Contention;

/// The value of a late answer relative to one on time. Callers value it at 0.1 to 0.3.
const LATE_VALUE: f64 = 0.2;
/// The value of a low-quality answer relative to a good one.
const POOR_VALUE: f64 = 0.05;
/// The confidence at which an answer of a small model is as likely low-quality as accepted, and the
/// scale of the logistic curve around it, both in points out of 100.
const CONFIDENCE_MIDPOINT: f64 = 50.0;
const CONFIDENCE_SCALE: f64 = 10.0;
/// The cost of an answer of the largest model as a share of the answer's value: engine time, and
/// the delay it causes to other requests. Applies where contention is ignored; otherwise the price
/// depends on the request's rank.
pub const LARGE_MODEL_COST: f64 = 0.45;
/// The spread of the logistic curve that models a forecast's uncertainty, as a share of the time
/// limit that the forecast is compared with.
const FORECAST_RELATIVE_SPREAD: f64 = 0.2;

/// The expected timing and cost of a model's answer to a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Forecast {
    /// The time from the request's arrival to the first event.
    pub time_to_first_event: Duration,
    /// The time from the request's arrival to the last event.
    pub time_to_last_event: Duration,
    /// The cost of the answer as a share of its value.
    pub cost: f64,
}

/// The time limits of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Targets {
    /// The target time to the first event.
    pub objective: Duration,
    /// The deadline for the last event.
    pub deadline: Duration,
}

impl Forecast {
    /// The expected value of a good answer, given how likely it is to arrive on time, late or not
    /// at all.
    fn value(&self, targets: &Targets) -> f64 {
        let on_time_probability = probability(self.time_to_first_event, targets.objective);
        let completion_probability = probability(self.time_to_last_event, targets.deadline);
        completion_probability * (on_time_probability + (1.0 - on_time_probability) * LATE_VALUE)
            - self.cost
    }
}

/// The probability that something expected after `expected` happens within `limit`.
fn probability(expected: Duration, limit: Duration) -> f64 {
    let limit = limit.as_secs_f64();
    let spread = (limit * FORECAST_RELATIVE_SPREAD).max(f64::MIN_POSITIVE);
    1.0 / (1.0 + ((expected.as_secs_f64() - limit) / spread).exp())
}

/// Whether the response of a small model, given its confidence (0 to 100), is dropped in favor of a
/// larger model.
///
/// A busy large model answers late or not at all; then even an answer of low confidence has the
/// higher value.
///
/// ```
/// # use std::time::Duration;
/// # use curranthook_gateway::cascade::{self, Targets, Forecast};
/// let s = Duration::from_secs;
/// let targets = Targets { objective: s(2), deadline: s(15) };
/// let small = Forecast { time_to_first_event: s(0), time_to_last_event: s(1), cost: 0.01 };
/// let idle = Forecast { time_to_first_event: s(1), time_to_last_event: s(3), cost: 0.1 };
/// let busy = Forecast { time_to_first_event: s(6), time_to_last_event: s(20), cost: 0.1 };
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

/// The price of an answer of the largest model for a request of `level`, as a share of the answer's
/// value. `scale` has the prices of the service that the request is sent to.
///
/// ```
/// # use curranthook_gateway::{cascade, settings::Contention};
/// # use curranthook_policy::price::Scale;
/// let price = |contention| cascade::large_model_price(contention, &Scale::default(), 2);
/// assert_eq!(price(Contention::Ignored), 0.45);
/// assert_eq!(price(Contention::ByRank), 0.4);
/// ```
pub fn large_model_price(contention: Contention, scale: &Scale, level: u8) -> f64 {
    match contention {
        Contention::Ignored => LARGE_MODEL_COST,
        Contention::ByRank => scale.price(level),
    }
}

/// The number of priority ranks of routes and accounts if contention is ignored. Requests to large
/// models rank this far behind those to small models.
const N_RANKS: u8 = 4;
/// The relative price from which a model counts as large, which means that its prefill takes long.
pub const LARGE_MODEL_MIN_RELATIVE_PRICE: f64 = 0.5;

/// The priority of a request at its engine, from 0 to 9; 0 is served first. `relative_price` is the
/// model's price relative to the most expensive model. If contention is ignored, an account's
/// priority replaces that of the route.
///
/// Engines prefill prompts one after another. A small model prefills in a tenth of the time, and
/// its confidence decides whether a larger model is called at all, so its requests do not wait
/// behind those of a large one.
///
/// ```
/// # use curranthook_gateway::{cascade, settings::Contention};
/// # use curranthook_policy::rank::Rank;
/// let (urgent, other) = (Rank { account: None, route: 0 }, Rank { account: None, route: 2 });
/// for contention in [Contention::Ignored, Contention::ByRank] {
///     let priority = |rank, relative_price| cascade::engine_priority(rank, contention, relative_price);
///     assert!(priority(urgent, 0.1) < priority(other, 0.1));
///     assert!(priority(other, 0.1) < priority(urgent, 1.0));
/// }
/// ```
pub fn engine_priority(rank: Rank, contention: Contention, relative_price: f64) -> u8 {
    let (level, n_levels) = match contention {
        Contention::Ignored => (rank.account.unwrap_or(rank.route).min(N_RANKS - 1), N_RANKS),
        Contention::ByRank => (rank.level(), rank::N_LEVELS),
    };
    if relative_price < LARGE_MODEL_MIN_RELATIVE_PRICE { level } else { level + n_levels }
}
