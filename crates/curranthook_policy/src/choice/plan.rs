//! The result of version selection.

use curranthook_types::version;

/// The versions selected for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The version called first.
    pub first: version::Id,
    /// The version called if the first answer is rated too low. The first answer is held back until
    /// it is rated.
    pub second: Option<version::Id>,
    /// Whether the answer is sent to the rating service after it was returned.
    pub sample: Sample,
    /// Why this plan was selected.
    pub reason: Reason,
}

/// Whether an answer is sent to the rating service after it was returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sample {
    /// The answer is rated.
    Rate,
    /// The answer is not rated.
    Skip,
}

/// Why a plan was selected. Each reason has a counter, `choice.<name>`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The cheapest version that meets the target with confidence.
    Confident,
    /// A cheap version, with a more expensive one as second stage.
    Cascade,
    /// One of two versions or cascades that together meet the target on average.
    Mix,
    /// A version that needs more ratings.
    Explore,
    /// The only version that may be used.
    Only,
    /// The version with the best estimate, as none meets the target with confidence.
    BestEffort,
    /// The fixed rule of a baseline.
    Fixed,
}

impl Reason {
    /// The last part of the counter's name, `choice.<name>`.
    ///
    /// ```
    /// # use curranthook_policy::choice::Reason;
    /// assert_eq!(Reason::BestEffort.name(), "best_effort");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::Confident => "sure",
            Self::Cascade => "cascade",
            Self::Mix => "mix",
            Self::Explore => "explore",
            Self::Only => "only",
            Self::BestEffort => "best_effort",
            Self::Fixed => "fixed",
        }
    }
}
