//! How often an injected fault applies.

use serde::{Deserialize, Serialize};

/// How often a fault applies: `true` for always, `false` for never, or a number of times.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Count {
    /// Always or never.
    Always(bool),
    /// The next N times.
    Next(u64),
}

impl Default for Count {
    fn default() -> Self {
        Self::Always(false)
    }
}

impl Count {
    /// Returns whether the fault applies now, and decrements the remaining count if it does.
    ///
    /// ```
    /// use curranthook_standin::fault::Count;
    /// let mut once = Count::Next(1);
    /// assert!(once.triggers());
    /// assert!(!once.triggers());
    /// ```
    pub fn triggers(&mut self) -> bool {
        match self {
            Self::Always(always) => *always,
            Self::Next(0) => false,
            Self::Next(n) => {
                *n -= 1;
                true
            }
        }
    }
}
