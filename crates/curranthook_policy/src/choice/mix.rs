//! Mixes of versions and cascades whose answers meet the target on average.
//!
//! A target is a share: of all answers to a kind of work, so many must be good enough. A single
//! version seldom hits it; one is too poor and the next one dearer than need be. Two of them,
//! drawn at random in the right proportion, hit it for less than either that meets it alone.

use curranthook_settings::config::Weigh;
use rand::RngExt as _;

use crate::choice::{
    Chooser, Draft, Rater, Reason, Request, Scope, cascade::Sure, estimate::Estimate,
    option::Scored,
};

/// The number of answers over which a share must hold in spite of chance.
const HORIZON: f64 = 1_000.0;
/// Answers within which what was missed, or done beyond the target, is made up for.
const CATCH_UP: f64 = 100.0;
/// How far below the target answers may be for a while, after better ones than need be.
const LOWEST: f64 = 0.03;
/// How far below the best quality the aim stays: the last hundredth can double the cost, and
/// whether it is there at all is less certain than that.
const NEARLY: f64 = 0.01;

/// How many standard deviations of an estimate aren't counted on.
const DOUBT: f64 = 0.7;

/// A way to serve a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Point {
    first: Scored,
    second: Option<Scored>,
    quality: f64,
    /// The quality that is counted on: less, the fewer ratings are known.
    counted: f64,
    cost: f64,
}

impl Point {
    fn draft(&self) -> Draft {
        let reason = if self.second.is_some() { Reason::Cascade } else { Reason::Mix };
        Draft { first: self.first, second: self.second, reason, sure: Sure::Yes }
    }
}

/// Two ways to serve requests, and the share of the better one.
#[derive(Debug, Clone, Copy)]
struct Mix {
    low: Point,
    high: Point,
    share: f64,
}

impl Mix {
    /// What of the mean quality of the two isn't counted on.
    fn uncounted(&self) -> f64 {
        let part = |it: &Point| it.quality - it.counted;
        part(&self.low) + self.share * (part(&self.high) - part(&self.low))
    }
}

impl Chooser {
    /// One of the two ways whose mix meets the target for the least cost, and the better of the
    /// two. Where no way is good enough, that's the best. Nothing if ratings can't correct a
    /// wrong estimate, or if a surer choice is open where exposure is weighed most.
    pub(super) fn mixed(&mut self, request: &Request<'_>) -> Option<Drawn> {
        // A cascade shows nothing that wasn't rated, but a session can't have one.
        let has_surer = self.policy.weigh == Weigh::Exposure && request.scope == Scope::Request;
        if request.rater == Rater::Down || has_surer || request.candidates.len() == 1 {
            return None;
        }
        self.fill_points(request);
        let best = self.points.iter().map(|it| it.counted).fold(0.0, f64::max);
        let chance = self.wanted(request);
        let highest = if chance <= best - NEARLY { best - NEARLY } else { best };
        let repay = self.excess(request) / CATCH_UP;
        let aim = (chance - repay).max(request.target_quality - LOWEST).min(highest);
        let mix = cheapest(&self.points, aim)?;
        let wanted = chance + mix.uncounted();
        let taken = if self.rng.random::<f64>() < mix.share { mix.high } else { mix.low };
        let sure = if request.target_quality <= best { Sure::Yes } else { Sure::No };
        let draft = |it: &Point| Draft { sure, ..it.draft() };
        let drawn = Drawn { plain: draft(&taken), safe: draft(&mix.high), wanted };
        Some(if sure == Sure::Yes { drawn } else { drawn.with_reason(Reason::BestEffort) })
    }

    /// Notes how a request is served, so that later ones make up for it.
    pub(super) fn note(&mut self, request: &Request<'_>, drawn: &Draft, wanted: f64) {
        let first = request.candidates[drawn.first.place].id;
        let second = drawn.second.map(|it| request.candidates[it.place].id);
        let (quality, _) = self.quality_of(request, &drawn.first, drawn.second.as_ref());
        if !self.served.contains_key(request.kind) {
            self.served.insert(request.kind.clone(), Default::default());
        }
        let served = self.served.get_mut(request.kind).expect("inserted above");
        served.add(first, second, quality, wanted);
    }

