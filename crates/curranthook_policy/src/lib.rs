//! Decisions: versions, cascades, endpoints, verdicts, limits and retries.
//!
//! Nothing here does I/O, reads a clock or starts a thread. Time comes in as `now`, random
//! numbers from a seed, so a decision can be run again. Each decision returns its reason, and
//! the reason's `name()` is the last part of its counter.
//!
//! A request passes [`limit`] (is the account within its rate?), [`rollout`] and [`choice`]
//! (which version?), [`queue`] (when?), [`endpoint`] (where?), and, when that fails, [`retry`]
//! and [`poison`]. [`verdict`] watches the answers of each version. [`baseline`] holds the
//! plain strategies that ours are measured against.

pub mod baseline;
pub mod choice;
pub mod endpoint;
pub mod hash;
pub mod limit;
pub mod poison;
pub mod queue;
pub mod retry;
pub mod rollout;
pub mod verdict;
