//! Which version answers a request, and whether a dearer one stands behind it.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use curranthook_settings::config::{Policy, Weigh};
use curranthook_types::{kind, refusal, version};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::choice::{estimate::Estimate, option::Scored, speed::Speed};

mod ask;
mod estimate;
mod option;
mod plan;
mod speed;

pub use crate::choice::{
    ask::{Ask, Candidate, Delivery, Rater},
    estimate::{Counts, Tally},
    plan::{Plan, Reason, Sample},
};

/// The rating from which an answer counts as good enough. The first answer of a cascade is
/// given out from here on and escalated below.
pub const GOOD_ENOUGH: f64 = 0.5;

/// The longest time that a stream's first byte may be held back for a cascade where latency is
/// weighed most.
const SMALL_DELAY: Duration = Duration::from_millis(250);
/// What is allowed for the rater's answer between the two stages of a cascade.
const RATING_TIME: Duration = Duration::from_millis(50);
/// Where exposure is weighed most, this part of the configured exploration is used.
const CAUTIOUS_EXPLORATION: f64 = 0.25;

/// Chooses versions and learns from ratings.
///
/// ```
/// # use std::time::Duration;
/// # use curranthook_policy::choice::{Ask, Candidate, Chooser, Delivery, Rater, Reason};
/// # use curranthook_types::{kind, price, version};
/// let mut chooser = Chooser::new(Default::default(), 1);
/// let (kind, id) = (kind::Id::new("summary"), version::Id::new("tally-llm@1"));
/// let allowed = [Candidate { id: &id, rate: &price::Rate::default(), prior: Some(0.9) }];
/// let ask = Ask {
///     kind: &kind,
///     target: 0.8,
///     allowed: &allowed,
///     time_left: Duration::from_secs(10),
///     prompt_tokens: 100,
///     expected_tokens: 100,
///     delivery: Delivery::Whole,
///     rater: Rater::Up,
/// };
/// let plan = chooser.plan(&ask).unwrap();
/// assert_eq!((plan.first, plan.reason), (id.clone(), Reason::Only));
/// ```
#[derive(Debug)]
pub struct Chooser {
    policy: Policy,
    rng: Pcg64Mcg,
    estimates: HashMap<kind::Id, HashMap<version::Id, Estimate>>,
    speeds: HashMap<version::Id, Speed>,
    /// The latest time seen; evidence ages against it.
    now: Option<Instant>,
    /// Explorations that may still be made. It grows by the allowed share with each plan, so
    /// the share holds over any run and not only on average.
    credit: f64,
    scored: Vec<Scored>,
}

