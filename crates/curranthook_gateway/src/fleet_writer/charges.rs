//! Which requests that are blamed for endpoint failures a node writes to its row, and when.
//!
//! Addresses the crash of many endpoints at once in a large fleet. Every node reads the rows of all
//! others, so each writes only what it observed itself.

use std::{
    cmp::Reverse,
    time::{Duration, Instant},
};

use curranthook_policy::poison::{Entry, Register};

/// The maximum number of blamed requests in a row. At 150 bytes each, they take a sixth of the
/// maximum row size.
const MAX_ENTRIES: usize = 64;

/// What a node last wrote to its row of blamed requests.
#[derive(Debug, Default)]
pub struct Charges {
    /// The number of endpoint failures in the row.
    n_failures: usize,
    /// When the row was written, or when a write failed.
    written_at: Option<Instant>,
}

/// A row that is to be written.
#[derive(Debug)]
pub struct Row {
    /// The blamed requests.
    pub entries: Vec<Entry>,
    n_failures: usize,
}

impl Charges {
    /// The row to write now, if this node has observed further failures and `interval` is over
    /// since its last write.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use curranthook_gateway::fleet_writer::charges::Charges;
    /// # use curranthook_policy::poison::Register;
    /// let (mut register, now, interval) = (Register::new(8), Instant::now(), Duration::from_secs(1));
    /// let mut charges = Charges::default();
    /// assert!(charges.due(&register, interval, now).is_none());
    /// register.record_crash([7; 16], &"engine-1".into(), now);
    /// let row = charges.due(&register, interval, now).unwrap();
    /// charges.record_written(&row, now);
    /// assert!(charges.due(&register, interval, now + interval).is_none());
    /// ```
    pub fn due(&self, register: &Register, interval: Duration, now: Instant) -> Option<Row> {
        if self.written_at.is_some_and(|at| now.saturating_duration_since(at) < interval) {
            return None;
        }
        let mut entries = register.export_own(now);
        let n_failures: usize = entries.iter().map(Entry::n_crashes).sum();
        if n_failures <= self.n_failures {
            return None;
        }
        // When many endpoints fail at once, each request in flight there is blamed. A request that
        // really brings down endpoints is sent again, so it is among those with the most failures
        // or the newest.
        entries.sort_by_key(|it| (Reverse(it.n_crashes()), it.age));
        entries.truncate(MAX_ENTRIES);
        Some(Row { entries, n_failures })
    }

    /// Records that a row was written.
    pub fn record_written(&mut self, row: &Row, now: Instant) {
        *self = Self { n_failures: row.n_failures, written_at: Some(now) };
    }

    /// Records that a write failed. It is not repeated at once: the store may be unavailable, or
    /// reject the row permanently.
    pub fn record_failed(&mut self, now: Instant) {
        self.written_at = Some(now);
    }
}
