//! Requests that come while a node starts.
//!
//! A process listens before it knows a configuration, and callers whose connections another
//! process of the fleet has just lost come at that moment. Turned away, they would have used up
//! their last try, though the answer is there soon after. So requests wait for the first read of the
//! store, a small part of the time that their callers have, and so many at a time; the others are
//! told at once to come back later.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::{Duration, Instant},
};

use curranthook_http::timeout;

use crate::{
    Gateway,
    refusal::{Reason, Refusal, Started},
};

/// How long the first read of the store may take. It takes 0.13 s where the store is up; this leaves
/// room for one call that is turned away and repeated.
const FIRST_READ_TIMEOUT: Duration = Duration::from_millis(400);
/// The part of a caller's patience that its request may wait for a configuration. Callers of streams are
/// patient for two to ten times as long as they like to wait for a first event, so most of those that
/// waited are still answered on time.
const MAX_WAIT_DIVISOR: u32 = 10;
/// The longest such wait. A store that has been away for longer is likely to stay away.
const MAX_WAIT: Duration = Duration::from_millis(2_500);
/// How many requests wait at a time. Each holds a connection and its head, some 20 KB together; further
/// ones are refused at once.
pub const MAX_WAITERS: usize = 256;
/// When callers come back to a node that doesn't reach the store, at the earliest and at the latest.
/// The longest is what callers with deadlines of 15 s accept, a third of it.
const RETRY_AFTER_RANGE: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(5));
/// For how many times as long as a node has been without the store it's expected to stay so. An
/// outage that has lasted is likely to last about as long again; callers have one try left and
/// would lose it by coming too early, so this errs to the long side.
const RETRY_AFTER_FACTOR: u32 = 2;

/// The requests that wait.
#[derive(Debug, Default)]
pub struct Waiters(AtomicUsize);

/// One of them, until it's dropped.
#[derive(Debug)]
pub struct Slot<'a>(&'a Waiters);

impl Waiters {
    /// A place among them, if there is one left.
    ///
    /// ```
    /// # use curranthook_gateway::startup::Waiters;
    /// let waiters = Waiters::default();
    /// assert!(waiters.try_enter().is_some());
    /// ```
    pub fn try_enter(&self) -> Option<Slot<'_>> {
        let before = self.0.fetch_add(1, Ordering::Relaxed);
        let slot = Slot(self);
        (before < MAX_WAITERS).then_some(slot)
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Waits until the node can serve, for as long as that is likely to be soon and its caller, who waits
/// for `patience` in all, has the time.
pub async fn wait(gateway: &Gateway, timeout: Option<Duration>) {
    if gateway.is_serving() {
        return;
    }
    let Some(_slot) = gateway.startup_waiters.try_enter() else { return };
    let now = gateway.now();
    let max_wait = timeout.map_or(Duration::ZERO, |it| it / MAX_WAIT_DIVISOR).min(MAX_WAIT);
    let until = (gateway.started + FIRST_READ_TIMEOUT).max(now + max_wait);
    loop {
        let changed = gateway.rows_changed.wait();
        let left = until.saturating_duration_since(gateway.now());
        if gateway.is_serving() || left.is_zero() {
            return;
        }
        // Elapsed or not, what is known by then decides.
        let _woken = timeout::run(left, changed).await;
    }
}

/// The refusal of a node that has no configuration.
pub fn refusal(gateway: &Gateway) -> Refusal {
    Refusal::new(Reason::NotReady, Started::No)
        .with_retry_after(retry_after(time_since_start(gateway)))
}

/// When callers come back to a node that has been without the store for `age`.
///
/// ```
/// # use std::time::Duration;
/// # use curranthook_gateway::startup::retry_after;
/// let s = Duration::from_secs;
/// assert_eq!(retry_after(s(0)), s(1));
/// assert_eq!(retry_after(s(2)), s(4));
/// assert_eq!(retry_after(s(60)), s(5));
/// ```
pub fn retry_after(without_store: Duration) -> Duration {
    without_store.saturating_mul(RETRY_AFTER_FACTOR).clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1)
}

fn time_since_start(gateway: &Gateway) -> Duration {
    let now: Instant = gateway.now();
    now.saturating_duration_since(gateway.started)
}
