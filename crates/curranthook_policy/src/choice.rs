//! Which version answers a request, and whether a dearer one stands behind it.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use curranthook_settings::config::{Policy, Weigh};
use curranthook_types::{kind, refusal, version};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::choice::{
    cascade::Sure,
    estimate::Estimate,
    mix::{Drawn, Point},
    option::Scored,
    second::Record,
    served::Served,
    speed::Speed,
};

mod cascade;
mod estimate;
mod mix;
mod option;
mod plan;
mod request;
mod second;
mod served;
mod speed;

pub use crate::choice::{
    estimate::{Counts, Tally},
    plan::{Plan, Reason, Sample},
    request::{Candidate, Delivery, Rater, Request, Scope},
};

/// The rating from which an answer counts as good enough. The first answer of a cascade is
/// given out from here on and escalated below.
pub const MIN_GOOD_RATING: f64 = 0.5;

/// Chooses versions and learns from ratings.
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
    seconds: Record,
    served: HashMap<kind::Id, Served>,
    speeds: HashMap<version::Id, Speed>,
    /// The latest time seen; evidence ages against it.
    now: Option<Instant>,
    /// Explorations that may still be made. It grows by the allowed share with each plan, so
    /// the share holds over any run and not only on average.
    credit: f64,
    scored: Vec<Scored>,
    points: Vec<Point>,
}

