//! Mixes of versions and cascades whose answers meet the target on average.
//!
//! A target is a share: of all answers to a kind of work, this share must be good. A single version
//! rarely meets it exactly; one falls short and the next one costs more than necessary. Choosing
//! between two of them at random, in the right proportion, meets the target at a lower cost than
//! either version that meets it alone.

use curranthook_settings::config::Objective;
use rand::RngExt as _;

use crate::choice::{
    Chooser, Draft, Rater, Reason, Request, Scope, cascade::Certainty, estimate::Estimate,
    scored::Scored,
};

/// The number of answers over which the required share must hold despite random variation.
const HORIZON_ANSWERS: f64 = 1_000.0;
/// The number of answers over which a past shortfall or excess is compensated.
const CORRECTION_ANSWERS: f64 = 100.0;
/// How far the quality aimed at may temporarily fall below the target, after answers that were
/// better than required.
const MAX_SHORTFALL: f64 = 0.03;
/// How far the quality aimed at stays below the best available quality. The last hundredth can
/// double the cost, and the estimates are less precise than that.
const BEST_MARGIN: f64 = 0.01;

/// How many standard deviations are subtracted from the mean of a quality estimate to discount its
/// uncertainty.
const DISCOUNT_STD_DEVS: f64 = 0.7;

/// A version or cascade that can serve a request, with its estimated quality and cost.
#[derive(Debug, Clone, Copy)]
pub(super) struct Point {
    first: Scored,
    second: Option<Scored>,
    quality: f64,
    /// The estimated quality minus a discount for its uncertainty, which is larger for few ratings.
    discounted_quality: f64,
    cost: f64,
}

impl Point {
    fn draft(&self) -> Draft {
        let reason = if self.second.is_some() { Reason::Cascade } else { Reason::Mix };
        Draft { first: self.first, second: self.second, reason, certainty: Certainty::Confident }
    }
}

/// Two versions or cascades, and the share of requests served by `high`, the better one.
#[derive(Debug, Clone, Copy)]
struct Mix {
    low: Point,
    high: Point,
    share: f64,
}

impl Mix {
    /// The mean difference between estimated and discounted quality over the mix.
    fn quality_discount(&self) -> f64 {
        let discount = |it: &Point| it.quality - it.discounted_quality;
        discount(&self.low) + self.share * (discount(&self.high) - discount(&self.low))
    }
}

impl Chooser {
    /// Draws one of the two points whose mix meets the target at the lowest cost, and also returns
    /// the better of the two. If no point is good enough, both are the best one. Returns `None` if
    /// ratings are unavailable and cannot correct a wrong estimate, or if the policy weighs
    /// exposure most and the request allows cascades, which are safer.
    pub(super) fn draw_from_mix(&mut self, request: &Request<'_>) -> Option<Draw> {
        // A cascade returns no unrated first answer, but is not available in a session.
        let prefers_cascades =
            self.policy.weigh == Objective::Exposure && request.scope == Scope::Request;
        if request.rater == Rater::Down || prefers_cascades || request.candidates.len() == 1 {
            return None;
        }
        self.collect_points(request);
        let best = self.points.iter().map(|it| it.discounted_quality).fold(0.0, f64::max);
        let base_required = self.required_quality(request);
        let max_aim = if base_required <= best - BEST_MARGIN { best - BEST_MARGIN } else { best };
        let correction = self.excess(request) / CORRECTION_ANSWERS;
        let aim =
            (base_required - correction).max(request.target_quality - MAX_SHORTFALL).min(max_aim);
        let mix = cheapest(&self.points, aim)?;
        let required = base_required + mix.quality_discount();
        let chosen = if self.rng.random::<f64>() < mix.share { mix.high } else { mix.low };
        let certainty = if request.target_quality <= best {
            Certainty::Confident
        } else {
            Certainty::Uncertain
        };
        let draft = |it: &Point| Draft { certainty, ..it.draft() };
        let drawn = Draw { planned: draft(&chosen), fallback: draft(&mix.high), required };
        Some(if certainty == Certainty::Confident {
            drawn
        } else {
            drawn.with_reason(Reason::BestEffort)
        })
    }

    /// Records how a request is served, so that later requests compensate for it.
    pub(super) fn record_decision(&mut self, request: &Request<'_>, drawn: &Draft, required: f64) {
        let first = request.candidates[drawn.first.index].id;
        let second = drawn.second.map(|it| request.candidates[it.index].id);
        let (quality, _) = self.quality_of(request, &drawn.first, drawn.second.as_ref());
        if !self.history.contains_key(request.kind) {
            self.history.insert(request.kind.clone(), Default::default());
        }
        let history = self.history.get_mut(request.kind).expect("inserted above");
        history.add(first, second, quality, required);
    }

