//! State shared by the stages of a request.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Instant,
};

use arc_swap::ArcSwapOption;
use curranthook_http::{client::Pool, runtime, stop::Stop};
use curranthook_peers::{
    Node,
    evidence::{Outcome, Sample},
    journal,
};
use curranthook_platform::Table;
use curranthook_policy::{baseline::Strategy, limit::Bucket, retry::Budget};
use curranthook_settings::node::Settings;
use curranthook_types::{Clock, Refusal, account, bill::Line, kind, refusal::Reason, version};
use parking_lot::Mutex;
use rand::RngExt;

use crate::{
    dispatch::Dispatchers, metrics::Metrics, pin, rating::Rater, snapshot::Snapshot, stall,
};

/// The request router of one VM.
#[derive(Debug)]
pub struct Router {
    /// The settings of this VM.
    pub settings: Settings,
    /// The clock that all code of the router reads.
    pub clock: Arc<dyn Clock>,
    /// When this process started.
    pub started: Instant,
    /// The executor for background tasks.
    pub ex: runtime::Handle,
    /// The connection pool for endpoints.
    pub pool: Arc<Pool>,
    /// This VM's node in the cluster of routers.
    pub node: Arc<Node>,
    /// The platform's table, with the short timeout of claims.
    pub claims: Arc<dyn Table>,
    /// Pins of sessions whose callers send no token.
    pub pins: pin::Store,
    /// The client of the rating service.
    pub rater: Rater,
    /// The metrics counters.
    pub metrics: Metrics,
    /// Endpoint selection, for each version and service.
    pub dispatchers: Dispatchers,
    /// The strategy that selects versions.
    pub version_strategy: Mutex<Box<dyn Strategy + Send>>,
    /// The retries that this node may still make.
    pub retry_budget: Mutex<Budget>,
    /// By version, the share of responses to be rated because the version's health is in doubt; see
    /// [`crate::version_health`].
    pub rating_shares: Mutex<HashMap<version::Id, f64>>,
    /// The rate limit of each client account.
    pub rate_limits: Mutex<HashMap<account::Id, Bucket>>,
    /// The newest configuration, if there is one for this site.
    pub current_snapshot: ArcSwapOption<Snapshot>,
    /// Detects that the process was paused.
    pub stall: stall::Detector,
    /// The number of requests in progress.
    pub in_flight: Arc<AtomicUsize>,
    /// The number of outcomes of claimed calls that are not stored yet.
    pub pending_outcomes: Arc<AtomicUsize>,
    /// Set when the process is asked to stop.
    pub stopping: Stop,
}

/// Counts as one request in progress, or one unstored outcome, until dropped.
#[derive(Debug)]
pub struct InFlight(Arc<AtomicUsize>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Router {
    /// The newest configuration; refuses the request if this node has none yet.
    pub fn snapshot(&self) -> Result<Arc<Snapshot>, Refusal> {
        let current_snapshot = self.current_snapshot.load_full();
        current_snapshot.ok_or_else(|| Refusal::not_run(Reason::NotReady, "no configuration yet"))
    }

    /// Counts a request as in progress until the guard is dropped.
    pub fn track_request(&self) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlight(Arc::clone(&self.in_flight))
    }

    /// Counts an outcome as not yet stored until the guard is dropped.
    pub fn track_outcome(&self) -> InFlight {
        self.pending_outcomes.fetch_add(1, Ordering::SeqCst);
        InFlight(Arc::clone(&self.pending_outcomes))
    }

    /// Checks the rate limit of the account.
    pub fn check_rate_limit(
        &self,
        snapshot: &Snapshot,
        account: &account::Id,
    ) -> Result<(), Refusal> {
        self.node.demand().record_request(account);
        let Some(settings) = snapshot.account_settings(account) else { return Ok(()) };
        let (now, nodes) = (self.clock.now(), self.node.site_nodes());
        let share = self.node.share(account);
        let mut rate_limits = self.rate_limits.lock();
        let bucket = rate_limits
            .entry(account.clone())
            .or_insert_with(|| Bucket::new(&settings.limit, nodes, now));
        bucket.set_limit(&settings.limit, nodes);
        bucket.set_share(share, 1.0, nodes);
        bucket.take(now).map_err(|after| {
            let message = "the account is over its limit of requests";
            Refusal::not_run(Reason::OverLimit, message).with_retry_after(after)
        })
    }

    /// Records a bill line so that it survives the loss of this VM.
    pub async fn record_bill(&self, bill_line: Line) {
        let durability = self.node.journal().record(bill_line).await;
        match durability {
            journal::Durability::Replicated(_) => self.metrics.count("bill.replicated"),
            journal::Durability::Stored => self.metrics.count("bill.stored"),
            // No other node can be reached. The response is not delayed for that: the line stays in
            // memory and is sent as soon as another node answers.
            journal::Durability::LocalOnly => self.metrics.count("bill.alone"),
        }
    }

    /// Records the rating, if any, and the size of one response.
    pub fn record_rating(
        &self,
        kind: &kind::Id,
        version: &version::Id,
        rating: Option<f64>,
        tokens: u64,
    ) {
        if let Some(rating) = rating {
            self.version_strategy.lock().record_rating(kind, version, rating, self.clock.now());
        }
        self.add_sample(kind, version, Sample { rating, outcome: Outcome::Answered, tokens });
    }

    /// Records the rating of the second response of a cascade.
    pub fn record_second_rating(
        &self,
        kind: &kind::Id,
        first: &version::Id,
        second: &version::Id,
        rating: f64,
    ) {
        self.version_strategy.lock().record_second_rating(
            kind,
            first,
            second,
            rating,
            self.clock.now(),
        );
    }

    /// Whether a response of `version` should be rated although the policy did not request it:
    /// there is little evidence on the version for this kind of work, or its recent ratings are
    /// poor.
    pub fn should_rate(&self, kind: &kind::Id, version: &version::Id) -> bool {
        if !self.version_strategy.lock().is_converged(kind, version) {
            return true;
        }
        let share = self.rating_shares.lock().get(version).copied().unwrap_or_default();
        rand::rng().random::<f64>() < share
    }

    /// Records that an engine failed to produce a response of `version`.
    pub fn record_failure(&self, kind: &kind::Id, version: &version::Id) {
        self.add_sample(kind, version, Sample { rating: None, outcome: Outcome::Error, tokens: 0 });
    }

    fn add_sample(&self, kind: &kind::Id, version: &version::Id, sample: Sample) {
        self.node.evidence().record(version, kind, sample);
    }
}