impl Chooser {
    /// A chooser that knows nothing yet but what the settings claim.
    pub fn new(policy: Policy, seed: u64) -> Self {
        Self {
            policy,
            rng: Pcg64Mcg::seed_from_u64(seed),
            estimates: HashMap::new(),
            seconds: Record::default(),
            served: HashMap::new(),
            speeds: HashMap::new(),
            now: None,
            credit: 0.0,
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

    /// Chooses the versions for one request.
    pub fn plan(&mut self, request: &Request<'_>) -> Result<Plan, refusal::Reason> {
        if request.candidates.is_empty() {
            return Err(refusal::Reason::NotAllowed);
        }
        if request.time_left.is_zero() {
            return Err(refusal::Reason::Deadline);
        }
        self.score(request);
        self.credit = (self.credit + self.policy.exploration).min(1.0);

        let Drawn { plain, safe, wanted } = match self.mixed(request) {
            Some(drawn) => drawn,
            None => {
                let plain = self.exploit(request);
                Drawn { plain, safe: plain, wanted: self.wanted(request) }
            }
        };
        let draft = self.explore(request, &safe).unwrap_or(plain);
        self.note(request, &draft, wanted);
        Ok(self.finish(request, &draft))
    }

    /// Takes in the rating of an answer, from 0 to 1.
    ///
    /// Ratings of a cascade's second answers go to [`Self::record_second_rating`]: they are of the
    /// requests that the first version failed at, harder than the rest, and would make the
    /// second look worse.
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

    /// Takes in the rating of a cascade's second answer. A cheaper second stage is used once
    /// such ratings show that the two versions together meet the target.
    pub fn record_second_rating(
        &mut self,
        kind: &kind::Id,
        first: &version::Id,
        second: &version::Id,
        rating: f64,
        now: Instant,
    ) {
        self.now = self.now.max(Some(now));
        self.seconds.add(kind, first, second, rating, now);
    }

    /// Takes in how long a whole answer took.
    pub fn record_duration(&mut self, version: &version::Id, took: Duration, tokens: u64) {
        match self.speeds.get_mut(version) {
            Some(it) => it.add(took, tokens),
            None => _ = self.speeds.insert(version.clone(), Speed::first(took, tokens)),
        }
    }

    /// The ratings that this node gathered itself, to be sent to other nodes.
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

    /// Takes in what all other nodes together have gathered since they started. A repeat or an
    /// older sum changes nothing.
    pub fn merge(&mut self, kind: &kind::Id, version: &version::Id, ratings: Counts) {
        let now = self.now;
        self.estimate_mut(kind, version).merge(ratings, now);
    }

    /// The expected quality of a version, if anything was learned about it.
    pub fn quality(&self, kind: &kind::Id, version: &version::Id) -> Option<f64> {
        let it = self.estimates.get(kind)?.get(version)?;
        Some(it.belief(None, self.now).mean())
    }

    /// Whether enough is known of a version that only samples of its answers need be rated.
    pub fn is_converged(&self, kind: &kind::Id, version: &version::Id) -> bool {
        let known = self.estimates.get(kind).and_then(|it| it.get(version));
        known.is_some_and(|it| it.belief(None, self.now).is_converged())
    }

    fn estimate_mut(&mut self, kind: &kind::Id, version: &version::Id) -> &mut Estimate {
        if !self.estimates.contains_key(kind) {
            self.estimates.insert(kind.clone(), HashMap::new());
        }
        let versions = self.estimates.get_mut(kind).expect("inserted above");
        versions.entry(version.clone()).or_default()
    }

    /// Fills `scored` with the allowed versions, cheapest first. Versions too slow for the
    /// time left are dropped, unless all of them are.
    fn score(&mut self, request: &Request<'_>) {
        let known = self.estimates.get(request.kind);
        self.scored.clear();
        for (place, candidate) in request.candidates.iter().enumerate() {
            let estimate = known.and_then(|it| it.get(candidate.id)).unwrap_or(&Estimate::EMPTY);
            let speed = self.speeds.get(candidate.id).unwrap_or(&Speed::UNKNOWN);
            self.scored.push(Scored {
                place,
                cost: candidate.rate.cost(request.prompt_tokens, request.expected_tokens).0 as f64,
                belief: estimate.belief(candidate.prior, self.now),
                time: speed.expected(request.expected_tokens),
            });
        }
        if self.scored.iter().any(|it| it.time <= request.time_left) {
            self.scored.retain(|it| it.time <= request.time_left);
        }
        self.scored.sort_by(|a, b| a.cost.total_cmp(&b.cost));
    }

    fn exploit(&self, request: &Request<'_>) -> Draft {
        let z = self.confidence();
        let found =
            self.scored.iter().find(|it| request.target_quality <= it.belief.lower(z)).copied();
        let sure = if found.is_some() { Sure::Yes } else { Sure::No };
        let direct = found.unwrap_or_else(|| self.best());
        if request.candidates.len() == 1 {
            return Draft { first: direct, second: None, reason: Reason::Only, sure };
        }
        if let Some((first, second)) = self.cascade(request, &direct, sure) {
            return Draft { first, second: Some(second), reason: Reason::Cascade, sure };
        }
        let reason = if sure == Sure::Yes { Reason::Confident } else { Reason::BestEffort };
        Draft { first: direct, second: None, reason, sure }
    }

    /// Tries something that might do as well for less.
    fn explore(&mut self, request: &Request<'_>, plain: &Draft) -> Option<Draft> {
        if request.rater == Rater::Down || self.credit < 1.0 {
            return None;
        }
        let draft = match plain.second {
            Some(second) if self.rng.random::<bool>() => {
                self.explore_second(request, plain, &second)
            }
            _ => self.explore_first(request, plain),
        };
        if draft.is_some() {
            self.credit = 0.0;
        }
        draft
    }

    /// A cheaper second stage. Its answer can't be taken back, so this isn't done where
    /// exposure is weighed most.
    fn explore_second(
        &self,
        request: &Request<'_>,
        plain: &Draft,
        second: &Scored,
    ) -> Option<Draft> {
        if self.policy.weigh == Weigh::Exposure {
            return None;
        }
        let between = |it: &&Scored| plain.first.cost < it.cost && it.cost < second.cost;
        let spread = |it: &Scored| {
            let seen = self.seen(request, &plain.first, it).unwrap_or(&Estimate::EMPTY);
            seen.belief(None, self.now).spread()
        };
        let others = self.scored.iter().filter(between);
        let tried = *others.max_by(|a, b| spread(a).total_cmp(&spread(b)))?;
        let fits = self.fits(request, &plain.first, &tried);
        fits.then_some(Draft { second: Some(tried), reason: Reason::Explore, ..*plain })
    }

    /// The least known of the versions that cost no more, tried with the plan's version behind
    /// it wherever time allows.
    fn explore_first(&self, request: &Request<'_>, plain: &Draft) -> Option<Draft> {
        let safe = plain.second.unwrap_or(plain.first);
        let is_worth_it = |it: &&Scored| {
            it.place != plain.first.place && (it.cost <= safe.cost || plain.sure == Sure::No)
        };
        let by_spread = |a: &&Scored, b: &&Scored| a.belief.spread().total_cmp(&b.belief.spread());
        let tried = *self.scored.iter().filter(is_worth_it).max_by(by_spread)?;
        // The second stage of a cascade sees only what the first fails at. Now and then it gets
        // a request of its own, or nothing unbiased would be known of it.
        let is_safe = tried.place == safe.place;
        let second = (!is_safe && self.fits(request, &tried, &safe)).then_some(safe);
        // An answer that can't be taken back exposes the caller, so where exposure is weighed
        // most nothing is tried without a second stage.
        if !is_safe && second.is_none() && self.policy.weigh == Weigh::Exposure {
            return None;
        }
        Some(Draft { first: tried, second, reason: Reason::Explore, ..*plain })
    }

    fn finish(&mut self, request: &Request<'_>, draft: &Draft) -> Plan {
        let id = |it: &Scored| request.candidates[it.place].id.clone();
        let is_thin = !draft.first.belief.is_converged() || self.is_second_thin(request, draft);
        let rate = if is_thin || draft.reason == Reason::Explore {
            1.0
        } else {
            self.policy.rating_sample
        };
        let is_rated = request.rater == Rater::Up && self.rng.random::<f64>() < rate;
        Plan {
            first: id(&draft.first),
            second: draft.second.as_ref().map(id),
            sample: if is_rated { Sample::Rate } else { Sample::Skip },
            reason: draft.reason,
        }
    }

    fn is_second_thin(&self, request: &Request<'_>, draft: &Draft) -> bool {
        let Some(second) = &draft.second else { return false };
        let seen = self.seen(request, &draft.first, second);
        seen.is_none_or(|it| it.belief(None, self.now).is_thin())
    }

    /// The version that may be best. Of two that look alike, the less known one is asked, which
    /// settles the matter.
    fn best(&self) -> Scored {
        let z = self.confidence();
        let by_upper = |a: &&Scored, b: &&Scored| a.belief.upper(z).total_cmp(&b.belief.upper(z));
        // `max_by` gives the last of equals and the list rises in cost, so go from the back.
        *self.scored.iter().rev().max_by(by_upper).expect("a request has at least one candidate")
    }

    /// How many standard deviations of doubt a version must clear to be called sure.
    fn confidence(&self) -> f64 {
        match self.policy.weigh {
            Weigh::Latency => 1.64,
            Weigh::Exposure => 2.33,
        }
    }
}

/// A plan before its ids are copied.
#[derive(Debug, Clone, Copy)]
struct Draft {
    first: Scored,
    second: Option<Scored>,
    reason: Reason,
    sure: Sure,
}
