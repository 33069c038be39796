//! Simple strategies, as baselines for comparison.

use std::time::{Duration, Instant};

use curranthook_settings::config::Policy;
use curranthook_types::{domain, kind, refusal, version};

use crate::{
    choice::{Candidate, Chooser, Counts, Plan, Rater, Reason, Request, Sample},
    endpoint::{self, Member, Outcome, Pool, Selection, Unavailable},
};

mod least_outstanding;
mod round_robin;

pub use crate::baseline::{least_outstanding::LeastOutstanding, round_robin::RoundRobin};

/// The names accepted by [`strategy`].
pub const STRATEGIES: [&str; 4] = ["curranthook", "cheapest", "best", "static-cascade"];
/// The names accepted by [`balancer`].
pub const BALANCERS: [&str; 3] = ["curranthook", "round-robin", "least-outstanding"];

/// A strategy for selecting versions.
pub trait Strategy: std::fmt::Debug + Send {
    /// Selects the versions for one request.
    fn plan(&mut self, request: &Request<'_>) -> Result<Plan, refusal::Reason>;

    /// Records the rating of an answer.
    fn record_rating(
        &mut self,
        _kind: &kind::Id,
        _version: &version::Id,
        _rating: f64,
        _now: Instant,
    ) {
    }

    /// Records the rating of a cascade's second answer.
    fn record_second_rating(
        &mut self,
        _kind: &kind::Id,
        _first: &version::Id,
        _second: &version::Id,
        _rating: f64,
        _now: Instant,
    ) {
    }

    /// Records how long a complete answer duration.
    fn record_duration(&mut self, _version: &version::Id, _duration: Duration, _tokens: u64) {}

    /// Merges the totals gathered by all other nodes.
    fn merge(&mut self, _kind: &kind::Id, _version: &version::Id, _ratings: Counts) {}

    /// Whether a version has enough ratings that rating only a sample of its answers suffices.
    fn is_converged(&self, _kind: &kind::Id, _version: &version::Id) -> bool {
        true
    }

    /// The ratings gathered by this node.
    fn counts(&self) -> Vec<crate::choice::Tally> {
        Vec::new()
    }

    /// Replaces the policy settings, where the strategy has any.
    fn set_policy(&mut self, _policy: Policy) {}
}

impl Strategy for Chooser {
    fn plan(&mut self, request: &Request<'_>) -> Result<Plan, refusal::Reason> {
        self.plan(request)
    }

    fn record_rating(&mut self, kind: &kind::Id, version: &version::Id, rating: f64, now: Instant) {
        self.record_rating(kind, version, rating, now);
    }

    fn record_second_rating(
        &mut self,
        kind: &kind::Id,
        first: &version::Id,
        second: &version::Id,
        rating: f64,
        now: Instant,
    ) {
        self.record_second_rating(kind, first, second, rating, now);
    }

    fn record_duration(&mut self, version: &version::Id, duration: Duration, tokens: u64) {
        self.record_duration(version, duration, tokens);
    }

    fn merge(&mut self, kind: &kind::Id, version: &version::Id, ratings: Counts) {
        self.merge(kind, version, ratings);
    }

    fn is_converged(&self, kind: &kind::Id, version: &version::Id) -> bool {
        self.is_converged(kind, version)
    }

    fn counts(&self) -> Vec<crate::choice::Tally> {
        self.counts()
    }

