//! What an endpoint says of itself in its answers.
//!
//! It may say so before its entry in the store does, or while the store is away, and it holds for as long
//! as the endpoint lives, whatever becomes of the entry.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use curranthook_types::endpoint;

use crate::{
    entry::Entry,
    rate_limit::{Notice, RateLimit},
};

/// How long it's remembered what an endpoint without an entry said; by then one that is leaving is gone.
const ADVERTISED_EXPIRY: Duration = Duration::from_secs(600);
/// Of how many endpoints without an entry it's remembered.
const MAX_REMEMBERED: usize = 1_024;

/// The longest pause that is believed.
const MAX_PAUSE: Duration = Duration::from_secs(600);

/// What an endpoint said.
#[derive(Debug, Clone, Copy, Default)]
pub struct Advertised {
    /// The limit that it names, while it names one.
    pub rate_limit: Option<RateLimit>,
    /// When it was last said, by the store's clock, whether it names a limit.
    limit_at: Duration,
    /// Whether it's leaving; an endpoint that said so never takes that back.
    pub is_leaving: bool,
    /// Until when it wants no requests of this node.
    paused_until: Option<Instant>,
}

impl Advertised {
    /// Whether there is nothing to remember.
    fn is_empty(&self) -> bool {
        self.rate_limit.is_none() && !self.is_leaving && self.paused_until.is_none()
    }

    /// Whether it takes a request of this node now.
    pub fn admits(&self, now: Instant) -> bool {
        self.paused_until(now).is_none() && self.rate_limit.is_none_or(|it| it.admits(now))
    }

    /// Until when it wants no requests of this node; none if it takes some.
    pub fn paused_until(&self, now: Instant) -> Option<Instant> {
        self.paused_until.filter(|until| now < *until)
    }

    /// It wants no requests of this node for so long.
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

    /// Takes in what was said of its limit. Returns whether that changes it.
    pub fn set_rate_limit(&mut self, notice: &Notice) -> bool {
        if notice.at < self.limit_at {
            return false;
        }
        self.limit_at = notice.at;
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

/// One start of an endpoint. The same id after a restart is another endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Incarnation {
    /// The endpoint.
    pub id: endpoint::Id,
    /// Where it listens.
    pub addr: SocketAddr,
    /// When it started, in milliseconds of the wall clock.
    pub born: Option<u64>,
}

impl Incarnation {
    /// The start that an entry is of.
    pub fn of(entry: &Entry) -> Self {
        Self { id: entry.id.clone(), addr: entry.addr, born: entry.started_ms }
    }
}

/// What endpoints said whose entries are gone.
#[derive(Debug, Default)]
pub struct Departed {
    all: HashMap<endpoint::Id, Remembered>,
}

#[derive(Debug)]
struct Remembered {
    incarnation: Incarnation,
    advertised: Advertised,
    until: Instant,
}

impl Departed {
    /// The entry of an endpoint is gone.
    pub fn put(&mut self, entry: &Entry, advertised: Advertised, now: Instant) {
        if !advertised.is_empty()
            && let Some(it) = self.get_mut(&Incarnation::of(entry), now)
        {
            *it = advertised;
        }
    }

    /// What an endpoint without an entry said; none if no more of them can be remembered.
    pub fn get_mut(&mut self, incarnation: &Incarnation, now: Instant) -> Option<&mut Advertised> {
        self.all.retain(|_, it| now < it.until && !it.advertised.is_empty());
        let is_known =
            self.all.get(&incarnation.id).is_some_and(|it| it.incarnation == *incarnation);
        if !is_known {
            if MAX_REMEMBERED <= self.all.len() {
                return None;
            }
            let (incarnation, advertised) = (incarnation.clone(), Advertised::default());
            let remembered = Remembered { incarnation, advertised, until: now + ADVERTISED_EXPIRY };
            self.all.insert(remembered.incarnation.id.clone(), remembered);
        }
        self.all.get_mut(&incarnation.id).map(|it| &mut it.advertised)
    }

    /// What an endpoint said before, as its entry comes back.
    pub fn take(&mut self, entry: &Entry, now: Instant) -> Advertised {
        let known = self.all.remove(&entry.id);
        let is_same = |it: &Remembered| now < it.until && it.incarnation == Incarnation::of(entry);
        known.filter(is_same).map(|it| it.advertised).unwrap_or_default()
    }
}
