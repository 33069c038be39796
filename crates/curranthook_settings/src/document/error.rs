use curranthook_types::{endpoint, version};

use crate::rollout::State;

/// Why an edit can't be applied to a document.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum Error {
    /// No site has the version.
    #[error("no site has version `{0}`")]
    UnknownVersion(version::Id),
    /// No site has the endpoint.
    #[error("no site has endpoint `{0}`")]
    UnknownEndpoint(endpoint::Id),
    /// The version is already withdrawn.
    #[error("version `{0}` is withdrawn already")]
    AlreadyWithdrawn(version::Id),
    /// The version isn't withdrawn.
    #[error("version `{0}` isn't withdrawn")]
    NotWithdrawn(version::Id),
    /// The endpoint is already drained.
    #[error("endpoint `{0}` is drained already")]
    AlreadyDrained(endpoint::Id),
    /// The endpoint isn't drained.
    #[error("endpoint `{0}` isn't drained")]
    NotDrained(endpoint::Id),
    /// The target of the roll-out is withdrawn.
    #[error("version `{0}` is withdrawn; reinstate it before rolling it out")]
    WithdrawnTarget(version::Id),
    /// The roll-out would replace a version by itself.
    #[error("a roll-out needs two versions, not `{0}` twice")]
    SameVersion(version::Id),
    /// The two versions of the roll-out belong to different models.
    #[error("`{from}` and `{to}` are versions of different models")]
    ModelMismatch {
        /// The version to replace.
        from: version::Id,
        /// The replacement.
        to: version::Id,
    },
    /// The stages are not ascending shares that end with 1.
    #[error("stages must be shares over 0 that rise and end with 1, such as 0.01, 0.1, 0.5, 1")]
    InvalidStages,
    /// The model has an active roll-out.
    #[error("model `{0}` has an active roll-out; abort it first")]
    AlreadyRunning(String),
    /// The model has no roll-out.
    #[error("model `{0}` has no roll-out")]
    NoRollout(String),
    /// An active roll-out refers to a version that no site would have any more.
    #[error("no site would have version `{0}`, which an active roll-out uses; abort it first")]
    VersionInRollout(version::Id),
    /// The roll-out's state does not allow the edit.
    #[error("the roll-out of `{model}` is {state}")]
    InvalidState {
        /// The model of the roll-out.
        model: String,
        /// The state of the roll-out.
        state: State,
    },
    /// The roll-out is no longer at the stage that the caller named.
    #[error("the roll-out of `{model}` is at stage {stage}")]
    StageMismatch {
        /// The model of the roll-out.
        model: String,
        /// The current stage.
        stage: usize,
    },
}

impl Error {
    /// Whether the edit would change nothing, as the document is already in the requested state.
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
