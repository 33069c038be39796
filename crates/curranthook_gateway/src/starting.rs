//! Requests that come while a node starts.
//!
//! A process listens before it knows a configuration, and callers whose connections another
//! process of the fleet has just lost come at that moment. Turned away, they would have used up
//! their last try, though the answer is there a tenth of a second later. So requests wait for the
//! first read of the store, as long as that is likely to end at once; after that the store counts as
//! away, and callers are told at once to come back later.

use std::time::{Duration, Instant};

use curranthook_http::timeout;

use crate::{
    Gateway,
    refusal::{Ran, Reason, Refusal},
};

/// How long the first read of the store may take. It takes 0.13 s where the store is up; this leaves
/// room for one call that is turned away and repeated.
const FIRST_READ: Duration = Duration::from_millis(400);
/// When callers come back to a node that doesn't reach the store, at the earliest and at the latest.
/// The longest is what callers with deadlines of 15 s accept, a third of it.
const RETRY: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(5));
/// For how many times as long as a node has been without the store it's expected to stay so. An
/// outage that has lasted is likely to last about as long again; callers have one try left and
/// would lose it by coming too early, so this errs to the long side.
const OUTLOOK: u32 = 2;

/// Waits until the node can serve, for as long as that is likely to be soon.
pub async fn wait(gateway: &Gateway) {
    loop {
        let changed = gateway.changed.wait();
        let left = FIRST_READ.saturating_sub(age(gateway));
        if gateway.is_serving() || left.is_zero() {
            return;
        }
        // Elapsed or not, what is known by then decides.
        let _woken = timeout::run(left, changed).await;
    }
}

/// The refusal of a node that has no configuration.
pub fn refusal(gateway: &Gateway) -> Refusal {
    Refusal::new(Reason::NotReady, Ran::No).with_retry_after(retry_after(age(gateway)))
}

/// When callers come back to a node that has been without the store for `age`.
///
/// ```
/// # use std::time::Duration;
/// # use curranthook_gateway::starting::retry_after;
/// let s = Duration::from_secs;
/// assert_eq!(retry_after(s(0)), s(1));
/// assert_eq!(retry_after(s(2)), s(4));
/// assert_eq!(retry_after(s(60)), s(5));
/// ```
pub fn retry_after(age: Duration) -> Duration {
    age.saturating_mul(OUTLOOK).clamp(RETRY.0, RETRY.1)
}

fn age(gateway: &Gateway) -> Duration {
    let now: Instant = gateway.now();
    now.saturating_duration_since(gateway.started)
}