impl Chooser {
    /// A chooser that knows nothing yet but what the settings claim.
    pub fn new(policy: Policy, seed: u64) -> Self {
        Self {
            policy,
            rng: Pcg64Mcg::seed_from_u64(seed),
            estimates: HashMap::new(),
            speeds: HashMap::new(),
            now: None,
            credit: 0.0,
            scored: Vec::new(),
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
    pub fn plan(&mut self, ask: &Ask<'_>) -> Result<Plan, refusal::Reason> {
        if ask.allowed.is_empty() {
            return Err(refusal::Reason::NotAllowed);
        }
        if ask.time_left.is_zero() {
            return Err(refusal::Reason::Deadline);
        }
        self.score(ask);
        self.credit = (self.credit + self.exploration()).min(1.0);

        let plain = self.exploit(ask);
        let draft = self.explore(ask, &plain).unwrap_or(plain);
        Ok(self.finish(ask, &draft))
    }

    /// Takes in the rating of an answer, from 0 to 1.
    ///
    /// Ratings of a cascade's second answers must stay out: they are of the requests that the
    /// first version failed at, harder than the rest, and would make the second look worse.
    pub fn learn(&mut self, kind: &kind::Id, version: &version::Id, rating: f64, now: Instant) {
        self.now = self.now.max(Some(now));
        self.estimate_mut(kind, version).add(rating, now);
    }

    /// Takes in how long a whole answer took.
    pub fn observe(&mut self, version: &version::Id, took: Duration, tokens: u64) {
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

    fn estimate_mut(&mut self, kind: &kind::Id, version: &version::Id) -> &mut Estimate {
        if !self.estimates.contains_key(kind) {
            self.estimates.insert(kind.clone(), HashMap::new());
        }
        let versions = self.estimates.get_mut(kind).expect("inserted above");
        versions.entry(version.clone()).or_default()
    }

    /// Fills `scored` with the allowed versions, cheapest first. Versions too slow for the
    /// time left are dropped, unless all of them are.
    fn score(&mut self, ask: &Ask<'_>) {
        let known = self.estimates.get(ask.kind);
        self.scored.clear();
        for (place, candidate) in ask.allowed.iter().enumerate() {
            let estimate = known.and_then(|it| it.get(candidate.id)).unwrap_or(&Estimate::EMPTY);
            let speed = self.speeds.get(candidate.id).unwrap_or(&Speed::UNKNOWN);
            self.scored.push(Scored {
                place,
                cost: candidate.rate.cost(ask.prompt_tokens, ask.expected_tokens).0 as f64,
                belief: estimate.belief(candidate.prior, self.now),
                time: speed.expected(ask.expected_tokens),
            });
        }
        if self.scored.iter().any(|it| it.time <= ask.time_left) {
            self.scored.retain(|it| it.time <= ask.time_left);
        }
        self.scored.sort_by(|a, b| a.cost.total_cmp(&b.cost));
    }

    fn exploit(&self, ask: &Ask<'_>) -> Draft {
        let best = self.best();
        if ask.allowed.len() == 1 {
            return Draft { first: best, then: None, reason: Reason::Only };
        }
        let z = self.confidence();
        let sure = self.scored.iter().find(|it| ask.target <= it.belief.lower(z)).copied();
        // Without a sure version, a cascade competes with the best one.
        let direct = sure.unwrap_or(best);
        if let Some((first, then)) = self.cascade(ask, &direct) {
            return Draft { first, then: Some(then), reason: Reason::Cascade };
        }
        let reason = if sure.is_some() { Reason::Sure } else { Reason::BestEffort };
        Draft { first: direct, then: None, reason }
    }

    /// The cheapest cascade that costs less than `direct` and has it as second stage. No dearer
    /// version is asked to make up for two doubtful ones: what one fails at, the other is
    /// likely to fail at too, so their qualities can't be combined as if they were independent.
    fn cascade(&self, ask: &Ask<'_>, direct: &Scored) -> Option<(Scored, Scored)> {
        if ask.rater == Rater::Down {
            return None;
        }
        let cheaper = self.scored.iter().filter(|it| it.cost < direct.cost);
        let pairs = cheaper.map(|it| (*it, *direct));
        let worthwhile = pairs.filter(|(first, then)| {
            first.cost_with(then) < direct.cost && self.fits(ask, first, then)
        });
        worthwhile.min_by(|a, b| a.0.cost_with(&a.1).total_cmp(&b.0.cost_with(&b.1)))
    }

    /// Whether there is time for both stages, and for holding the first one back.
    fn fits(&self, ask: &Ask<'_>, first: &Scored, then: &Scored) -> bool {
        let held = first.time + RATING_TIME;
        if ask.time_left < held + then.time {
            return false;
        }
        let is_hurried = ask.delivery == Delivery::Stream && self.policy.weigh == Weigh::Latency;
        !is_hurried || held <= SMALL_DELAY
    }

    /// The least known of the versions that cost no more, tried with the plan's version behind
    /// it wherever time allows.
    fn explore(&mut self, ask: &Ask<'_>, plain: &Draft) -> Option<Draft> {
        if ask.rater == Rater::Down || self.credit < 1.0 {
            return None;
        }
        let safe = plain.then.unwrap_or(plain.first);
        let is_worth_it = |it: &&Scored| {
            it.place != plain.first.place
                && (it.cost <= safe.cost || plain.reason == Reason::BestEffort)
        };
        let by_spread = |a: &&Scored, b: &&Scored| a.belief.spread().total_cmp(&b.belief.spread());
        let tried = *self.scored.iter().filter(is_worth_it).max_by(by_spread)?;
        // The second stage of a cascade sees only what the first fails at. Now and then it gets
        // a request of its own, or nothing unbiased would be known of it.
        let is_safe = tried.place == safe.place;
        let then = (!is_safe && self.fits(ask, &tried, &safe)).then_some(safe);
        // An answer that can't be taken back exposes the caller, so where exposure is weighed
        // most nothing is tried without a second stage.
        if !is_safe && then.is_none() && self.policy.weigh == Weigh::Exposure {
            return None;
        }
        self.credit = 0.0;
        Some(Draft { first: tried, then, reason: Reason::Explore })
    }

    fn finish(&mut self, ask: &Ask<'_>, draft: &Draft) -> Plan {
        let id = |it: &Scored| ask.allowed[it.place].id.clone();
        let rate = if draft.first.belief.is_thin() || draft.reason == Reason::Explore {
            1.0
        } else {
            self.policy.rating_sample
        };
        let is_rated = ask.rater == Rater::Up && self.rng.random::<f64>() < rate;
        Plan {
            first: id(&draft.first),
            then: draft.then.as_ref().map(id),
            sample: if is_rated { Sample::Rate } else { Sample::Skip },
            reason: draft.reason,
        }
    }

    fn best(&self) -> Scored {
        let by_mean = |a: &&Scored, b: &&Scored| a.belief.mean().total_cmp(&b.belief.mean());
        // `max_by` gives the last of equals and the list rises in cost, so go from the back.
        *self.scored.iter().rev().max_by(by_mean).expect("a request has at least one candidate")
    }

    /// How many standard deviations of doubt a version must clear to be called sure.
    fn confidence(&self) -> f64 {
        match self.policy.weigh {
            Weigh::Latency => 1.28,
            Weigh::Exposure => 1.64,
        }
    }

    fn exploration(&self) -> f64 {
        match self.policy.weigh {
            Weigh::Latency => self.policy.exploration,
            Weigh::Exposure => self.policy.exploration * CAUTIOUS_EXPLORATION,
        }
    }
}

/// A plan before its ids are copied.
#[derive(Debug, Clone, Copy)]
struct Draft {
    first: Scored,
    then: Option<Scored>,
    reason: Reason,
}
