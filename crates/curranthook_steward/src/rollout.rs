//! Advances rollouts, stage by stage.
//!
//! The stage is part of the published document, and a step names the stage it leaves, so a steward
//! that takes over continues from there: a stage is never skipped or restarted.

use std::{collections::HashMap, time::Duration};

use curranthook_policy::{
    rollout::{Decision, Gate},
    verdict::{Counts, State},
};
use curranthook_settings::{Document, rollout::State as RolloutState};
use curranthook_types::version;

use crate::evidence::Row;

/// For each model and stage of a rollout, the counts of the old and the new version when this
/// steward first saw the stage. The difference to them covers the stage only.
#[derive(Debug, Default)]
pub struct Tracker {
    baselines: HashMap<(String, usize), (Counts, Counts)>,
}

/// A step to be published.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Advance from the stage with this index to the next one.
    Advance(usize),
    /// Return to the old version.
    Abort,
}

impl Tracker {
    /// The steps that follow from the counts, with the model of each rollout.
    pub fn next_steps(
        &mut self,
        document: &Document,
        rows: &[Row],
        now_millis: u64,
        gate: &Gate,
        verdict: impl Fn(&version::Id) -> State,
    ) -> Vec<(String, Step)> {
        let mut next_steps = Vec::new();
        for (model, it) in &document.rollouts {
            if it.state != RolloutState::Running {
                continue;
            }
            let (from, to) = (total(rows, &it.from), total(rows, &it.to));
            let key = (model.clone(), it.stage);
            let baseline = self.baselines.entry(key).or_insert((from, to));
            let (from, to) = (difference(&from, &baseline.0), difference(&to, &baseline.1));
            let stage_age = Duration::from_millis(now_millis.saturating_sub(it.since_millis));
            match gate.decide(&from, &to, verdict(&it.to), stage_age) {
                Decision::Advance => next_steps.push((model.clone(), Step::Advance(it.stage))),
                Decision::Abort(_) => next_steps.push((model.clone(), Step::Abort)),
                Decision::Hold(_) => {}
            }
        }
        next_steps
    }
}

fn total(rows: &[Row], version: &version::Id) -> Counts {
    rows.iter()
        .filter(|(id, ..)| id == version)
        .fold(Counts::default(), |sum, (_, _, counts)| sum.plus(counts))
}

/// The counts since `baseline`. The counts of a replaced node disappear, so the difference can be
/// too small, which delays a stage but never advances it too early.
fn difference(now: &Counts, baseline: &Counts) -> Counts {
    Counts {
        n: now.n.saturating_sub(baseline.n),
        sum: (now.sum - baseline.sum).max(0.0),
        squares: (now.squares - baseline.squares).max(0.0),
        calls: now.calls.saturating_sub(baseline.calls),
        errors: now.errors.saturating_sub(baseline.errors),
        tokens: now.tokens.saturating_sub(baseline.tokens),
        lengths: (now.lengths - baseline.lengths).max(0.0),
    }
}
