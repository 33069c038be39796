//! Moves roll-outs on, stage by stage.
//!
//! The stage is part of the published document, and a step names the stage it leaves, so a
//! steward that takes over goes on from there: a stage is never left out or begun again.

use std::{collections::HashMap, time::Duration};

use curranthook_policy::{
    rollout::{Decision, Gate},
    verdict::{Counts, State},
};
use curranthook_settings::{Document, rollout::State as Progress};
use curranthook_types::version;

use crate::evidence::Row;

/// What the counts were when this steward first saw a stage.
#[derive(Debug, Default)]
pub struct Watch {
    base: HashMap<(String, usize), (Counts, Counts)>,
}

/// A step to be published.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// To the stage after this one.
    Advance(usize),
    /// Back to the old version.
    Abort,
}

impl Watch {
    /// The steps that the evidence calls for, by model.
    pub fn steps(
        &mut self,
        document: &Document,
        rows: &[Row],
        now_millis: u64,
        gate: &Gate,
        verdict: impl Fn(&version::Id) -> State,
    ) -> Vec<(String, Step)> {
        let mut steps = Vec::new();
        for (model, it) in &document.rollouts {
            if it.state != Progress::Running {
                continue;
            }
            let (from, to) = (total(rows, &it.from), total(rows, &it.to));
            let key = (model.clone(), it.stage);
            let base = self.base.entry(key).or_insert((from, to));
            let (from, to) = (since(&from, &base.0), since(&to, &base.1));
            let stage_age = Duration::from_millis(now_millis.saturating_sub(it.since_millis));
            match gate.decide(&from, &to, verdict(&it.to), stage_age) {
                Decision::Advance => steps.push((model.clone(), Step::Advance(it.stage))),
                Decision::Abort(_) => steps.push((model.clone(), Step::Abort)),
                Decision::Hold(_) => {}
            }
        }
        steps
    }
}

fn total(rows: &[Row], version: &version::Id) -> Counts {
    rows.iter()
        .filter(|(id, ..)| id == version)
        .fold(Counts::default(), |sum, (_, _, counts)| sum.plus(counts))
}

/// What came after `base`. A node that was replaced takes its counts with it; the difference
/// then is less than it should be, which delays a stage and never hastens it.
fn since(now: &Counts, base: &Counts) -> Counts {
    Counts {
        n: now.n.saturating_sub(base.n),
        sum: (now.sum - base.sum).max(0.0),
        squares: (now.squares - base.squares).max(0.0),
        calls: now.calls.saturating_sub(base.calls),
        errors: now.errors.saturating_sub(base.errors),
        tokens: now.tokens.saturating_sub(base.tokens),
        lengths: (now.lengths - base.lengths).max(0.0),
    }
}
