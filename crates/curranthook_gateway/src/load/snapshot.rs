//! A snapshot of the latency estimates of a service's models, for nodes that start.
//!
//! Addresses the load after all nodes of a fleet were killed at once: nodes that start have no
//! estimates, engines have a backlog, and with priors that are off by a factor of two, first events
//! are forecast wrongly and the largest model is asked too seldom for seconds. One node writes a
//! snapshot to the store; the others start from it instead of the priors.
//!
//! Everything here is without I/O; [`snapshot_rows`](super::snapshot_rows) reads and writes.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::load::{latency::Learned, prefill::Prompt};

/// The version of the encoding. Fields that are added do not change it, as older builds ignore
/// them; a change of the units or terms of the coefficients does.
const FORMAT: u32 = 1;
/// The maximum size of an encoded snapshot, in bytes.
pub const MAX_BYTES: usize = 16 * 1024;
/// The maximum number of models in a snapshot. They take about half of [`MAX_BYTES`].
const MAX_MODELS: usize = 32;
/// The maximum length of a model's name in a snapshot, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// The largest valid coefficient and event interval, in seconds. Prefill of a long prompt takes
/// less than that even if engines are ten times slower than any that has been observed.
const MAX_SECONDS: f64 = 60.0;
/// The age from which an estimate is no longer used. Engines and load may have changed.
const MAX_AGE: Duration = Duration::from_secs(600);
/// How far a snapshot may be ahead of a reader's store time. Readers extrapolate the store's clock
/// from its last answer.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(5);
/// The minimum interval between two writes of a service's snapshot.
pub const MIN_INTERVAL: Duration = Duration::from_secs(8);
/// The age at which an unchanged snapshot is written again, so that it never reaches [`MAX_AGE`].
const REFRESH_AGE: Duration = Duration::from_secs(300);
/// How much longer each further rank waits until it writes in place of nodes that have failed or
/// whose rows have outlived them.
const TAKEOVER_DELAY: Duration = Duration::from_secs(20);
/// The highest rank with a delay of its own; nodes of a higher rank share this one. With this
/// delay, a snapshot is still renewed before [`MAX_AGE`].
const MAX_RANK: usize = 8;
/// The relative change of a forecast that is noticeable. The estimates of one node vary by less
/// than that while engines and load stay the same.
const NOTICEABLE_CHANGE: f64 = 0.15;
/// The absolute change of a forecast below which it is not noticeable.
const MIN_CHANGE: Duration = Duration::from_millis(10);
/// The prompts, and the numbers of concurrent requests, whose forecasts are compared to detect a
/// change. Coefficients alone may change without a change in any forecast, as one makes up for
/// another.
const COMPARED_REQUESTS: [(u64, u32); 4] = [(1_000, 0), (1_000, 10), (10_000, 5), (20_000, 5)];

/// The latency estimates of a service's models.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    format: u32,
    /// When it was written, by the store's clock.
    at_ms: u64,
    /// Whether an endpoint of the service has reported a slowdown to the writer.
    #[serde(default)]
    pub reports_slowdown: bool,
    models: BTreeMap<String, Model>,
}

/// The latency estimate of a model.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
struct Model {
    /// When the node that learned the estimate last observed the model, by the store's clock. A
    /// writer passes on newer estimates of other nodes, with their time.
    at_ms: u64,
    #[serde(flatten)]
    learned: Learned,
}

/// Why a snapshot is not used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// The row exceeds [`MAX_BYTES`].
    #[error("too_large")]
    TooLarge,
    /// The row is not a snapshot.
    #[error("malformed")]
    Malformed,
    /// The row has the format of another build.
    #[error("other_format")]
    OtherFormat,
    /// The row has more models than a build writes, or a name that is too long.
    #[error("too_many_models")]
    TooManyModels,
    /// A number is out of range.
    #[error("out_of_range")]
    OutOfRange,
    /// All estimates are too old; the field is the age of the snapshot.
    #[error("too_old")]
    TooOld(Duration),
    /// The snapshot is from the future; the store's clock may have been reset.
    #[error("from_future")]
    FromFuture,
}

/// Why a snapshot is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// There is no usable snapshot.
    Missing,
    /// A forecast has changed noticeably.
    Changed,
    /// The snapshot would soon be too old.
    Aging,
}

impl Rejection {
    /// The age of the rejected snapshot, if it was decoded.
    pub fn age(self) -> Option<Duration> {
        if let Self::TooOld(age) = self { Some(age) } else { None }
    }
}

impl Reason {
    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Missing => "missing",
            Self::Changed => "changed",
            Self::Aging => "aging",
        }
    }
}

