use curranthook_types::{endpoint, version};

use crate::rollout::State;

/// Why an edit makes no sense for the document as it is.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum Error {
    /// No site has the version.
    #[error("no site has version `{0}`")]
    UnknownVersion(version::Id),
    /// No site has the endpoint.
    #[error("no site has endpoint `{0}`")]
    UnknownEndpoint(endpoint::Id),
    /// The version is withdrawn already.
    #[error("version `{0}` is withdrawn already")]
    AlreadyWithdrawn(version::Id),
    /// The version isn't withdrawn.
    #[error("version `{0}` isn't withdrawn")]
    NotWithdrawn(version::Id),
    /// The endpoint is drained already.
    #[error("endpoint `{0}` is drained already")]
    AlreadyDrained(endpoint::Id),
    /// The endpoint isn't drained.
    #[error("endpoint `{0}` isn't drained")]
    NotDrained(endpoint::Id),
    /// A roll-out to a withdrawn version.
    #[error("version `{0}` is withdrawn; reinstate it before rolling it out")]
    WithdrawnTarget(version::Id),
    /// A roll-out from a version to itself.
    #[error("a roll-out needs two versions, not `{0}` twice")]
    SameVersion(version::Id),
    /// A roll-out from one model to another.
    #[error("`{from}` and `{to}` are versions of different models")]
    ModelMismatch {
        /// The version to be replaced.
        from: version::Id,
        /// The version to replace it.
        to: version::Id,
    },
    /// The stages aren't shares that rise up to 1.
    #[error("stages must be shares over 0 that rise and end with 1, such as 0.01, 0.1, 0.5, 1")]
    InvalidStages,
    /// The model has a roll-out under way.
    #[error("model `{0}` has a roll-out under way; abort it first")]
    AlreadyRunning(String),
    /// The model has no roll-out.
    #[error("model `{0}` has no roll-out")]
    NoRollout(String),
    /// A roll-out under way names a version that no site has any more.
    #[error("no site would have version `{0}`, which a roll-out under way names; abort it first")]
    VersionInRollout(version::Id),
    /// The roll-out's state doesn't allow this.
    #[error("the roll-out of `{model}` is {state}")]
    InvalidState {
        /// The model.
        model: String,
        /// The state that it's in.
        state: State,
    },
    /// The roll-out has moved on since the caller looked.
    #[error("the roll-out of `{model}` is at stage {stage}")]
    StageMismatch {
        /// The model.
        model: String,
        /// The stage in force.
        stage: usize,
    },
}

impl Error {
    /// Whether the document already is as the edit would leave it.
    ///
    /// ```
    /// # use curranthook_settings::document::Error;
    /// assert!(Error::AlreadyWithdrawn("m@1".into()).is_unchanged());
    /// assert!(!Error::UnknownVersion("m@1".into()).is_unchanged());
    /// ```
    pub fn is_unchanged(&self) -> bool {
        matches!(
            self,
            Self::AlreadyWithdrawn(_)
                | Self::NotWithdrawn(_)
                | Self::AlreadyDrained(_)
                | Self::NotDrained(_)
        )
    }
}
