//! Connections that have been accepted and not read yet.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use curranthook_types::clock::Clock;
use parking_lot::Mutex;

/// How long connections must have waited too long again and again before new ones are closed.
/// Shorter bursts pass by themselves.
const MIN_EXCESS_TIME: Duration = Duration::from_secs(1);
/// The time without a wait that was or would have been too long after which all connections are read
/// again.
const RECOVERY_TIME: Duration = Duration::from_millis(500);
/// The wait at which new connections are closed meanwhile, as a part of the one that is too long: the
/// backlog shrinks only if they wait less.
const TARGET: f64 = 0.5;
/// The weight of a new measurement in the average time between two reads.
const SMOOTHING: f64 = 0.05;

/// The connections that wait to be read.
///
/// A process that accepts more than it can read makes all callers wait, and serves few of them
/// before they leave. If connections have waited too long for a while, new ones that would, too, are
/// closed unread, as are those that have, so that their callers can try another server at once. The
/// others are read, and at least one each time that a connection should wait at most: the process
/// always takes some.
///
/// ```
/// # use std::{sync::Arc, time::Duration};
/// # use curranthook_http::server::{Backlog, Waiting};
/// # use curranthook_types::clock::Manual;
/// let (clock, ms) = (Arc::new(Manual::default()), Duration::from_millis);
/// let backlog = Arc::new(Backlog::new(ms(100), clock.clone()));
/// // A hundred connections arrive, of which one is read each 20 ms.
/// let mut waiting: Vec<_> = (0..100).map(|_| backlog.admit().unwrap()).collect();
/// let mut read = |connection: Waiting| {
///     clock.advance(ms(20));
///     connection.end()
/// };
/// assert!(waiting.drain(..55).all(&mut read));
/// // They have waited too long for a second.
/// clock.advance(ms(20));
/// assert!(backlog.admit().is_none());
/// let n_read = waiting.into_iter().filter_map(|it| read(it).then_some(())).count();
/// assert!(n_read < 20);
/// assert!(backlog.admit().is_some());
/// ```
#[derive(Debug)]
pub struct Backlog {
    max_wait: Duration,
    clock: Arc<dyn Clock>,
    waits: Mutex<Waits>,
    n_closed: AtomicU64,
}

/// A connection that waits to be read.
#[derive(Debug)]
pub struct Waiting {
    backlog: Arc<Backlog>,
    since: Instant,
}

#[derive(Debug, Default)]
struct Waits {
    n_waiting: usize,
    last_read: Option<Instant>,
    /// The average time between two reads while connections wait.
    read_interval: Duration,
    excess: Option<Excess>,
}

/// When connections waited too long, or would have.
#[derive(Debug, Clone, Copy)]
struct Excess {
    first: Instant,
    last: Instant,
}

impl Backlog {
    /// A backlog in which connections should wait for at most `max_wait`.
    pub fn new(max_wait: Duration, clock: Arc<dyn Clock>) -> Self {
        Self { max_wait, clock, waits: Mutex::default(), n_closed: AtomicU64::new(0) }
    }

    /// Adds a new connection; none if it is to be closed unread.
    pub fn admit(self: &Arc<Self>) -> Option<Waiting> {
        let now = self.clock.now();
        let mut waits = self.waits.lock();
        let wait = waits.read_interval.mul_f64(waits.n_waiting as f64);
        if self.max_wait.mul_f64(TARGET) < wait && waits.are_too_long(now) {
            waits.record_excess(now);
            drop(waits);
            self.n_closed.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        waits.n_waiting += 1;
        Some(Waiting { backlog: Arc::clone(self), since: now })
    }

    /// Whether connections have been waiting too long for a while.
    pub fn are_waits_too_long(&self) -> bool {
        self.waits.lock().are_too_long(self.clock.now())
    }

    /// The number of connections that were closed unread.
    pub fn n_closed(&self) -> u64 {
        self.n_closed.load(Ordering::Relaxed)
    }
}

impl Waiting {
    /// Ends the wait. Returns whether the connection is to be read now; otherwise it is to be closed,
    /// because it has waited too long and others have, too.
    pub fn end(self) -> bool {
        let Backlog { max_wait, clock, waits, n_closed } = &*self.backlog;
        let now = clock.now();
        let waited = now.saturating_duration_since(self.since);
        let mut waits = waits.lock();
        waits.n_waiting = waits.n_waiting.saturating_sub(1);
        let since_last_read = waits.last_read.map(|it| now.saturating_duration_since(it));
        let is_closed = *max_wait < waited
            && waits.are_too_long(now)
            && since_last_read.is_some_and(|it| it < *max_wait);
        if *max_wait < waited {
            waits.record_excess(now);
        }
        if is_closed {
            n_closed.fetch_add(1, Ordering::Relaxed);
            return false;
        }
        // If it has waited since the last read, the time between is that of a read.
        if let Some(interval) = since_last_read.filter(|it| *it <= waited) {
            let before = waits.read_interval;
            waits.read_interval = before.mul_f64(1.0 - SMOOTHING) + interval.mul_f64(SMOOTHING);
        }
        waits.last_read = Some(now);
        true
    }
}

impl Waits {
    fn record_excess(&mut self, now: Instant) {
        let first = self.current_excess(now).map_or(now, |it| it.first);
        self.excess = Some(Excess { first, last: now });
    }

    fn are_too_long(&self, now: Instant) -> bool {
        self.current_excess(now).is_some_and(|it| it.first + MIN_EXCESS_TIME <= now)
    }

    fn current_excess(&self, now: Instant) -> Option<Excess> {
        self.excess.filter(|it| now <= it.last + RECOVERY_TIME)
    }
}
