//! How long work takes at an endpoint, relative to its usual time.
//!
//! Addresses uneven endpoints: some are lastingly slower than others of the same service, and each of
//! them is slowed further for short periods. Endpoints report a figure with their responses, but a
//! node receives only a few of them. [`Estimate`] separates the lasting figure, which rarely
//! changes, from the newest one, which is valid for a fraction of a second.

use std::{
    cmp::Ordering,
    time::{Duration, Instant},
};

/// The largest accepted figure. A larger one is no measurement.
const MAX_FACTOR: f64 = 100.0;
/// The lower bound of a factor. It limits how much work an endpoint attracts by a figure that is
/// too low: the queue there may grow to four times the length of others, not to any length.
const MIN_FACTOR: f64 = 0.25;
/// The longest time for which work is multiplied, so that sums of results do not overflow.
const MAX_TIME: Duration = Duration::from_secs(1_000_000_000);
/// The typical length of a period in which an endpoint is slowed. The newest figure says nothing
/// about work that starts later than this.
const PERIOD: Duration = Duration::from_millis(600);
/// The minimum interval between two samples of the lasting figure. Figures that are closer may stem
/// from the same period, so that a single one could outvote all others.
const MIN_SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// The number of samples that determine the lasting figure.
const N_SAMPLES: usize = 5;
/// The age of the newest figure from which the lasting one of a slow endpoint is trusted less and
/// less, and the age at which the endpoint counts as usual again. An endpoint that is avoided reports
/// no new figure, so one of a slow period would otherwise keep requests away for good.
const MAX_TRUSTED_AGE: Duration = Duration::from_secs(30);
const MAX_FIGURE_AGE: Duration = Duration::from_secs(60);
/// The rank of the lasting figure among the samples, as a divisor: the lowest of up to three, the
/// second lowest of five. Slow periods only raise figures, so a low rank excludes them better than
/// the median does, and four samples suffice to follow a change.
const RANK_DIVISOR: usize = 3;

/// The time that work takes, relative to its usual time.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Factor(f64);

impl Factor {
    /// The factor of an endpoint that reports no figures.
    pub const USUAL: Self = Self(1.0);

    /// The factor for a reported figure; none if the figure is not a positive number, or is absurd.
    ///
    /// ```
    /// # use curranthook_policy::slowdown::Factor;
    /// assert_eq!(Factor::new(1.7).map(Factor::value), Some(1.7));
    /// assert_eq!(Factor::new(-1.0), None);
    /// assert_eq!(Factor::new(f64::NAN), None);
    /// ```
    pub fn new(figure: f64) -> Option<Self> {
        let is_valid = 0.0 < figure && figure <= MAX_FACTOR;
        is_valid.then(|| Self(figure.max(MIN_FACTOR)))
    }

    /// The factor as a number; 1.0 is usual.
    pub fn value(self) -> f64 {
        self.0
    }

    /// The time that work takes which usually takes `usual`.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use curranthook_policy::slowdown::Factor;
    /// let usual = Duration::from_millis(200);
    /// assert_eq!(Factor::new(2.5).unwrap().scale(usual), Duration::from_millis(500));
    /// ```
    pub fn scale(self, usual: Duration) -> Duration {
        // The usual factor leaves times exactly as they are, without rounding.
        if self == Self::USUAL { usual } else { usual.min(MAX_TIME).mul_f64(self.0) }
    }

    /// The time that work usually takes which took `actual`.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use curranthook_policy::slowdown::Factor;
    /// let actual = Duration::from_millis(500);
    /// assert_eq!(Factor::new(2.5).unwrap().unscale(actual), Duration::from_millis(200));
    /// ```
    pub fn unscale(self, actual: Duration) -> Duration {
        if self == Self::USUAL { actual } else { actual.min(MAX_TIME).div_f64(self.0) }
    }

    /// The factor at `share` of the way to `other`.
    fn towards(self, other: Self, share: f64) -> Self {
        Self(self.0 + (other.0 - self.0) * share)
    }

    fn total_cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl Default for Factor {
    fn default() -> Self {
        Self::USUAL
    }
}

/// A figure and when the endpoint reported it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Figure {
    /// The reported factor.
    pub factor: Factor,
    /// When the endpoint reported it.
    pub at: Instant,
}

/// What is known about the speed of one endpoint.
#[derive(Debug, Clone, Default)]
pub struct Estimate {
    newest: Option<Figure>,
    /// The lowest figure of each interval, the oldest first.
    samples: Vec<Figure>,
    /// The lasting factor that follows from the samples; none without samples.
    lasting: Option<Factor>,
}

/// What an [`Estimate`] says at some time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Outlook {
    /// The factor expected for work that starts now.
    pub expected: Factor,
    /// The lasting factor, which applies to work that takes longer than a slow period. That of a
    /// slow endpoint moves towards [`Factor::USUAL`] as the newest figure ages.
    pub lasting: Factor,
    /// The age of the newest figure; none if there is no figure.
    pub age: Option<Duration>,
}

