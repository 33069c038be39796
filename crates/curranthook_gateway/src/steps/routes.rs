//! The failures of both versions by route.
//!
//! A version may fail on one route only, and the old version may fail for reasons of its own. Both hide
//! a new version's failures in sums over all routes, or in a comparison of the two versions. So a version
//! is shown to be good by its own answers on each route, hardly by comparison with the old version's. Of
//! the old version's failures those count as usual that a request itself brings about: it fails wherever
//! it is sent. Others may reach both versions, but count as usual only if they are few.

use curranthook_policy::hash;
use serde::{Deserialize, Serialize};

/// The maximum number of routes that are told apart. The answers of further ones are added up.
const MAX_ROUTES: usize = 8;
/// Stands for the routes beyond that number.
const OTHER_ROUTES: u32 = 0;
/// The share of failures that any version may have.
const MIN_USUAL_SHARE: f64 = 0.02;
/// The share up to which failures of the old version's endpoints count as usual.
const MAX_SHARED_SHARE: f64 = 0.05;
/// The share of failures of the old version from which it is disturbed, so that it doesn't tell what is
/// usual.
const DISTURBED_SHARE: f64 = 0.1;
/// The maximum share that counts as usual.
const MAX_USUAL_SHARE: f64 = 0.5;

/// The share of requests that a bad version fails on all routes, beyond the usual ones.
const BAD_SHARE: f64 = 0.3;
/// The same for a version that is bad on one route.
const BAD_SHARE_OF_ROUTE: f64 = 0.5;
/// The logarithm of the likelihood ratio, good to bad, above which a version counts as good: a bad one
/// reaches it in one of a hundred rollouts.
const GOOD_LOG_RATIO: f64 = 4.6;
/// The same for each route, whose answers are few: one in twenty.
const GOOD_LOG_RATIO_OF_ROUTE: f64 = 3.0;
/// The same for a version that counts as bad on a route: a good one reaches it in one of a thousand.
const BAD_LOG_RATIO_OF_ROUTE: f64 = -6.9;
/// A route with so few answers that it cannot reach that has to reach this part of what a good version
/// is expected to.
const MIN_EXPECTED_PART: f64 = 0.5;

/// Answers and the failures among them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Tally {
    /// The number of answers.
    pub answers: u32,
    /// The number of failures.
    pub bad: u32,
}

/// The answers on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Route {
    /// Those of the new version.
    pub new: Tally,
    /// Those of other versions since the new version gets requests.
    pub old: Tally,
    /// Those of other versions before that.
    pub before: Tally,
    /// The requests that failed at other versions and failed again at another endpoint.
    pub repeated: u32,
}

/// The answers on all routes, in the order of their keys. Routes without answers are left out.
///
/// Encoded as lists of numbers, since they have to fit into a datagram.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Vec<Encoded>", into = "Vec<Encoded>")]
pub struct Routes {
    len: usize,
    items: [(u32, Route); MAX_ROUTES],
}

/// The key of a route and its numbers, in the order of the fields of [`Route`] and [`Tally`].
type Encoded = [u32; 8];

impl Tally {
    /// Adds an answer.
    pub fn add(&mut self, is_bad: bool) {
        self.answers += 1;
        self.bad += u32::from(is_bad);
    }

    fn plus(self, other: Self) -> Self {
        Self {
            answers: self.answers.saturating_add(other.answers),
            bad: self.bad.saturating_add(other.bad),
        }
    }

    fn minus(self, other: Self) -> Self {
        Self {
            answers: self.answers.saturating_sub(other.answers),
            bad: self.bad.saturating_sub(other.bad),
        }
    }

    /// The logarithm of the likelihood of these answers under a version that fails the `usual` share of
    /// requests, divided by that under one that fails `bad_share` of the others as well.
    fn log_ratio(self, usual: f64, bad_share: f64) -> f64 {
        let (good, bad) = log_ratios(usual, bad_share);
        f64::from(self.answers.saturating_sub(self.bad)) * good + f64::from(self.bad) * bad
    }
}

/// What a good and a bad answer each add to the logarithm of the likelihood ratio.
fn log_ratios(usual: f64, bad_share: f64) -> (f64, f64) {
    let failing = usual + bad_share * (1.0 - usual);
    (-(1.0 - bad_share).ln(), -(failing / usual).ln())
}

