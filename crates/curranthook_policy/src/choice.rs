//! Version selection: which version answers a request, and whether a more expensive one backs it up
//! in a cascade.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use curranthook_settings::config::{Objective, Policy};
use curranthook_types::{kind, refusal, version};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::choice::{
    cascade::Certainty,
    estimate::Estimate,
    history::History,
    mix::{Draw, Point},
    scored::Scored,
    second_stage::Estimates,
    speed::Speed,
};

mod cascade;
mod estimate;
mod history;
mod mix;
mod plan;
mod request;
mod scored;
mod second_stage;
mod speed;

pub use crate::choice::{
    estimate::{Counts, Tally},
    plan::{Plan, Reason, Sample},
    request::{Candidate, Delivery, Rater, Request, Scope},
};

/// The lowest rating of an answer that counts as good. In a cascade, a first answer rated at least
/// this high is returned to the caller; a lower one is escalated to the second version.
pub const MIN_GOOD_RATING: f64 = 0.5;

/// Selects versions and learns their quality from ratings.
///
/// ```
/// # use std::time::Duration;
/// # use curranthook_policy::choice::{Request, Candidate, Chooser, Delivery, Rater, Reason, Scope};
/// # use curranthook_types::{kind, price, version};
/// let mut chooser = Chooser::new(Default::default(), 1);
/// let (kind, id) = (kind::Id::new("summary"), version::Id::new("tally-llm@1"));
/// let candidates = [Candidate { id: &id, rate: &price::Rate::default(), prior: Some(0.9) }];
/// let request = Request {
///     kind: &kind,
///     target_quality: 0.8,
///     candidates: &candidates,
///     time_left: Duration::from_secs(10),
///     prompt_tokens: 100,
///     expected_tokens: 100,
///     delivery: Delivery::Whole,
///     rater: Rater::Up,
///     scope: Scope::Request,
/// };
/// let plan = chooser.plan(&request).unwrap();
/// assert_eq!((plan.first, plan.reason), (id.clone(), Reason::Only));
/// ```
#[derive(Debug)]
pub struct Chooser {
    policy: Policy,
    rng: Pcg64Mcg,
    estimates: HashMap<kind::Id, HashMap<version::Id, Estimate>>,
    second_stages: Estimates,
    history: HashMap<kind::Id, History>,
    speeds: HashMap<version::Id, Speed>,
    /// The latest time seen, against which the age of evidence is measured.
    now: Option<Instant>,
    /// The number of explorations allowed now. Each plan adds the configured exploration share, so
    /// the share holds over any sequence of requests, not only on average.
    exploration_budget: f64,
    scored: Vec<Scored>,
    points: Vec<Point>,
}

impl Chooser {
    /// Creates a chooser that knows only the quality claimed in the settings.
    pub fn new(policy: Policy, seed: u64) -> Self {
        Self {
            policy,
            rng: Pcg64Mcg::seed_from_u64(seed),
            estimates: HashMap::new(),
            second_stages: Estimates::default(),
            history: HashMap::new(),
            speeds: HashMap::new(),
            now: None,
            exploration_budget: 0.0,
            scored: Vec::new(),
            points: Vec::new(),
        }
    }

    /// Replaces the settings and keeps what was learned.
    pub fn with_policy(self, policy: Policy) -> Self {
        Self { policy, ..self }
    }

    /// Replaces the settings in place and keeps what was learned.
    pub fn set_policy(&mut self, policy: Policy) {
        self.policy = policy;
    }

    /// Selects the versions for one request.
    pub fn plan(&mut self, request: &Request<'_>) -> Result<Plan, refusal::Reason> {
        if request.candidates.is_empty() {
            return Err(refusal::Reason::NotAllowed);
        }
        if request.time_left.is_zero() {
            return Err(refusal::Reason::Deadline);
        }
        self.score_candidates(request);
        self.exploration_budget = (self.exploration_budget + self.policy.exploration).min(1.0);

        let Draw { planned, fallback, required } = match self.draw_from_mix(request) {
            Some(drawn) => drawn,
            None => {
                let planned = self.exploit(request);
                Draw { planned, fallback: planned, required: self.required_quality(request) }
            }
        };
        let draft = self.explore(request, &fallback).unwrap_or(planned);
        self.record_decision(request, &draft, required);
        Ok(self.build_plan(request, &draft))
    }

    /// Records the rating of an answer, from 0 to 1.
    ///
    /// Ratings of a cascade's second answers go to [`Self::record_second_rating`]: the second
    /// version only sees requests that the first one failed, which are harder than average, so
    /// these ratings would make it look worse than it is.
    pub fn record_rating(
        &mut self,
        kind: &kind::Id,
        version: &version::Id,
        rating: f64,
        now: Instant,
    ) {
        self.now = self.now.max(Some(now));
        self.estimate_mut(kind, version).add(rating, now);
    }