impl Snapshot {
    /// The snapshot that a node writes at `now`: what it has learned itself, with the time since
    /// its last observation of each model, and what `stored` contains of models that were observed
    /// later or only by other nodes. Estimates that are too old are left out.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use curranthook_gateway::load::{latency::Learned, snapshot::Snapshot};
    /// let coefficients = [0.1, 0.2, 0.0, 0.0].into();
    /// let learned = Learned { coefficients, event_interval_s: None };
    /// let (early, late) = (Duration::from_secs(100), Duration::from_secs(130));
    /// let large = [("large".to_owned(), learned, Duration::ZERO)];
    /// let stored = Snapshot::merge(None, large, false, early);
    /// let small = [("small".to_owned(), learned, Duration::ZERO)];
    /// let merged = Snapshot::merge(Some(&stored), small, false, late);
    /// assert_eq!(merged.models(late).count(), 2);
    /// assert_eq!(Snapshot::decode(&merged.encode().unwrap(), late).unwrap(), merged);
    /// ```
    pub fn merge(
        stored: Option<&Self>,
        own: impl IntoIterator<Item = (String, Learned, Duration)>,
        reports_slowdown: bool,
        now: Duration,
    ) -> Self {
        let at_ms = to_millis(now);
        let mut models: BTreeMap<_, _> =
            stored.map(|it| it.models.clone()).unwrap_or_default().into_iter().collect();
        for (name, learned, age) in own.into_iter().filter(|(name, it, _)| is_valid(name, it)) {
            let own = Model { at_ms: to_millis(now.saturating_sub(age)), learned };
            if models.get(&name).is_none_or(|it| it.at_ms <= own.at_ms) {
                models.insert(name, own);
            }
        }
        models.retain(|_, it| !is_too_old(it.at_ms, now));
        while MAX_MODELS < models.len()
            && let Some(oldest) = models.iter().min_by_key(|(_, it)| it.at_ms)
        {
            let oldest = oldest.0.clone();
            models.remove(&oldest);
        }
        Self { format: FORMAT, at_ms, reports_slowdown, models }
    }

    /// The value of the row.
    pub fn encode(&self) -> Result<Vec<u8>, Rejection> {
        let value = serde_json::to_vec(self).map_err(|_| Rejection::Malformed)?;
        if MAX_BYTES <= value.len() { Err(Rejection::TooLarge) } else { Ok(value) }
    }

    /// Decodes and checks a row that is read at `now`, by the store's clock.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use curranthook_gateway::load::snapshot::{Rejection, Snapshot};
    /// let row = br#"{"format":2,"layers":[]}"#;
    /// assert_eq!(Snapshot::decode(row, Duration::ZERO), Err(Rejection::OtherFormat));
    /// ```
    pub fn decode(value: &[u8], now: Duration) -> Result<Self, Rejection> {
        #[derive(Deserialize)]
        struct Format {
            format: u32,
        }
        if MAX_BYTES <= value.len() {
            return Err(Rejection::TooLarge);
        }
        let Format { format } = serde_json::from_slice(value).map_err(|_| Rejection::Malformed)?;
        if format != FORMAT {
            return Err(Rejection::OtherFormat);
        }
        let it: Self = serde_json::from_slice(value).map_err(|_| Rejection::Malformed)?;
        it.check(now)?;
        Ok(it)
    }

    fn check(&self, now: Duration) -> Result<(), Rejection> {
        if MAX_MODELS < self.models.len()
            || self.models.keys().any(|name| MAX_NAME_BYTES < name.len())
        {
            return Err(Rejection::TooManyModels);
        }
        if !self.models.iter().all(|(name, it)| is_valid(name, &it.learned)) {
            return Err(Rejection::OutOfRange);
        }
        let latest = to_millis(now + MAX_CLOCK_SKEW);
        if latest < self.at_ms || self.models.values().any(|it| latest < it.at_ms) {
            return Err(Rejection::FromFuture);
        }
        if is_too_old(self.at_ms, now) || self.models(now).next().is_none() {
            return Err(Rejection::TooOld(self.age(now)));
        }
        Ok(())
    }