impl Route {
    fn plus(self, other: Self) -> Self {
        Self {
            new: self.new.plus(other.new),
            old: self.old.plus(other.old),
            before: self.before.plus(other.before),
            repeated: self.repeated.saturating_add(other.repeated),
        }
    }

    fn minus(self, other: Self) -> Self {
        Self {
            new: self.new.minus(other.new),
            old: self.old.minus(other.old),
            before: self.before.minus(other.before),
            repeated: self.repeated.saturating_sub(other.repeated),
        }
    }

    /// Whether the new version's answers are those of a bad version.
    pub(super) fn is_bad(&self) -> bool {
        self.new.log_ratio(self.usual_share(), BAD_SHARE_OF_ROUTE) <= BAD_LOG_RATIO_OF_ROUTE
    }

    /// The share of requests that are expected to fail at any version.
    ///
    /// Of requests that fail with a chance of their own at each endpoint, the share that fails twice is
    /// the square of the share that fails once; of those that fail wherever they are sent it's the same.
    /// Both shares together tell how many there are of the latter. The standard error is taken off, as
    /// too large a share would hide failures of the new version. For the same reason, other failures
    /// count only if they are few.
    ///
    /// ```
    /// # use curranthook_gateway::steps::{Route, Tally};
    /// let route = |bad, repeated| {
    ///     let old = Tally { answers: 400, bad };
    ///     Route { old, repeated, ..Route::default() }
    /// };
    /// assert!(0.09 < route(56, 56).usual_share());
    /// assert_eq!(route(160, 64).usual_share(), 0.02);
    /// assert_eq!(route(16, 0).usual_share(), 0.04);
    /// ```
    pub fn usual_share(&self) -> f64 {
        let other = self.old.plus(self.before);
        let n = f64::from(other.answers.max(1));
        let (once, twice) = (f64::from(other.bad) / n, f64::from(self.repeated.min(other.bad)) / n);
        let served_twice = 1.0 - 2.0 * once + twice;
        let of_requests = match 0.0 < served_twice {
            true => {
                let share = 1.0 - (1.0 - once).powi(2) / served_twice;
                share - (twice * (1.0 - twice) / n).sqrt() / served_twice
            }
            false => 0.0,
        };
        let shared = if once < DISTURBED_SHARE { once.min(MAX_SHARED_SHARE) } else { 0.0 };
        of_requests.max(shared).clamp(MIN_USUAL_SHARE, MAX_USUAL_SHARE)
    }
}

impl Routes {
    /// The key of the route named `name`.
    pub fn key(name: &str) -> u32 {
        (hash::bytes(name.as_bytes()) as u32).max(OTHER_ROUTES + 1)
    }

    /// The answers on a route, to add some.
    ///
    /// ```
    /// # use curranthook_gateway::steps::Routes;
    /// let mut routes = Routes::default();
    /// routes.entry(Routes::key("a")).new.add(true);
    /// assert_eq!(routes.iter().next().unwrap().1.new.bad, 1);
    /// ```
    pub fn entry(&mut self, key: u32) -> &mut Route {
        let find = |it: &Self, key| it.items[..it.len].binary_search_by_key(&key, |(key, _)| *key);
        let (key, at) = match find(self, key) {
            // One place is left for the sum of all further routes.
            Err(_) if MAX_ROUTES - 1 <= self.len => (OTHER_ROUTES, find(self, OTHER_ROUTES)),
            other => (key, other),
        };
        let index = at.unwrap_or_else(|index| {
            self.items[index..=self.len].rotate_right(1);
            self.items[index] = (key, Route::default());
            self.len += 1;
            index
        });
        &mut self.items[index].1
    }

    /// Adds the answers whose route is not known, as an older build counted them.
    pub(super) fn with_rest(mut self, new: Tally, old: Tally, before: Tally) -> Self {
        let known = self.iter().fold(Route::default(), |sum, (_, it)| sum.plus(*it));
        let all = Route { new, old, before, repeated: known.repeated };
        let rest = all.minus(known);
        if rest != Route::default() {
            let other = self.entry(OTHER_ROUTES);
            *other = other.plus(rest);
        }
        self
    }