    /// By how much the estimated number of good recent answers exceeds the required number; negative
    /// if it falls short. Past answers are valued by the current estimates, which include ratings
    /// from all nodes: if a version turns out worse than estimated, the shortfall is compensated by
    /// better answers.
    fn excess(&mut self, request: &Request<'_>) -> f64 {
        let Some(history) = self.history.get_mut(request.kind) else { return 0.0 };
        let id = |it: &Scored| request.candidates[it.index].id;
        history.reestimate(|first, second| {
            let is_same =
                |it: &&Point| id(&it.first) == first && it.second.as_ref().map(id) == second;
            self.points.iter().find(is_same).map(|it| it.quality)
        });
        history.excess()
    }

    /// The target plus a margin for random variation.
    pub(super) fn required_quality(&self, request: &Request<'_>) -> f64 {
        let deviation =
            (request.target_quality * (1.0 - request.target_quality) / HORIZON_ANSWERS).sqrt();
        request.target_quality + self.confidence_z() * deviation
    }

    fn collect_points(&mut self, request: &Request<'_>) {
        let mut points = std::mem::take(&mut self.points);
        points.clear();
        for first in &self.scored {
            let costlier = self.scored.iter().filter(|it| first.cost < it.cost);
            let feasible = costlier.filter(|it| self.is_feasible(request, first, it));
            let n_before = points.len();
            points.extend(feasible.map(|second| self.point(request, first, Some(second))));
            // Answers of a version with few ratings are rated before they are returned, wherever a
            // cascade is possible.
            if points.len() == n_before || !first.posterior.is_sparse() {
                points.push(self.point(request, first, None));
            }
        }
        self.points = points;
    }

    fn point(&self, request: &Request<'_>, first: &Scored, second: Option<&Scored>) -> Point {
        let (quality, variance) = self.quality_of(request, first, second);
        let cost = second.map_or(first.cost, |it| first.cascade_cost(it));
        let discounted_quality = quality - DISCOUNT_STD_DEVS * variance.sqrt();
        Point { first: *first, second: second.copied(), quality, discounted_quality, cost }
    }

    /// The expected quality, and the variance of that estimate.
    fn quality_of(
        &self,
        request: &Request<'_>,
        first: &Scored,
        second: Option<&Scored>,
    ) -> (f64, f64) {
        let first_quality = first.posterior.mean();
        let Some(second) = second else { return (first_quality, first.posterior.variance()) };
        // Without ratings of this pair, assume that the second version fails the same requests as
        // the first.
        let conditional = first.conditional_quality(second);
        let estimate =
            self.second_stage_estimate(request, first, second).unwrap_or(&Estimate::EMPTY);
        let posterior = estimate.posterior(Some(conditional), self.now);
        let quality = first_quality + (1.0 - first_quality) * posterior.mean();
        let variance_from_first = (1.0 - posterior.mean()).powi(2) * first.posterior.variance();
        let variance_from_second = (1.0 - first_quality).powi(2) * posterior.variance();
        (quality, variance_from_first + variance_from_second)
    }
}

/// The result of drawing from a mix of two versions or cascades.
#[derive(Debug)]
pub(super) struct Draw {
    pub(super) planned: Draft,
    /// The version or cascade of the mix with the higher quality.
    pub(super) fallback: Draft,
    /// The mean quality that answers must reach.
    pub(super) required: f64,
}

impl Draw {
    fn with_reason(mut self, reason: Reason) -> Self {
        self.planned.reason = reason;
        self
    }
}

/// The cheapest mix whose mean discounted quality is `aim`. There are few points, so checking all
/// pairs is as fast as a convex hull.
fn cheapest(points: &[Point], aim: f64) -> Option<Mix> {
    let (mut min_cost, mut best) = (f64::INFINITY, None);
    for high in points.iter().filter(|it| aim <= it.discounted_quality) {
        if high.cost < min_cost {
            (min_cost, best) = (high.cost, Some((high, high, 1.0)));
        }
        for low in points.iter().filter(|it| it.discounted_quality < aim && it.cost < high.cost) {
            let share =
                (aim - low.discounted_quality) / (high.discounted_quality - low.discounted_quality);
            let cost = low.cost + share * (high.cost - low.cost);
            if cost < min_cost {
                (min_cost, best) = (cost, Some((low, high, share)));
            }
        }
    }
    best.map(|(low, high, share)| Mix { low: *low, high: *high, share })
}