    fn set_policy(&mut self, policy: Policy) {
        self.set_policy(policy);
    }
}

/// Always selects the cheapest allowed version.
#[derive(Debug, Default)]
pub struct Cheapest;

/// Always selects the allowed version with the highest claimed quality.
#[derive(Debug, Default)]
pub struct Best;

/// Always selects the cheapest version, with the best one as second stage.
#[derive(Debug, Default)]
pub struct StaticCascade;

impl Strategy for Cheapest {
    fn plan(&mut self, request: &Request<'_>) -> Result<Plan, refusal::Reason> {
        Ok(single_version(cheapest(request)?))
    }
}

impl Strategy for Best {
    fn plan(&mut self, request: &Request<'_>) -> Result<Plan, refusal::Reason> {
        Ok(single_version(best(request)?))
    }
}

impl Strategy for StaticCascade {
    fn plan(&mut self, request: &Request<'_>) -> Result<Plan, refusal::Reason> {
        let (first, second) = (cheapest(request)?, best(request)?);
        if first.id == second.id || request.rater == Rater::Down {
            return Ok(single_version(second));
        }
        Ok(Plan { second: Some(second.id.clone()), reason: Reason::Fixed, ..single_version(first) })
    }
}

/// Returns the strategy with the given name, one of [`STRATEGIES`].
///
/// ```
/// # use curranthook_policy::baseline;
/// assert!(baseline::strategy("best", Default::default(), 1).is_some());
/// assert!(baseline::strategy("no-such", Default::default(), 1).is_none());
/// ```
pub fn strategy(name: &str, policy: Policy, seed: u64) -> Option<Box<dyn Strategy>> {
    match name {
        "curranthook" => Some(Box::new(Chooser::new(policy, seed))),
        "cheapest" => Some(Box::new(Cheapest)),
        "best" => Some(Box::new(Best)),
        "static-cascade" => Some(Box::new(StaticCascade)),
        _ => None,
    }
}

/// A load balancer: a strategy for selecting endpoints.
pub trait Balancer: std::fmt::Debug + Send {
    /// Replaces the list of endpoints.
    fn set_members(&mut self, members: Vec<Member>);
    /// Selects an endpoint.
    fn select(
        &mut self,
        affinity: Option<u64>,
        exclude: &[endpoint::Id],
        now: Instant,
    ) -> Result<Selection, Unavailable>;
    /// Records that a request was sent to an endpoint.
    fn started(&mut self, id: &endpoint::Id, now: Instant);
    /// Records the first byte of an answer.
    fn answer_started(&mut self, _id: &endpoint::Id, _first_byte: Duration, _now: Instant) {}
    /// Records that a request at an endpoint ended.
    fn finished(&mut self, id: &endpoint::Id, outcome: Outcome, now: Instant);
    /// Marks an endpoint as leaving.
    fn set_leaving(&mut self, id: &endpoint::Id);
    /// Clears the leaving mark of an endpoint.
    fn clear_leaving(&mut self, id: &endpoint::Id);

    /// Records the load reported by an endpoint.
    fn report_load(&mut self, _id: &endpoint::Id, _load: u64, _now: Instant) {}

    /// How long to wait for an endpoint's first byte.
    fn first_byte_timeout(&self, _id: &endpoint::Id) -> Duration {
        const FIXED_TIMEOUT: Duration = Duration::from_secs(2);
        FIXED_TIMEOUT
    }
}

impl Balancer for Pool {
    fn set_members(&mut self, members: Vec<Member>) {
        self.set_members(members);
    }

    fn select(
        &mut self,
        affinity: Option<u64>,
        exclude: &[endpoint::Id],
        now: Instant,
    ) -> Result<Selection, Unavailable> {
        self.select(affinity, exclude, now)
    }

    fn started(&mut self, id: &endpoint::Id, now: Instant) {
        self.started(id, now);
    }

    fn answer_started(&mut self, id: &endpoint::Id, first_byte: Duration, now: Instant) {
        self.answer_started(id, first_byte, now);
    }

    fn finished(&mut self, id: &endpoint::Id, outcome: Outcome, now: Instant) {
        self.finished(id, outcome, now);
    }

    fn set_leaving(&mut self, id: &endpoint::Id) {
        self.set_leaving(id);
    }

    fn clear_leaving(&mut self, id: &endpoint::Id) {
        self.clear_leaving(id);
    }

    fn report_load(&mut self, id: &endpoint::Id, load: u64, now: Instant) {
        self.report_load(id, load, now);
    }

    fn first_byte_timeout(&self, id: &endpoint::Id) -> Duration {
        self.first_byte_timeout(id)
    }
}

/// Returns the load balancer with the given name, one of [`BALANCERS`].
///
/// ```
/// # use curranthook_policy::baseline;
/// assert!(baseline::balancer("round-robin", "zone-a".into(), 1).is_some());
/// ```
pub fn balancer(name: &str, local_domain: domain::Id, seed: u64) -> Option<Box<dyn Balancer>> {
    match name {
        "curranthook" => Some(Box::new(Pool::new(local_domain, seed))),
        "round-robin" => Some(Box::new(RoundRobin::default())),
        "least-outstanding" => Some(Box::new(LeastOutstanding::default())),
        _ => None,
    }
}

fn cheapest<'a>(request: &Request<'a>) -> Result<&'a Candidate<'a>, refusal::Reason> {
    let cost = |it: &&Candidate<'_>| it.rate.cost(request.prompt_tokens, request.expected_tokens);
    request.candidates.iter().min_by_key(cost).ok_or(refusal::Reason::NotAllowed)
}

fn best<'a>(request: &Request<'a>) -> Result<&'a Candidate<'a>, refusal::Reason> {
    let quality = |it: &Candidate<'_>| it.prior.unwrap_or(0.0);
    let by_quality = |a: &&Candidate<'_>, b: &&Candidate<'_>| quality(a).total_cmp(&quality(b));
    request.candidates.iter().max_by(by_quality).ok_or(refusal::Reason::NotAllowed)
}

fn single_version(candidate: &Candidate<'_>) -> Plan {
    Plan { first: candidate.id.clone(), second: None, sample: Sample::Skip, reason: Reason::Fixed }
}
