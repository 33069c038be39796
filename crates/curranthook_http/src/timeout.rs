//! Time limits on futures.

use std::{future::Future, time::Duration};

use async_io::Timer;
use futures_lite::future;

/// The time limit was exceeded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("timed out")]
pub struct Elapsed;

/// Runs `future` for at most `time_limit`, then drops it.
///
/// ```
/// # use std::time::Duration;
/// # use curranthook_http::timeout;
/// # async_io::block_on(async {
/// let result = timeout::run(Duration::from_millis(5), std::future::pending::<()>()).await;
/// assert_eq!(result, Err(timeout::Elapsed));
/// # });
/// ```
pub async fn run<F: Future>(time_limit: Duration, future: F) -> Result<F::Output, Elapsed> {
    future::or(async { Ok(future.await) }, async {
        Timer::after(time_limit).await;
        Err(Elapsed)
    })
    .await
}
