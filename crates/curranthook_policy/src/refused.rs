//! Requests that were refused and whose callers were told when to return.
//!
//! Addresses load at which refused callers compete with new ones: a second refusal is final, so a
//! node must know which requests it has refused before. The time that a caller states is no evidence
//! of that, since callers state any time.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Range,
    time::{Duration, Instant},
};

use crate::poison::Fingerprint;

/// A bounded set of refused requests, each with the time that its caller had stated. Requests expire
/// at their deadlines. If there are too many, those that expire first are dropped.
///
/// A request that arrives before the time to return is another caller's, or of a caller that does
/// not wait, and does not count as returned.
///
/// ```
/// # use std::time::{Duration, Instant};
/// # use curranthook_policy::refused::Refused;
/// let (mut refused, now, s) = (Refused::new(100), Instant::now(), Duration::from_secs(1));
/// refused.record([7; 16], 8 * s, now + s..now + 8 * s, now);
/// assert_eq!(refused.take(&[7; 16], now), None, "the caller was told to return later");
/// assert_eq!(refused.take(&[7; 16], now + 2 * s), Some(8 * s));
/// assert_eq!(refused.take(&[7; 16], now + 2 * s), None, "a caller returns once");
/// ```
#[derive(Debug)]
pub struct Refused {
    capacity: usize,
    requests: BTreeMap<Fingerprint, Entry>,
    by_expiry: BTreeSet<(Instant, Fingerprint)>,
}

#[derive(Debug)]
struct Entry {
    stated: Duration,
    returns_within: Range<Instant>,
}

impl Refused {
    /// Creates a set of at most `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, requests: BTreeMap::new(), by_expiry: BTreeSet::new() }
    }

    /// Records a refused request, whose caller had stated the time `stated`. `returns_within` starts
    /// when the caller was told to return, and ends when it needs no answer any more. Replaces an earlier refusal of the same request.
    pub fn record(
        &mut self,
        fingerprint: Fingerprint,
        stated: Duration,
        returns_within: Range<Instant>,
        now: Instant,
    ) {
        self.expire(now);
        self.remove(&fingerprint);
        self.by_expiry.insert((returns_within.end, fingerprint));
        self.requests.insert(fingerprint, Entry { stated, returns_within });
        while self.capacity < self.requests.len() {
            self.drop_first();
        }
    }

    /// Removes a request that has returned from the set. Returns the time that its caller had stated
    /// before; none if the request was not refused, has expired, or should return later.
    pub fn take(&mut self, fingerprint: &Fingerprint, now: Instant) -> Option<Duration> {
        self.expire(now);
        self.requests.get(fingerprint).filter(|it| it.returns_within.start <= now)?;
        self.remove(fingerprint).map(|it| it.stated)
    }

    /// The number of requests in the set.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    fn remove(&mut self, fingerprint: &Fingerprint) -> Option<Entry> {
        let entry = self.requests.remove(fingerprint)?;
        self.by_expiry.remove(&(entry.returns_within.end, *fingerprint));
        Some(entry)
    }

    fn expire(&mut self, now: Instant) {
        while self.by_expiry.first().is_some_and(|(expires_at, _)| *expires_at <= now) {
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        if let Some((_, fingerprint)) = self.by_expiry.pop_first() {
            self.requests.remove(&fingerprint);
        }
    }
}
