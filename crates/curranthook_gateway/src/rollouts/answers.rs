//! Records the answers to requests as evidence about the versions that gave them.

use std::time::Duration;

use super::{
    Rollouts,
    baseline::{Part, Timing},
};
use crate::steps::{Counts, Phase, Route, Routes, Tally};

/// A class of answers whose times can be compared: those of one route and model.
#[derive(Debug, Clone, Copy)]
pub struct Kind<'a> {
    /// The route's name.
    pub route: &'a str,
    /// The model's index in the route's list.
    pub model: usize,
}

/// Whether an answer counts as a failure of its version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint answered, and not with a server error.
    Answered,
    /// The endpoint answered with a server error.
    Failed,
}

/// How fast a stream is.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    /// The average time between its events.
    pub gap: Duration,
    /// The number of requests that its endpoint ran; none if it reports no load.
    pub n_running: Option<u32>,
}

impl Rollouts {
    /// Counts a request for a service.
    pub fn record_request(&mut self, service: &str) {
        if let Some(it) = self.services.get_mut(service).filter(|it| !it.phase().is_final()) {
            it.own.requests += 1;
        }
    }

    /// Records an answer to a request of a trial that was concentrated on a few endpoints, whose
    /// time says nothing.
    pub fn record_concentrated_answer(
        &mut self,
        service: &str,
        version: &str,
        kind: Kind<'_>,
        outcome: Outcome,
    ) {
        let Some(it) = self.services.get_mut(service) else { return };
        if it.phase().is_final() || it.order.target != version {
            return;
        }
        it.own.routes.entry(Routes::key(kind.route)).new.add(outcome == Outcome::Failed);
        for counts in [&mut it.own.new, &mut it.own.concentrated] {
            counts.answers += 1;
            counts.bad += u64::from(outcome == Outcome::Failed);
        }
    }

    /// Records an answer with the time to its first byte; `took` is none for a failure.
    pub fn record_answer(
        &mut self,
        service: &str,
        version: &str,
        kind: Kind<'_>,
        took: Option<Duration>,
    ) {
        let timing = |time| Timing { time, n_running: None };
        let ratio = took.map(|it| self.ratio(service, version, kind, Part::FirstEvent, timing(it)));
        let Some(counts) = self.counts(service, version) else { return };
        counts.answers += 1;
        counts.bad += u64::from(ratio.is_none());
        if let Some(ratio) = ratio {
            counts.add_first(ratio);
        }
        if let Some(tally) = self.tally(service, version, kind) {
            tally.add(ratio.is_none());
        }
    }

    /// Records that a request which failed before has failed again, at another endpoint.
    pub fn record_repeated_failure(&mut self, service: &str, version: &str, kind: Kind<'_>) {
        let Some(it) = self.services.get_mut(service) else { return };
        if !it.phase().is_final() && it.order.target != version {
            it.own.routes.entry(Routes::key(kind.route)).repeated += 1;
        }
    }

    /// Records how fast a stream is.
    pub fn record_pace(&mut self, service: &str, version: &str, kind: Kind<'_>, pace: Pace) {
        let timing = Timing { time: pace.gap, n_running: pace.n_running };
        let ratio = self.ratio(service, version, kind, Part::EventGap, timing);
        if let Some(counts) = self.counts(service, version) {
            counts.rest.add(ratio);
        }
    }

    /// The ratio of a time to the baseline. Times of the old version become part of it.
    fn ratio(
        &mut self,
        service: &str,
        version: &str,
        kind: Kind<'_>,
        part: Part,
        timing: Timing,
    ) -> f64 {
        let ratio = self.baseline.ratio(service, kind, part, timing);
        if self.services.get(service).is_none_or(|it| it.order.target != version) {
            self.baseline.add(service, kind, part, timing);
        }
        ratio
    }

    /// The answers of a version on a route; none if the rollout is finished.
    fn tally(&mut self, service: &str, version: &str, kind: Kind<'_>) -> Option<&mut Tally> {
        let it = self.services.get_mut(service)?;
        let (phase, is_new) = (it.phase(), it.order.target == version);
        if phase.is_final() {
            return None;
        }
        let Route { new, old, before, .. } = it.own.routes.entry(Routes::key(kind.route));
        Some(match phase {
            _ if is_new => new,
            Phase::Waiting => before,
            _ => old,
        })
    }

    /// The counters of this node for a version; none if the rollout is finished.
    fn counts(&mut self, service: &str, version: &str) -> Option<&mut Counts> {
        let it = self.services.get_mut(service)?;
        let own = match it.phase() {
            phase if phase.is_final() => return None,
            _ if it.order.target == version => &mut it.own.new,
            Phase::Waiting => &mut it.own.before,
            _ => &mut it.own.old,
        };
        Some(own)
    }
}