    /// How many more answers of late were good than wanted. What was given before is valued by
    /// what ratings, of all nodes, say of it now: a version that turns out worse than it looked
    /// leaves a debt, and better answers pay it back.
    fn excess(&mut self, request: &Request<'_>) -> f64 {
        let Some(served) = self.served.get_mut(request.kind) else { return 0.0 };
        let id = |it: &Scored| request.candidates[it.place].id;
        served.revalue(|first, second| {
            let is_it =
                |it: &&Point| id(&it.first) == first && it.second.as_ref().map(id) == second;
            self.points.iter().find(is_it).map(|it| it.quality)
        });
        served.excess()
    }

    /// The target, and what chance may take from it.
    pub(super) fn wanted(&self, request: &Request<'_>) -> f64 {
        let deviation = (request.target_quality * (1.0 - request.target_quality) / HORIZON).sqrt();
        request.target_quality + self.confidence() * deviation
    }

    fn fill_points(&mut self, request: &Request<'_>) {
        let mut points = std::mem::take(&mut self.points);
        points.clear();
        for first in &self.scored {
            let dearer = self.scored.iter().filter(|it| first.cost < it.cost);
            let fitting = dearer.filter(|it| self.fits(request, first, it));
            let n_before = points.len();
            points.extend(fitting.map(|second| self.point(request, first, Some(second))));
            // An answer of a version that little is known of is rated before it's shown, where
            // that can be done.
            if points.len() == n_before || !first.belief.is_thin() {
                points.push(self.point(request, first, None));
            }
        }
        self.points = points;
    }

    fn point(&self, request: &Request<'_>, first: &Scored, second: Option<&Scored>) -> Point {
        let (quality, variance) = self.quality_of(request, first, second);
        let cost = second.map_or(first.cost, |it| first.cost_with(it));
        let counted = quality - DOUBT * variance.sqrt();
        Point { first: *first, second: second.copied(), quality, counted, cost }
    }

    /// The expected quality, and the variance of that estimate.
    fn quality_of(
        &self,
        request: &Request<'_>,
        first: &Scored,
        second: Option<&Scored>,
    ) -> (f64, f64) {
        let alone = first.belief.mean();
        let Some(second) = second else { return (alone, first.belief.variance()) };
        // Until it was seen, the second is taken to fail where the first does.
        let nested = first.nested(second);
        let seen = self.seen(request, first, second).unwrap_or(&Estimate::EMPTY);
        let second = seen.belief(Some(nested), self.now);
        let quality = alone + (1.0 - alone) * second.mean();
        let by_first = (1.0 - second.mean()).powi(2) * first.belief.variance();
        let by_second = (1.0 - alone).powi(2) * second.variance();
        (quality, by_first + by_second)
    }
}

/// What was drawn of a mix.
#[derive(Debug)]
pub(super) struct Drawn {
    pub(super) plain: Draft,
    /// The better one of the mix.
    pub(super) safe: Draft,
    /// The mean quality wanted.
    pub(super) wanted: f64,
}

impl Drawn {
    fn with_reason(mut self, reason: Reason) -> Self {
        self.plain.reason = reason;
        self
    }
}

/// The cheapest mix whose mean quality is `aim`. There are few points, so looking at all pairs is
/// as quick as a convex hull.
fn cheapest(points: &[Point], aim: f64) -> Option<Mix> {
    let (mut least, mut best) = (f64::INFINITY, None);
    for high in points.iter().filter(|it| aim <= it.counted) {
        if high.cost < least {
            (least, best) = (high.cost, Some((high, high, 1.0)));
        }
        for low in points.iter().filter(|it| it.counted < aim && it.cost < high.cost) {
            let share = (aim - low.counted) / (high.counted - low.counted);
            let cost = low.cost + share * (high.cost - low.cost);
            if cost < least {
                (least, best) = (cost, Some((low, high, share)));
            }
        }
    }
    best.map(|(low, high, share)| Mix { low: *low, high: *high, share })
}
