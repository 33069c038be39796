//! Whether the store was away from everybody, or from this node alone.
//!
//! While the store is away, endpoints can't renew their entries, and those of living ones lapse; so
//! after its return removed entries are kept for a moment. A node that was cut off by itself must not do
//! that: the store served all others meanwhile, what it removed is gone, and endpoints would get
//! requests seconds after they had left. Its peers tell how long ago the store answered them.

use std::time::{Duration, Instant};

/// How long entries that vanished with the store may still be used after its return. Endpoints
/// that live are back in the list within two seconds.
const LAPSE_GRACE: Duration = Duration::from_millis(2_200);
/// The longest between two answers that a peer has of a store which serves it: its calls for the
/// configuration wait for 3 s, and it's asked every half second.
const MAX_ANSWER_GAP: Duration = Duration::from_millis(3_800);

/// What is known of the store while this node doesn't reach it.
#[derive(Debug, Default)]
pub struct Outage {
    /// When this node lost it; none if it reaches it.
    lost_at: Option<Instant>,
    /// Since when it has answered anybody all the while, and when it last did.
    served_span: Option<(Instant, Instant)>,
}

impl Outage {
    /// A call of this node failed.
    pub fn record_failure(&mut self, now: Instant) {
        if self.lost_at.is_none() {
            self.lost_at = Some(now);
            // Calls for several tables fail and come back at moments of their own.
            self.served_span = self.current_span(now);
        }
    }

    /// The store answered a peer at `at`.
    pub fn record_peer_answer(&mut self, at: Instant) {
        if self.lost_at.is_some_and(|lost_at| lost_at <= at) {
            self.record_answer(at);
        }
    }

    /// A call of this node was answered again. Returns until when entries may still be missing that
    /// lapsed.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use curranthook_gateway::outage::Outage;
    /// let (mut outage, start, s) = (Outage::default(), Instant::now(), Duration::from_secs);
    /// outage.record_failure(start);
    /// (1..8).for_each(|it| outage.record_peer_answer(start + s(it)));
    /// assert!(outage.record_recovery(start + s(8)) < start + s(4), "the store served the others");
    ///
    /// outage.record_failure(start + s(20));
    /// assert!(start + s(30) < outage.record_recovery(start + s(28)), "it was away from all");
    /// ```
    pub fn record_recovery(&mut self, now: Instant) -> Instant {
        self.lost_at = None;
        self.record_answer(now);
        self.served_span.map_or(now, |(since, _)| since) + LAPSE_GRACE
    }

    fn record_answer(&mut self, at: Instant) {
        let (since, last) = self.current_span(at).unwrap_or((at, at));
        self.served_span = Some((since, last.max(at)));
    }

    /// Since when it has answered, if it still did at `now`.
    fn current_span(&self, now: Instant) -> Option<(Instant, Instant)> {
        self.served_span.filter(|(_, last)| now.saturating_duration_since(*last) < MAX_ANSWER_GAP)
    }
}
