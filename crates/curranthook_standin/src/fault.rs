//! Faults that strike always or a number of times.

use serde::{Deserialize, Serialize};

/// How often a fault strikes: `true` for always, or a number of times.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Count {
    /// Always or never.
    Always(bool),
    /// The next so many times.
    Next(u64),
}

impl Default for Count {
    fn default() -> Self {
        Self::Always(false)
    }
}

impl Count {
    /// Whether the fault strikes now; counts it.
    ///
    /// ```
    /// use curranthook_standin::fault::Count;
    /// let mut once = Count::Next(1);
    /// assert!(once.strikes());
    /// assert!(!once.strikes());
    /// ```
    pub fn strikes(&mut self) -> bool {
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