    /// The routes and their keys.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &Route)> {
        self.items[..self.len].iter().map(|(key, it)| (*key, it))
    }

    /// Whether there are no answers.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The sum of both.
    pub fn plus(self, other: Self) -> Self {
        let mut sum = self;
        for (key, it) in other.iter() {
            let route = sum.entry(key);
            *route = route.plus(*it);
        }
        sum
    }

    /// What remains without `other`, which was added before.
    pub fn minus(self, other: Self) -> Self {
        let mut rest = Self::default();
        for (key, it) in self.iter() {
            let added = other.iter().find(|(other, _)| *other == key);
            let route = added.map_or(*it, |(_, added)| it.minus(*added));
            if route != Route::default() {
                *rest.entry(key) = route;
            }
        }
        rest
    }

    /// How much the new version's answers speak for it: the logarithm of the likelihood ratio of a good
    /// version to a bad one.
    pub fn log_ratio(&self) -> f64 {
        self.iter().map(|(_, it)| it.new.log_ratio(it.usual_share(), BAD_SHARE)).sum()
    }

    /// Whether the new version's answers show that it is good, on all routes together and on each.
    ///
    /// ```
    /// # use curranthook_gateway::steps::{Routes, Tally};
    /// let mut routes = Routes::default();
    /// for (name, bad) in [("a", 0), ("b", 0)] {
    ///     let route = routes.entry(Routes::key(name));
    ///     (route.new, route.old) = (Tally { answers: 15, bad }, Tally { answers: 200, bad: 80 });
    /// }
    /// assert!(routes.are_good());
    /// routes.entry(Routes::key("b")).new.bad = 4;
    /// assert!(!routes.are_good());
    /// ```
    pub fn are_good(&self) -> bool {
        GOOD_LOG_RATIO <= self.log_ratio() && self.iter().all(|(_, it)| self.is_good(it))
    }

    /// Whether the new version's answers rather show that it is bad, on all routes together or clearly on
    /// one.
    pub fn seem_bad(&self) -> bool {
        let log_ratio = |it: &Route| it.new.log_ratio(it.usual_share(), BAD_SHARE_OF_ROUTE);
        self.log_ratio() < 0.0 || self.iter().any(|(_, it)| log_ratio(it) <= -GOOD_LOG_RATIO)
    }

    fn is_good(&self, route: &Route) -> bool {
        let of_others = |it: &Route| f64::from(it.old.answers + it.before.answers);
        let (n_others, n_new) = self.iter().fold((0.0, 0.0), |(others, new), (_, it)| {
            (others + of_others(it), new + f64::from(it.new.answers))
        });
        let n_expected = match n_others {
            0.0 => f64::from(route.new.answers),
            _ => n_new * of_others(route) / n_others,
        };
        let usual = route.usual_share();
        let (good, bad) = log_ratios(usual, BAD_SHARE_OF_ROUTE);
        let expected = n_expected * ((1.0 - usual) * good + usual * bad).max(0.0);
        let bar = GOOD_LOG_RATIO_OF_ROUTE.min(MIN_EXPECTED_PART * expected);
        bar <= route.new.log_ratio(usual, BAD_SHARE_OF_ROUTE)
    }
}

impl From<Vec<Encoded>> for Routes {
    fn from(items: Vec<Encoded>) -> Self {
        let mut routes = Self::default();
        for [key, new, new_bad, old, old_bad, before, before_bad, repeated] in items {
            let tally = |answers, bad| Tally { answers, bad };
            let (new, old) = (tally(new, new_bad), tally(old, old_bad));
            let before = tally(before, before_bad);
            let route = routes.entry(key);
            *route = route.plus(Route { new, old, before, repeated });
        }
        routes
    }
}

impl From<Routes> for Vec<Encoded> {
    fn from(routes: Routes) -> Self {
        let encode = |(key, it): (u32, &Route)| {
            let Route { new, old, before, repeated } = *it;
            let [new, old, before] = [new, old, before].map(|it| [it.answers, it.bad]);
            [key, new[0], new[1], old[0], old[1], before[0], before[1], repeated]
        };
        routes.iter().map(encode).collect()
    }
}
