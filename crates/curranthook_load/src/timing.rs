//! Latency recording in HDR histograms.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Maximum recorded latency in microseconds (one hour); longer ones are recorded as this value.
const MAX_MICROS: u64 = 3_600_000_000;
/// Precision of the histogram, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Histogram of latencies of one kind.
#[derive(Debug, Clone)]
pub struct Recorder(Histogram<u64>);

impl Default for Recorder {
    fn default() -> Self {
        Self(
            Histogram::new_with_max(MAX_MICROS, SIGNIFICANT_DIGITS)
                .expect("bounds and digits are valid"),
        )
    }
}

impl Recorder {
    /// Records a latency.
    pub fn record(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_MICROS);
        self.0.saturating_record(micros);
    }

    /// Adds the latencies of another recorder.
    pub fn merge(&mut self, other: &Self) {
        self.0.add(&other.0).expect("both have the same bounds");
    }

    /// Returns the percentiles for a report.
    ///
    /// ```
    /// use curranthook_load::timing::Recorder;
    /// let mut recorder = Recorder::default();
    /// recorder.record(std::time::Duration::from_millis(4));
    /// assert_eq!(recorder.summary().n, 1);
    /// ```
    pub fn summary(&self) -> Summary {
        let millis = |quantile| as_millis(self.0.value_at_quantile(quantile));
        Summary {
            n: self.0.len(),
            p50: millis(0.50),
            p95: millis(0.95),
            p99: millis(0.99),
            max: as_millis(self.0.max()),
        }
    }
}

impl FromIterator<Duration> for Recorder {
    fn from_iter<I: IntoIterator<Item = Duration>>(latencies: I) -> Self {
        let mut recorder = Self::default();
        latencies.into_iter().for_each(|it| recorder.record(it));
        recorder
    }
}

/// Percentiles in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Number of latencies.
    pub n: u64,
    /// The 50th percentile (median).
    #[serde(rename = "p50_ms")]
    pub p50: f64,
    /// The 95th percentile.
    #[serde(rename = "p95_ms")]
    pub p95: f64,
    /// The 99th percentile.
    #[serde(rename = "p99_ms")]
    pub p99: f64,
    /// The maximum.
    #[serde(rename = "max_ms")]
    pub max: f64,
}

fn as_millis(micros: u64) -> f64 {
    const MICROS_PER_MILLI: f64 = 1_000.0;
    micros as f64 / MICROS_PER_MILLI
}