    /// Records the rating of a cascade's second answer. A cheaper second version is used once such
    /// ratings show that both versions together meet the target.
    pub fn record_second_rating(
        &mut self,
        kind: &kind::Id,
        first: &version::Id,
        second: &version::Id,
        rating: f64,
        now: Instant,
    ) {
        self.now = self.now.max(Some(now));
        self.second_stages.add(kind, first, second, rating, now);
    }

    /// Records how long a complete answer took.
    pub fn record_duration(&mut self, version: &version::Id, duration: Duration, tokens: u64) {
        match self.speeds.get_mut(version) {
            Some(it) => it.add(duration, tokens),
            None => _ = self.speeds.insert(version.clone(), Speed::new(duration, tokens)),
        }
    }

    /// The ratings gathered by this node, for sending to other nodes.
    pub fn counts(&self) -> Vec<Tally> {
        let mut tallies = Vec::new();
        for (kind, versions) in &self.estimates {
            let own = versions.iter().filter(|(_, it)| 0 < it.own().n);
            tallies.extend(own.map(|(version, it)| Tally {
                kind: kind.clone(),
                version: version.clone(),
                counts: it.own(),
            }));
        }
        tallies
    }

    /// Merges the totals gathered by all other nodes since they started. Repeated or older totals
    /// have no effect.
    pub fn merge(&mut self, kind: &kind::Id, version: &version::Id, ratings: Counts) {
        let now = self.now;
        self.estimate_mut(kind, version).merge(ratings, now);
    }

    /// The expected quality of a version, if anything was learned about it.
    pub fn quality(&self, kind: &kind::Id, version: &version::Id) -> Option<f64> {
        let it = self.estimates.get(kind)?.get(version)?;
        Some(it.posterior(None, self.now).mean())
    }

    /// Whether a version has enough ratings that rating only a sample of its answers suffices.
    pub fn is_converged(&self, kind: &kind::Id, version: &version::Id) -> bool {
        let known = self.estimates.get(kind).and_then(|it| it.get(version));
        known.is_some_and(|it| it.posterior(None, self.now).is_converged())
    }

    fn estimate_mut(&mut self, kind: &kind::Id, version: &version::Id) -> &mut Estimate {
        if !self.estimates.contains_key(kind) {
            self.estimates.insert(kind.clone(), HashMap::new());
        }
        let versions = self.estimates.get_mut(kind).expect("inserted above");
        versions.entry(version.clone()).or_default()
    }

    /// Fills `scored` with the candidates, cheapest first. Drops versions too slow for the time
    /// left, unless all of them are.
    fn score_candidates(&mut self, request: &Request<'_>) {
        let estimates = self.estimates.get(request.kind);
        self.scored.clear();
        for (index, candidate) in request.candidates.iter().enumerate() {
            let estimate =
                estimates.and_then(|it| it.get(candidate.id)).unwrap_or(&Estimate::EMPTY);
            let speed = self.speeds.get(candidate.id).unwrap_or(&Speed::DEFAULT);
            self.scored.push(Scored {
                index,
                cost: candidate.rate.cost(request.prompt_tokens, request.expected_tokens).0 as f64,
                posterior: estimate.posterior(candidate.prior, self.now),
                duration: speed.expected_duration(request.expected_tokens),
            });
        }
        if self.scored.iter().any(|it| it.duration <= request.time_left) {
            self.scored.retain(|it| it.duration <= request.time_left);
        }
        self.scored.sort_by(|a, b| a.cost.total_cmp(&b.cost));
    }

    fn exploit(&self, request: &Request<'_>) -> Draft {
        let z = self.confidence_z();
        let cheapest_confident = self
            .scored
            .iter()
            .find(|it| request.target_quality <= it.posterior.lower_bound(z))
            .copied();
        let certainty =
            if cheapest_confident.is_some() { Certainty::Confident } else { Certainty::Uncertain };
        let direct = cheapest_confident.unwrap_or_else(|| self.most_promising());
        if request.candidates.len() == 1 {
            return Draft { first: direct, second: None, reason: Reason::Only, certainty };
        }
        if let Some((first, second)) = self.cascade(request, &direct, certainty) {
            return Draft { first, second: Some(second), reason: Reason::Cascade, certainty };
        }
        let reason =
            if certainty == Certainty::Confident { Reason::Confident } else { Reason::BestEffort };
        Draft { first: direct, second: None, reason, certainty }
    }

    /// Explores a version with an uncertain estimate that may reach the same quality at a lower cost.
    fn explore(&mut self, request: &Request<'_>, planned: &Draft) -> Option<Draft> {
        if request.rater == Rater::Down || self.exploration_budget < 1.0 {
            return None;
        }
        let draft = match planned.second {
            Some(second) if self.rng.random::<bool>() => {
                self.explore_second(request, planned, &second)
            }
            _ => self.explore_first(request, planned),
        };
        if draft.is_some() {
            self.exploration_budget = 0.0;
        }
        draft
    }

