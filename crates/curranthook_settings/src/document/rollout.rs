//! Roll-outs: started, held, given up and moved on.

use curranthook_types::version;

use super::{Document, Error, Stamp};
use crate::rollout::{Rollout, State};

/// A roll-out to be started.
#[derive(Debug)]
pub struct Plan {
    /// The version that is replaced.
    pub from: version::Id,
    /// The version that replaces it.
    pub to: version::Id,
    /// The share that each stage gives to `to`: over 0, rising, the last one 1.
    pub stages: Vec<f64>,
}

impl Plan {
    fn check(&self) -> Result<(), Error> {
        if self.from == self.to {
            return Err(Error::SameVersion(self.to.clone()));
        }
        if self.from.model() != self.to.model() {
            return Err(Error::ModelMismatch { from: self.from.clone(), to: self.to.clone() });
        }
        let is_rising = self.stages.windows(2).all(|pair| pair[0] < pair[1]);
        let is_positive = self.stages.first().is_some_and(|it| 0.0 < *it);
        if is_rising && is_positive && self.stages.last() == Some(&1.0) {
            return Ok(());
        }
        Err(Error::InvalidStages)
    }
}

impl Document {
    /// The document with a roll-out begun at its first stage. One that is through or was given
    /// up is replaced, one under way is not.
    ///
    /// ```
    /// # use curranthook_settings::document::{Document, Error, Plan, Stamp};
    /// let stamp = Stamp { by: "lan", at_millis: 1, publication: "p1" };
    /// let plan = Plan { from: "m@1".into(), to: "m@2".into(), stages: vec![0.5, 0.1, 1.0] };
    /// assert_eq!(Document::default().start(&plan, &stamp), Err(Error::InvalidStages));
    /// ```
    pub fn start(&self, plan: &Plan, stamp: &Stamp<'_>) -> Result<Self, Error> {
        plan.check()?;
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

    /// The document in which the roll-out of `model` is held at its stage.
    ///
    /// ```
    /// # use curranthook_settings::document::{Document, Error, Stamp};
    /// let stamp = Stamp { by: "lan", at_millis: 1, publication: "p1" };
    /// assert_eq!(Document::default().pause("m", &stamp), Err(Error::NoRollout("m".into())));
    /// ```
    pub fn pause(&self, model: &str, stamp: &Stamp<'_>) -> Result<Self, Error> {
        self.change(model, stamp, &[State::Running], |it| it.state = State::Paused)
    }

    /// The document in which the roll-out of `model` moves on from the stage where it was held.
    /// The stage counts as begun anew: it is judged by what it shows from now on.
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
        self.change(model, stamp, &[State::Paused], |it| {
            it.state = State::Running;
            it.since_millis = stamp.at_millis;
        })
    }

    /// The document in which the roll-out of `model` is given up.
    ///
    /// ```
    /// # use curranthook_settings::document::{Document, Error, Stamp};
    /// let stamp = Stamp { by: "lan", at_millis: 1, publication: "p1" };
    /// assert_eq!(Document::default().abort("m", &stamp), Err(Error::NoRollout("m".into())));
    /// ```
    pub fn abort(&self, model: &str, stamp: &Stamp<'_>) -> Result<Self, Error> {
        self.change(model, stamp, &[State::Running, State::Paused], |it| {
            it.state = State::Aborted;
            it.since_millis = stamp.at_millis;
        })
    }

    /// The document in which the roll-out of `model` has left stage `from`.
    ///
    /// The caller names the stage that it judged: two stewards may both find a stage good, and
    /// without the name the second one's edit would skip the stage after it.
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
        self.change(model, stamp, &[State::Running], |it| {
            it.since_millis = stamp.at_millis;
            if it.stage + 1 < it.stages.len() {
                it.stage += 1;
            } else {
                it.state = State::Done;
            }
        })
    }

    /// Refuses a document in which a roll-out under way names a version that no site has, as
    /// happens when files without the version are published. New sessions would be sent to a
    /// version that nothing serves.
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

    fn change(
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
