//! Decisions: version selection, load balancing, quality tests, rate limits, queueing and retries.
//!
//! Nothing here does I/O, reads a clock or starts a thread. Time is passed in as `now` and random
//! numbers come from a seed, so every decision is reproducible. Each decision returns its reason,
//! and the reason's `name()` can be used as the last part of a counter's name.
//!
//! A request passes [`limit`] (is the account within its rate limit?), [`rollout`] and [`choice`]
//! (which version?), [`queue`] (when?), [`endpoint`] (where?) and, on failure, [`retry`] and
//! [`poison`]. [`rank`] orders requests that compete for the same engines, and [`price`] says what
//! the largest model costs them; [`admission`] refuses those that no endpoint can be expected to
//! serve, given the [`utilization`] of engines by more urgent ones, and [`refused`] says which of
//! them return. [`slowdown`] estimates the speed
//! of endpoints that report it.
//! [`verdict`] tests the answers of each version for a drop in quality. [`baseline`]
//! has simple strategies to compare with.

pub mod admission;
pub mod baseline;
pub mod choice;
pub mod endpoint;
pub mod hash;
pub mod limit;
pub mod poison;
pub mod price;
pub mod queue;
pub mod rank;
pub mod refused;
pub mod retry;
pub mod rollout;
pub mod slowdown;
pub mod suspects;
pub mod utilization;
pub mod verdict;