    /// Explores a cheaper second version. Its answer cannot be withdrawn once returned, so this is
    /// skipped where the policy weighs exposure most.
    fn explore_second(
        &self,
        request: &Request<'_>,
        planned: &Draft,
        second: &Scored,
    ) -> Option<Draft> {
        if self.policy.weigh == Objective::Exposure {
            return None;
        }
        let between = |it: &&Scored| planned.first.cost < it.cost && it.cost < second.cost;
        let uncertainty = |it: &Scored| {
            let estimate =
                self.second_stage_estimate(request, &planned.first, it).unwrap_or(&Estimate::EMPTY);
            estimate.posterior(None, self.now).uncertainty()
        };
        let others = self.scored.iter().filter(between);
        let explored = *others.max_by(|a, b| uncertainty(a).total_cmp(&uncertainty(b)))?;
        let is_feasible = self.is_feasible(request, &planned.first, &explored);
        is_feasible.then_some(Draft { second: Some(explored), reason: Reason::Explore, ..*planned })
    }

    /// Explores the version with the most uncertain estimate among those that cost no more than the
    /// planned one, or among all if none meets the target with confidence. Wherever time allows,
    /// the planned version is the second stage behind it.
    fn explore_first(&self, request: &Request<'_>, planned: &Draft) -> Option<Draft> {
        let fallback = planned.second.unwrap_or(planned.first);
        let is_eligible = |it: &&Scored| {
            it.index != planned.first.index
                && (it.cost <= fallback.cost || planned.certainty == Certainty::Uncertain)
        };
        let by_uncertainty = |a: &&Scored, b: &&Scored| {
            a.posterior.uncertainty().total_cmp(&b.posterior.uncertainty())
        };
        let explored = *self.scored.iter().filter(is_eligible).max_by(by_uncertainty)?;
        // As the second stage of a cascade, a version only sees requests that the first one fails,
        // which gives a biased estimate of its quality. So it is occasionally explored as the first
        // version, on requests of its own.
        let is_fallback = explored.index == fallback.index;
        let second =
            (!is_fallback && self.is_feasible(request, &explored, &fallback)).then_some(fallback);
        // An answer that cannot be withdrawn exposes the caller to bad quality, so where the policy
        // weighs exposure most, nothing is explored without a second stage.
        if !is_fallback && second.is_none() && self.policy.weigh == Objective::Exposure {
            return None;
        }
        Some(Draft { first: explored, second, reason: Reason::Explore, ..*planned })
    }

    fn build_plan(&mut self, request: &Request<'_>, draft: &Draft) -> Plan {
        let id = |it: &Scored| request.candidates[it.index].id.clone();
        let needs_ratings =
            !draft.first.posterior.is_converged() || self.is_second_sparse(request, draft);
        let sampling_rate = if needs_ratings || draft.reason == Reason::Explore {
            1.0
        } else {
            self.policy.rating_sample
        };
        let is_rated = request.rater == Rater::Up && self.rng.random::<f64>() < sampling_rate;
        Plan {
            first: id(&draft.first),
            second: draft.second.as_ref().map(id),
            sample: if is_rated { Sample::Rate } else { Sample::Skip },
            reason: draft.reason,
        }
    }

    fn is_second_sparse(&self, request: &Request<'_>, draft: &Draft) -> bool {
        let Some(second) = &draft.second else { return false };
        let estimate = self.second_stage_estimate(request, &draft.first, second);
        estimate.is_none_or(|it| it.posterior(None, self.now).is_sparse())
    }

    /// The version with the highest upper confidence bound. Of two versions with similar means,
    /// this is the one with the more uncertain estimate, and its new ratings then show which
    /// version is better.
    fn most_promising(&self) -> Scored {
        let z = self.confidence_z();
        let by_upper_bound = |a: &&Scored, b: &&Scored| {
            a.posterior.upper_bound(z).total_cmp(&b.posterior.upper_bound(z))
        };
        // `max_by` returns the last of equal elements and the list is sorted by ascending cost, so
        // iterate in reverse to get the cheapest.
        *self
            .scored
            .iter()
            .rev()
            .max_by(by_upper_bound)
            .expect("a request has at least one candidate")
    }

    /// The z-score of the confidence bounds: how many standard deviations above the target a
    /// version must lie to count as meeting it. The values give one-sided confidence of 95% and
    /// 99%.
    fn confidence_z(&self) -> f64 {
        match self.policy.weigh {
            Objective::Latency => 1.64,
            Objective::Exposure => 2.33,
        }
    }
}

/// A plan before the version ids are cloned.
#[derive(Debug, Clone, Copy)]
struct Draft {
    first: Scored,
    second: Option<Scored>,
    reason: Reason,
    certainty: Certainty,
}
