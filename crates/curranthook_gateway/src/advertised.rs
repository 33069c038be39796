//! State that an endpoint reports about itself in its answers: its rate limit, pauses, and whether
//! it is leaving.
//!
//! A report may arrive before the endpoint's entry in the store is updated, or while the store is
//! unavailable. It stays valid for the lifetime of the endpoint, even if the entry is removed and
//! added again.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use curranthook_policy::hash;
use curranthook_types::endpoint;

use crate::{
    entry::Entry,
    rate_limit::{Notice, RateLimit},
};

/// How long the reported state of an endpoint without an entry is cached. A leaving endpoint has
/// shut down by then.
const ADVERTISED_EXPIRY: Duration = Duration::from_secs(600);
/// The maximum number of endpoints without an entry whose reported state is cached.
const MAX_CACHED: usize = 1_024;

/// The upper limit applied to a pause that an endpoint asks for.
const MAX_PAUSE: Duration = Duration::from_secs(600);

/// What an endpoint has reported about itself.
#[derive(Debug, Clone, Copy, Default)]
pub struct Advertised {
    /// The endpoint's rate limit, if it reports one.
    pub rate_limit: Option<RateLimit>,
    /// The store's time at the newest report of whether a rate limit applies. Older reports are
    /// ignored.
    rate_limit_at: Duration,
    /// Whether the endpoint is leaving. A report of that is never withdrawn.
    pub is_leaving: bool,
    /// When the pause ends that the endpoint last asked this node for.
    paused_until: Option<Instant>,
}

impl Advertised {
    /// Whether the endpoint has reported nothing.
    fn is_empty(&self) -> bool {
        self.rate_limit.is_none() && !self.is_leaving && self.paused_until.is_none()
    }

    /// Whether this node may send the endpoint a request now.
    pub fn admits(&self, now: Instant) -> bool {
        self.paused_until(now).is_none() && self.rate_limit.is_none_or(|it| it.admits(now))
    }

    /// When the current pause ends; none if there is no pause.
    pub fn paused_until(&self, now: Instant) -> Option<Instant> {
        self.paused_until.filter(|until| now < *until)
    }

    /// Stops requests from this node for `length`, capped at `MAX_PAUSE`. A shorter pause
    /// does not end a longer one.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use curranthook_gateway::advertised::Advertised;
    /// let (mut it, now, s) = (Advertised::default(), Instant::now(), Duration::from_secs(1));
    /// it.pause(2 * s, now);
    /// it.pause(s, now);
    /// assert!(!it.admits(now + s) && it.admits(now + 2 * s));
    /// ```
    pub fn pause(&mut self, length: Duration, now: Instant) {
        self.paused_until = self.paused_until.max(Some(now + length.min(MAX_PAUSE)));
    }

    /// Applies a report about the endpoint's rate limit, unless a newer one has been applied.
    /// Returns whether the rate changed.
    pub fn set_rate_limit(&mut self, notice: &Notice) -> bool {
        if notice.at < self.rate_limit_at {
            return false;
        }
        self.rate_limit_at = notice.at;
        let before = self.rate_limit.map(|it| it.rate);
        if before == notice.rate {
            return false;
        }
        self.rate_limit = notice.rate.map(|rate| match self.rate_limit {
            Some(it) => it.with_rate(rate),
            None => RateLimit::new(rate),
        });
        true
    }
}

/// One run of an endpoint's process. After a restart under the same id, it is a different
/// incarnation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Incarnation {
    /// The endpoint's id.
    pub id: endpoint::Id,
    /// The address that the endpoint listens on.
    pub addr: SocketAddr,
    /// When the process started, in milliseconds since the Unix epoch.
    pub started_ms: Option<u64>,
}

impl Incarnation {
    /// The incarnation that an entry describes.
    pub fn of(entry: &Entry) -> Self {
        Self { id: entry.id.clone(), addr: entry.addr, started_ms: entry.started_ms }
    }

    /// A hash of the id and the start, the same on every node.
    pub fn hash(&self) -> u64 {
        hash::pair(hash::bytes(self.id.as_str().as_bytes()), self.started_ms.unwrap_or_default())
    }
}

/// The reported state of endpoints that have no entry at present.
#[derive(Debug, Default)]
pub struct Cache {
    entries: HashMap<endpoint::Id, Cached>,
}

#[derive(Debug)]
struct Cached {
    incarnation: Incarnation,
    advertised: Advertised,
    expires_at: Instant,
}

impl Cache {
    /// Stores the state of an endpoint whose entry was removed.
    pub fn insert(&mut self, entry: &Entry, advertised: Advertised, now: Instant) {
        if !advertised.is_empty()
            && let Some(it) = self.get_or_insert(&Incarnation::of(entry), now)
        {
            *it = advertised;
        }
    }

    /// The state of an endpoint without an entry; none if the cache is full.
    pub fn get_or_insert(
        &mut self,
        incarnation: &Incarnation,
        now: Instant,
    ) -> Option<&mut Advertised> {
        self.entries.retain(|_, it| now < it.expires_at && !it.advertised.is_empty());
        let is_known =
            self.entries.get(&incarnation.id).is_some_and(|it| it.incarnation == *incarnation);
        if !is_known {
            if MAX_CACHED <= self.entries.len() {
                return None;
            }
            let (incarnation, advertised) = (incarnation.clone(), Advertised::default());
            let cached = Cached { incarnation, advertised, expires_at: now + ADVERTISED_EXPIRY };
            self.entries.insert(cached.incarnation.id.clone(), cached);
        }
        self.entries.get_mut(&incarnation.id).map(|it| &mut it.advertised)
    }

    /// Removes and returns the state of an endpoint whose entry is back.
    pub fn take(&mut self, entry: &Entry, now: Instant) -> Advertised {
        let known = self.entries.remove(&entry.id);
        let is_same = |it: &Cached| now < it.expires_at && it.incarnation == Incarnation::of(entry);
        known.filter(is_same).map(|it| it.advertised).unwrap_or_default()
    }
}