impl Outlook {
    /// The outlook for an endpoint without figures.
    pub const UNKNOWN: Self = Self { expected: Factor::USUAL, lasting: Factor::USUAL, age: None };

    /// The time that work takes which usually takes `usual` and starts now. The expected
    /// factor applies to the part that is done within the rest of the period, and the lasting one
    /// to the remainder: most of a long queue is processed after the period.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use curranthook_policy::slowdown::{Factor, Outlook};
    /// let (expected, ms) = (Factor::new(2.5).unwrap(), Duration::from_millis);
    /// let outlook = Outlook { expected, lasting: Factor::USUAL, age: Some(Duration::ZERO) };
    /// assert_eq!(outlook.scale(ms(200)), ms(500));
    /// assert_eq!(outlook.scale(ms(2_000)), ms(600) + (ms(2_000) - ms(600) / 5 * 2));
    /// ```
    pub fn scale(&self, usual: Duration) -> Duration {
        let Some(age) = self.age else { return usual };
        // Without a difference, the time is not split, which would round it twice.
        if self.expected == self.lasting {
            return self.lasting.scale(usual);
        }
        let rest_of_period = PERIOD.saturating_sub(age);
        let usual_within = self.expected.unscale(rest_of_period);
        if usual <= usual_within {
            return self.expected.scale(usual);
        }
        rest_of_period + self.lasting.scale(usual - usual_within)
    }
}

impl Estimate {
    /// Adds a figure. Figures may arrive in any order, and more than once.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use curranthook_policy::slowdown::{Estimate, Factor, Figure};
    /// let (mut estimate, at) = (Estimate::default(), Instant::now());
    /// assert_eq!(estimate.lasting(), Factor::USUAL);
    /// estimate.record(Figure { factor: Factor::new(1.7).unwrap(), at });
    /// assert_eq!(estimate.lasting().value(), 1.7);
    /// ```
    pub fn record(&mut self, figure: Figure) {
        if self.newest.is_none_or(|it| it.at <= figure.at) {
            self.newest = Some(figure);
        }
        let is_close = |it: &&mut Figure| distance(it.at, figure.at) < MIN_SAMPLE_INTERVAL;
        if let Some(it) = self.samples.iter_mut().find(is_close) {
            it.factor = if figure.factor < it.factor { figure.factor } else { it.factor };
        } else {
            let index = self.samples.partition_point(|it| it.at < figure.at);
            self.samples.insert(index, figure);
            if N_SAMPLES < self.samples.len() {
                self.samples.remove(0);
            }
        }
        let mut factors: Vec<Factor> = self.samples.iter().map(|it| it.factor).collect();
        factors.sort_unstable_by(Factor::total_cmp);
        self.lasting = factors.get((factors.len() - 1) / RANK_DIVISOR).copied();
    }

    /// The newest figure.
    pub fn newest(&self) -> Option<Figure> {
        self.newest
    }

    /// The factor outside of slow periods at the time of the newest figure; [`Factor::USUAL`] if
    /// there is no figure. [`Self::outlook`] states what is left of it later.
    pub fn lasting(&self) -> Factor {
        self.lasting.unwrap_or(Factor::USUAL)
    }

    /// The factor expected for work that starts now: the newest figure while it is young, and the
    /// lasting one after the length of a period.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use curranthook_policy::slowdown::{Estimate, Factor, Figure};
    /// let (mut estimate, now) = (Estimate::default(), Instant::now());
    /// let s = Duration::from_secs(1);
    /// estimate.record(Figure { factor: Factor::new(0.7).unwrap(), at: now });
    /// estimate.record(Figure { factor: Factor::new(1.75).unwrap(), at: now + 9 * s });
    /// assert_eq!(estimate.expected(now + 9 * s).value(), 1.75);
    /// assert_eq!(estimate.expected(now + 10 * s).value(), 0.7);
    /// ```
    pub fn expected(&self, now: Instant) -> Factor {
        self.outlook(now).expected
    }

    /// All that the estimate says about work that starts now.
    pub fn outlook(&self, now: Instant) -> Outlook {
        let Some(newest) = self.newest else { return Outlook::UNKNOWN };
        let age = now.saturating_duration_since(newest.at);
        let lasting = aged(self.lasting(), age);
        let passed = age.as_secs_f64() / PERIOD.as_secs_f64();
        let expected = if passed < 1.0 { newest.factor.towards(lasting, passed) } else { lasting };
        Outlook { expected, lasting, age: Some(age) }
    }
}

/// What is left of a lasting factor when the newest figure is of `age`. A factor below the usual one
/// is kept: it attracts requests, and so new figures.
fn aged(lasting: Factor, age: Duration) -> Factor {
    if lasting <= Factor::USUAL {
        return lasting;
    }
    let excess = age.saturating_sub(MAX_TRUSTED_AGE).as_secs_f64();
    let share = excess / (MAX_FIGURE_AGE - MAX_TRUSTED_AGE).as_secs_f64();
    lasting.towards(Factor::USUAL, share.min(1.0))
}

fn distance(a: Instant, b: Instant) -> Duration {
    a.saturating_duration_since(b).max(b.saturating_duration_since(a))
}
