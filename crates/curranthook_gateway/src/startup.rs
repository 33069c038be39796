//! Requests that arrive while a node starts.
//!
//! A process listens before it has read a configuration, and callers that have just lost their
//! connections to another process of the fleet arrive at that moment. An immediate refusal would
//! use up their last retry, although the node can serve shortly after. So a limited number of
//! requests wait for the first read of the store, for a small part of their callers' timeouts; all
//! others are refused at once with a `Retry-After`.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::{Duration, Instant},
};

use curranthook_http::timeout;

use crate::{
    Gateway,
    refusal::{Reason, Refusal, Started},
};

/// The time after the node's start within which the first read of the store should complete. The
/// read takes 0.13 s while the store is up; the limit leaves room for one call that is rejected and
/// retried.
const FIRST_READ_TIMEOUT: Duration = Duration::from_millis(400);
/// The divisor of a caller's timeout that yields how long its request may wait for a configuration.
/// The timeouts of streams are two to ten times their targets for the first event, so most requests
/// that waited are still answered on time.
const MAX_WAIT_DIVISOR: u32 = 10;
/// The longest time that a request may wait for a configuration. A store that has been unavailable
/// for longer is likely to stay so.
const MAX_WAIT: Duration = Duration::from_millis(2_500);
/// The number of requests that may wait at a time. Each occupies a connection and a request head,
/// about 20 KB together; further requests are refused at once.
pub const MAX_WAITERS: usize = 256;
/// The shortest and the longest `Retry-After` of a node that cannot reach the store. The longest is
/// what a caller with a deadline of 15 s accepts, a third of its deadline.
const RETRY_AFTER_RANGE: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(5));
/// The `Retry-After` as a multiple of the time that the node has been without the store. An outage
/// that has lasted is likely to last about as long again; callers have one retry left and would
/// lose it by coming back too early, so the estimate errs on the long side.
const RETRY_AFTER_FACTOR: u32 = 2;

/// The number of requests that wait for the first configuration.
#[derive(Debug, Default)]
pub struct Waiters(AtomicUsize);

/// The slot of a waiting request; dropping it releases the slot.
#[derive(Debug)]
pub struct Slot<'a>(&'a Waiters);

impl Waiters {
    /// Reserves a slot, unless [`MAX_WAITERS`] requests wait already.
    ///
    /// ```
    /// # use curranthook_gateway::startup::Waiters;
    /// let waiters = Waiters::default();
    /// assert!(waiters.try_enter().is_some());
    /// ```
    pub fn try_enter(&self) -> Option<Slot<'_>> {
        let n_already_waiting = self.0.fetch_add(1, Ordering::Relaxed);
        let slot = Slot(self);
        (n_already_waiting < MAX_WAITERS).then_some(slot)
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Waits until the node can serve. Returns at the latest when the first read of the store should
/// have completed or, if that is later, after the allowed part of the caller's `timeout`.
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
        let time_left = until.saturating_duration_since(gateway.now());
        if gateway.is_serving() || time_left.is_zero() {
            return;
        }
        // The loop checks the state again both after a wake and after a timeout.
        let _timed_out = timeout::run(time_left, changed).await;
    }
}

/// The refusal of a node that has no configuration.
pub fn refusal(gateway: &Gateway) -> Refusal {
    Refusal::new(Reason::NotReady, Started::No)
        .with_retry_after(retry_after(time_since_start(gateway)))
}

/// The `Retry-After` of a node that has been without the store for `without_store`.
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
