//! Determines whether an outage of the store affects all nodes or only this one.
//!
//! While the store is unavailable, endpoints cannot renew their entries, and even the entries of
//! live endpoints lapse. So removed entries are kept for a short time after the outage. A node that
//! was the only one to lose its connection must not keep them: the store served the other nodes
//! meanwhile, so the endpoints whose entries it removed are really gone and would get requests
//! seconds after they had left. To tell the two cases apart, peers report how long ago the store
//! answered them.

use std::time::{Duration, Instant};

/// How long after an outage entries that lapsed in it may still be used. Live endpoints are listed
/// again within two seconds.
const LAPSE_GRACE: Duration = Duration::from_millis(2_200);
/// The maximum time between two store answers at a node that the store serves: a few of its calls for
/// the configuration, of which one or two may be lost.
pub const MAX_ANSWER_GAP: Duration = Duration::from_millis(3_800);

/// What is known about the store while this node cannot reach it.
#[derive(Debug, Default)]
pub struct Outage {
    /// When this node lost contact with the store; none if it has contact.
    lost_at: Option<Instant>,
    /// The latest span in which the store answered some node without a gap of `MAX_ANSWER_GAP`: the
    /// first and the last answer.
    served_span: Option<(Instant, Instant)>,
}

impl Outage {
    /// Records that a call of this node failed.
    pub fn record_failure(&mut self, now: Instant) {
        if self.lost_at.is_none() {
            self.lost_at = Some(now);
            // Calls for the different tables fail and recover independently, so a span that is
            // still current is kept.
            self.served_span = self.current_span(now);
        }
    }

    /// Records that the store answered a peer at `at`.
    pub fn record_peer_answer(&mut self, at: Instant) {
        if self.lost_at.is_some_and(|lost_at| lost_at <= at) {
            self.record_answer(at);
        }
    }

    /// Whether no peer is known to be served by the store at `now`, so that an entry that is removed
    /// now may have lapsed.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use curranthook_gateway::replication::outage::Outage;
    /// let (mut outage, start, s) = (Outage::default(), Instant::now(), Duration::from_secs);
    /// outage.record_failure(start);
    /// assert!(outage.affects_all(start + s(1)));
    /// outage.record_peer_answer(start + s(2));
    /// assert!(!outage.affects_all(start + s(3)));
    /// assert!(outage.affects_all(start + s(9)));
    /// ```
    pub fn affects_all(&self, now: Instant) -> bool {
        self.current_span(now).is_none()
    }

    /// Records that a call of this node succeeded again. Returns until when entries that lapsed in
    /// the outage may not have been added again.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use curranthook_gateway::replication::outage::Outage;
    /// let (mut outage, start, s) = (Outage::default(), Instant::now(), Duration::from_secs);
    /// outage.record_failure(start);
    /// (1..8).for_each(|it| outage.record_peer_answer(start + s(it)));
    /// assert!(outage.record_recovery(start + s(8)) < start + s(4), "the store served the others");
    ///
    /// outage.record_failure(start + s(20));
    /// assert!(start + s(30) < outage.record_recovery(start + s(28)), "the outage affected all nodes");
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

    /// The span in which the store has been answering, unless its last answer is too old at `now`.
    fn current_span(&self, now: Instant) -> Option<(Instant, Instant)> {
        self.served_span.filter(|(_, last)| now.saturating_duration_since(*last) < MAX_ANSWER_GAP)
    }
}
