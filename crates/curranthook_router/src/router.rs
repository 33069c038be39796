//! What the stages share.

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

use crate::{gate::Gates, metrics::Metrics, pin, rate::Rater, snapshot::Snapshot, stall};

/// One VM's router.
#[derive(Debug)]
pub struct Router {
    /// This VM's settings.
    pub settings: Settings,
    /// The only source of time.
    pub clock: Arc<dyn Clock>,
    /// When this process started.
    pub started: Instant,
    /// Where tasks run.
    pub ex: runtime::Handle,
    /// Connections to endpoints.
    pub pool: Arc<Pool>,
    /// The link to the other nodes.
    pub node: Arc<Node>,
    /// The platform's table, for claims.
    pub claims: Arc<dyn Table>,
    /// Pins of sessions without tokens.
    pub pins: pin::Rows,
    /// The rating service.
    pub rater: Rater,
    /// Counters.
    pub metrics: Metrics,
    /// The endpoints.
    pub gates: Gates,
    /// The choice of versions.
    pub chooser: Mutex<Box<dyn Strategy + Send>>,
    /// Retries that are left.
    pub budget: Mutex<Budget>,
    /// The share of answers that are rated because of the version's verdict; see
    /// [`crate::watch`].
    pub sampling: Mutex<HashMap<version::Id, f64>>,
    /// What accounts may still ask for.
    pub buckets: Mutex<HashMap<account::Id, Bucket>>,
    /// The newest configuration.
    pub current: ArcSwapOption<Snapshot>,
    /// Whether the process stood still.
    pub stall: stall::Watch,
    /// Requests under way.
    pub in_flight: Arc<AtomicUsize>,
    /// Outcomes of claimed calls on their way to the platform.
    pub outcomes: Arc<AtomicUsize>,
    /// Set when the process is asked to end.
    pub stopping: Stop,
}

/// Counts as one request, or one outcome, under way until it's dropped.
#[derive(Debug)]
pub struct InFlight(Arc<AtomicUsize>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Router {
    /// The newest configuration, or the refusal of a node that has none yet.
    pub fn snapshot(&self) -> Result<Arc<Snapshot>, Refusal> {
        let current = self.current.load_full();
        current.ok_or_else(|| Refusal::not_run(Reason::NotReady, "no configuration yet"))
    }

    /// Counts a request as under way.
    pub fn enter(&self) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlight(Arc::clone(&self.in_flight))
    }

    /// Counts an outcome as on its way.
    pub fn enter_outcome(&self) -> InFlight {
        self.outcomes.fetch_add(1, Ordering::SeqCst);
        InFlight(Arc::clone(&self.outcomes))
    }

    /// Checks the account's limit.
    pub fn limit(&self, snapshot: &Snapshot, account: &account::Id) -> Result<(), Refusal> {
        self.node.demand().add(account);
        let Some(settings) = snapshot.account_settings(account) else { return Ok(()) };
        let (now, nodes) = (self.clock.now(), self.node.site_nodes());
        let share = self.node.share(account);
        let mut buckets = self.buckets.lock();
        let bucket = buckets
            .entry(account.clone())
            .or_insert_with(|| Bucket::new(&settings.limit, nodes, now));
        bucket.set_limit(&settings.limit, nodes);
        bucket.set_share(share, 1.0, nodes);
        bucket.take(now).map_err(|after| {
            let message = "the account is over its limit of requests";
            Refusal::not_run(Reason::OverLimit, message).with_retry_after(after)
        })
    }

    /// Writes a bill line down where the loss of this VM doesn't lose it.
    pub async fn record(&self, line: Line) {
        let durability = self.node.journal().record(line).await;
        match durability {
            journal::Durability::Replicated(_) => self.metrics.count("bill.replicated"),
            journal::Durability::Stored => self.metrics.count("bill.stored"),
            // Nobody else can be reached. The answer isn't held back for that: the line stays
            // in memory and goes out as soon as anybody answers.
            journal::Durability::Alone => self.metrics.count("bill.alone"),
        }
    }

    /// Takes in what one answer showed.
    pub fn learn(&self, kind: &kind::Id, version: &version::Id, rating: Option<f64>, tokens: u64) {
        if let Some(rating) = rating {
            self.chooser.lock().record_rating(kind, version, rating, self.clock.now());
        }
        self.count(kind, version, Sample { rating, outcome: Outcome::Answered, tokens });
    }

    /// Takes in the rating of a cascade's second answer.
    pub fn learn_second(
        &self,
        kind: &kind::Id,
        first: &version::Id,
        then: &version::Id,
        rating: f64,
    ) {
        self.chooser.lock().record_second_rating(kind, first, then, rating, self.clock.now());
    }

    /// Whether an answer of `version` should be rated although the policy didn't ask for it:
    /// little is known of the version at this kind of work, or the last ratings speak against it.
    pub fn wants_rating(&self, kind: &kind::Id, version: &version::Id) -> bool {
        if !self.chooser.lock().is_converged(kind, version) {
            return true;
        }
        let share = self.sampling.lock().get(version).copied().unwrap_or_default();
        rand::rng().random::<f64>() < share
    }

    /// Takes in that an engine failed at a version's answer.
    pub fn note_failure(&self, kind: &kind::Id, version: &version::Id) {
        self.count(kind, version, Sample { rating: None, outcome: Outcome::Error, tokens: 0 });
    }

    fn count(&self, kind: &kind::Id, version: &version::Id, sample: Sample) {
        self.node.evidence().add(version, kind, sample);
    }
}
