//! Which versions are asked.

use curranthook_types::version;

/// Which versions to ask.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The version to ask first.
    pub first: version::Id,
    /// The version to ask when the first one's answer is rated too low. The first answer is
    /// held back until it is rated.
    pub second: Option<version::Id>,
    /// Whether to have the answer rated after it was given out.
    pub sample: Sample,
    /// Why.
    pub reason: Reason,
}

/// Whether an answer is sent to the rater after it was given out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sample {
    /// It is.
    Rate,
    /// It isn't.
    Skip,
}

/// Why a plan was chosen. Each has its counter, `choice.<name>`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The cheapest version that surely meets the target.
    Confident,
    /// A cheap version, with a dearer one behind it.
    Cascade,
    /// One of two ways that together meet the target on average.
    Mix,
    /// A version about which more must be known.
    Explore,
    /// No other version may be used.
    Only,
    /// Nothing surely meets the target; this is the best known.
    BestEffort,
    /// A baseline's fixed rule.
    Fixed,
}

impl Reason {
    /// The last part of the counter's name.
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
