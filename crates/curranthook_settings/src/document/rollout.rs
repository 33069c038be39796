//! Edits of the document that start, pause, resume, abort and advance roll-outs.

use curranthook_types::version;

use super::{Document, Error, Stamp};
use crate::rollout::{Rollout, State};

/// The parameters of a new roll-out.
#[derive(Debug)]
pub struct Plan {
    /// The version that is replaced.
    pub from: version::Id,
    /// The version that replaces it.
    pub to: version::Id,
    /// The share of new sessions that each stage assigns to `to`: above 0 and ascending, the last
    /// one 1.
    pub stages: Vec<f64>,
}

impl Plan {
    fn validate(&self) -> Result<(), Error> {
        if self.from == self.to {
            return Err(Error::SameVersion(self.to.clone()));
        }
        if self.from.model() != self.to.model() {
            return Err(Error::ModelMismatch { from: self.from.clone(), to: self.to.clone() });
        }
        let is_ascending = self.stages.windows(2).all(|pair| pair[0] < pair[1]);
        let is_positive = self.stages.first().is_some_and(|it| 0.0 < *it);
        if is_ascending && is_positive && self.stages.last() == Some(&1.0) {
            return Ok(());
        }
        Err(Error::InvalidStages)
    }
}

impl Document {
    /// The document with a roll-out started at its first stage. A completed or aborted roll-out of
    /// the model is replaced; an active one is an error.
    ///
    /// ```
    /// # use curranthook_settings::document::{Document, Error, Plan, Stamp};
    /// let stamp = Stamp { by: "lan", at_millis: 1, publication: "p1" };
    /// let plan = Plan { from: "m@1".into(), to: "m@2".into(), stages: vec![0.5, 0.1, 1.0] };
    /// assert_eq!(Document::default().start(&plan, &stamp), Err(Error::InvalidStages));
    /// ```
    pub fn start(&self, plan: &Plan, stamp: &Stamp<'_>) -> Result<Self, Error> {
        plan.validate()?;
        self.check_version(&plan.from)?;
        self.check_version(&plan.to)?;
        self.check_target(&plan.to)?;
        let model = plan.to.model();
        if self.rollouts.get(model).is_some_and(Rollout::is_active) {
            return Err(Error::AlreadyRunning(model.to_owned()));
        }
        let rollout = Rollout {
            from: plan.from.clone(),
            to: plan.to.clone(),
            stages: plan.stages.clone(),
            stage: 0,
            state: State::Running,
            since_millis: stamp.at_millis,
        };
        let mut next = self.next(stamp);
        next.rollouts.insert(model.to_owned(), rollout);
        Ok(next)
    }

    /// The document with the roll-out of `model` paused at its current stage.
    ///
    /// ```
    /// # use curranthook_settings::document::{Document, Error, Stamp};
    /// let stamp = Stamp { by: "lan", at_millis: 1, publication: "p1" };
    /// assert_eq!(Document::default().pause("m", &stamp), Err(Error::NoRollout("m".into())));
    /// ```
    pub fn pause(&self, model: &str, stamp: &Stamp<'_>) -> Result<Self, Error> {
        self.edit_rollout(model, stamp, &[State::Running], |it| it.state = State::Paused)
    }

    /// The document with the roll-out of `model` resumed at its current stage. The stage starts
    /// again: only results from now on count for its checks.
    ///
    /// ```
    /// # use curranthook_settings::document::{Document, Error, Stamp};
    /// let stamp = Stamp { by: "lan", at_millis: 1, publication: "p1" };
    /// assert_eq!(Document::default().resume("m", &stamp), Err(Error::NoRollout("m".into())));
    /// ```
    pub fn resume(&self, model: &str, stamp: &Stamp<'_>) -> Result<Self, Error> {
        if let Some(rollout) = self.rollouts.get(model) {
            self.check_target(&rollout.to)?;
        }
        self.edit_rollout(model, stamp, &[State::Paused], |it| {
            it.state = State::Running;
            it.since_millis = stamp.at_millis;
        })
    }

    /// The document with the roll-out of `model` aborted.
    ///
    /// ```
    /// # use curranthook_settings::document::{Document, Error, Stamp};
    /// let stamp = Stamp { by: "lan", at_millis: 1, publication: "p1" };
    /// assert_eq!(Document::default().abort("m", &stamp), Err(Error::NoRollout("m".into())));
    /// ```
    pub fn abort(&self, model: &str, stamp: &Stamp<'_>) -> Result<Self, Error> {
        self.edit_rollout(model, stamp, &[State::Running, State::Paused], |it| {
            it.state = State::Aborted;
            it.since_millis = stamp.at_millis;
        })
    }

    /// The document with the roll-out of `model` advanced from stage `from`.
    ///
    /// The caller names the stage that it has checked: two stewards may both find that a stage
    /// passed, and without `from` the edit of the second one would skip the following stage.
    ///
    /// ```
    /// # use curranthook_settings::document::{Document, Error, Stamp};
    /// let stamp = Stamp { by: "steward", at_millis: 1, publication: "p1" };
    /// assert_eq!(Document::default().advance("m", 0, &stamp), Err(Error::NoRollout("m".into())));
    /// ```
    pub fn advance(&self, model: &str, from: usize, stamp: &Stamp<'_>) -> Result<Self, Error> {
        let rollout = self.rollout(model)?;
        if rollout.stage != from {
            return Err(Error::StageMismatch { model: model.to_owned(), stage: rollout.stage });
        }
        self.check_target(&rollout.to)?;
        self.edit_rollout(model, stamp, &[State::Running], |it| {
            it.since_millis = stamp.at_millis;
            if it.stage + 1 < it.stages.len() {
                it.stage += 1;
            } else {
                it.state = State::Done;
            }
        })
    }

    /// Rejects a document in which an active roll-out refers to a version that no site has, which
    /// happens when files without the version are published. New sessions would be sent to a
    /// version that no endpoint serves.
    ///
    /// ```
    /// # use curranthook_settings::Document;
    /// assert!(Document::default().check_rollouts().is_ok());
    /// ```
    pub fn check_rollouts(&self) -> Result<(), Error> {
        let active = self.rollouts.values().filter(|it| it.is_active());
        for version in active.flat_map(|it| [&it.from, &it.to]) {
            self.check_version(version).map_err(|_| Error::VersionInRollout(version.clone()))?;
        }
        Ok(())
    }

    fn rollout(&self, model: &str) -> Result<&Rollout, Error> {
        self.rollouts.get(model).ok_or_else(|| Error::NoRollout(model.to_owned()))
    }

    fn check_target(&self, to: &version::Id) -> Result<(), Error> {
        if self.withdrawn.contains(to) {
            return Err(Error::WithdrawnTarget(to.clone()));
        }
        Ok(())
    }

    fn edit_rollout(
        &self,
        model: &str,
        stamp: &Stamp<'_>,
        allowed: &[State],
        edit: impl FnOnce(&mut Rollout),
    ) -> Result<Self, Error> {
        let state = self.rollout(model)?.state;
        if !allowed.contains(&state) {
            return Err(Error::InvalidState { model: model.to_owned(), state });
        }
        let mut next = self.next(stamp);
        if let Some(rollout) = next.rollouts.get_mut(model) {
            edit(rollout);
        }
        Ok(next)
    }
}