    /// The time since it was written.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(Duration::from_millis(self.at_ms))
    }

    /// The estimates that are not too old, with the time until they are.
    pub fn models(&self, now: Duration) -> impl Iterator<Item = (&str, Learned, Duration)> {
        let recent = self.models.iter().filter(move |(_, it)| !is_too_old(it.at_ms, now));
        recent.map(move |(name, it)| {
            let age = now.saturating_sub(Duration::from_millis(it.at_ms));
            (name.as_str(), it.learned, MAX_AGE.saturating_sub(age))
        })
    }

    /// Whether `next` has other models, or some forecast differs noticeably.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use curranthook_gateway::load::{latency::Learned, snapshot::Snapshot};
    /// let with_rate = |rate: f64| {
    ///     let coefficients = [0.1, rate, 0.0, 0.0].into();
    ///     let learned = Learned { coefficients, event_interval_s: Some(0.02) };
    ///     let large = [("large".to_owned(), learned, Duration::ZERO)];
    ///     Snapshot::merge(None, large, false, Duration::ZERO)
    /// };
    /// assert!(!with_rate(0.40).differs_noticeably(&with_rate(0.42)));
    /// assert!(with_rate(0.40).differs_noticeably(&with_rate(0.80)));
    /// ```
    pub fn differs_noticeably(&self, next: &Self) -> bool {
        self.reports_slowdown != next.reports_slowdown
            || !self.models.keys().eq(next.models.keys())
            || self.models.iter().any(|(name, it)| {
                let next = next.models.get(name);
                next.is_none_or(|next| learned_differs(&it.learned, &next.learned))
            })
    }

    /// Whether `next` has a newer estimate of a model whose estimate is at least `age` old.
    fn is_renewed_by(&self, next: &Self, age: Duration, now: Duration) -> bool {
        self.models.iter().any(|(name, it)| {
            let is_newer = next.models.get(name).is_some_and(|next| it.at_ms < next.at_ms);
            is_newer && age <= now.saturating_sub(Duration::from_millis(it.at_ms))
        })
    }
}

/// Whether a node of this `rank` writes `next` at `now` in place of `stored`, the usable snapshot
/// in the store, and why. `waited` is the time for which the node has known that there is no usable
/// snapshot.
///
/// Rank 0 writes; each further rank writes later by `TAKEOVER_DELAY`, so that it does so only if
/// the nodes before it fail to, or if its estimates differ noticeably from theirs.
///
/// ```
/// # use std::time::Duration;
/// # use curranthook_gateway::load::snapshot::{self, Reason, Snapshot};
/// # use curranthook_gateway::load::latency::Learned;
/// let (s, coefficients) = (Duration::from_secs, [0.1, 0.2, 0.0, 0.0].into());
/// let learned = Learned { coefficients, event_interval_s: None };
/// let next = Snapshot::merge(None, [("large".to_owned(), learned, s(0))], false, s(50));
/// assert_eq!(snapshot::reason_to_write(None, &next, 0, s(0), s(50)), Some(Reason::Missing));
/// assert_eq!(snapshot::reason_to_write(None, &next, 1, s(0), s(50)), None);
/// assert_eq!(snapshot::reason_to_write(Some(&next), &next, 0, s(0), s(90)), None);
/// ```
pub fn reason_to_write(
    stored: Option<&Snapshot>,
    next: &Snapshot,
    rank: usize,
    waited: Duration,
    now: Duration,
) -> Option<Reason> {
    if next.models.is_empty() {
        return None;
    }
    let takeover_delay = TAKEOVER_DELAY * u32::try_from(rank.min(MAX_RANK)).unwrap_or(u32::MAX);
    let Some(stored) = stored else {
        return (takeover_delay <= waited).then_some(Reason::Missing);
    };
    if stored.age(now) < MIN_INTERVAL {
        return None;
    }
    if stored.is_renewed_by(next, REFRESH_AGE + takeover_delay, now) {
        return Some(Reason::Aging);
    }
    let is_due = MIN_INTERVAL + takeover_delay <= stored.age(now);
    (is_due && stored.differs_noticeably(next)).then_some(Reason::Changed)
}

/// Whether an estimate may be shared under this name.
fn is_valid(name: &str, it: &Learned) -> bool {
    let is_interval = |seconds: f64| (0.0..=MAX_SECONDS).contains(&seconds);
    name.len() <= MAX_NAME_BYTES
        && it.coefficients.are_valid(MAX_SECONDS)
        && it.event_interval_s.is_none_or(is_interval)
}

fn learned_differs(one: &Learned, other: &Learned) -> bool {
    let forecasts = |it: &Learned, (tokens, outstanding): (u64, u32)| {
        it.coefficients.time_to_first_event(Prompt::new(tokens, 0), outstanding)
    };
    let has_interval = one.event_interval_s.is_some() == other.event_interval_s.is_some();
    let intervals = [one, other].map(|it| it.event_interval_s.unwrap_or(0.0));
    !has_interval
        || NOTICEABLE_CHANGE * intervals[0] < (intervals[0] - intervals[1]).abs()
        || COMPARED_REQUESTS.into_iter().any(|it| {
            let (one, other) = (forecasts(one, it), forecasts(other, it));
            one.mul_f64(NOTICEABLE_CHANGE).max(MIN_CHANGE) < one.abs_diff(other)
        })
}

fn is_too_old(at_ms: u64, now: Duration) -> bool {
    MAX_AGE <= now.saturating_sub(Duration::from_millis(at_ms))
}

fn to_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
