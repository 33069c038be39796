//! Tests of the set of refused requests.

use std::time::{Duration, Instant};

use curranthook_policy::refused::Refused;

const S: Duration = Duration::from_secs(1);

/// Guards against memory that grows with the number of refusals.
#[test]
fn requests_that_expire_first_are_dropped_beyond_the_capacity() {
    let (mut refused, now) = (Refused::new(2), Instant::now());
    for n in [3, 1, 2] {
        refused.record([n; 16], S, now..now + S * u32::from(n), now);
    }
    assert_eq!(refused.len(), 2);
    assert_eq!([1, 2, 3].map(|n| refused.take(&[n; 16], now)), [None, Some(S), Some(S)]);
    assert!(refused.is_empty());
}

/// Guards against requests that count as returned long after their callers have left.
#[test]
fn request_expires_at_its_deadline() {
    let (mut refused, now) = (Refused::new(2), Instant::now());
    refused.record([1; 16], S, now..now + S, now);
    refused.record([2; 16], S, now..now + S, now);
    refused.record([2; 16], 2 * S, now..now + 3 * S, now);
    assert_eq!(refused.take(&[1; 16], now + S), None);
    assert_eq!(refused.take(&[2; 16], now + 2 * S), Some(2 * S), "the last refusal counts");
    assert!(refused.is_empty());
}
