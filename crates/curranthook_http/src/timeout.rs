//! Time limits on futures.

use std::{future::Future, time::Duration};

use async_io::Timer;
use futures_lite::future;

/// The time limit passed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("timed out")]
pub struct Elapsed;

/// Runs `work` for at most `limit`, then drops it.
///
/// ```
/// # use std::time::Duration;
/// # use curranthook_http::timeout;
/// # async_io::block_on(async {
/// let late = timeout::run(Duration::from_millis(5), std::future::pending::<()>()).await;
/// assert_eq!(late, Err(timeout::Elapsed));
/// # });
/// ```
pub async fn run<F: Future>(time_limit: Duration, future: F) -> Result<F::Output, Elapsed> {
    future::or(async { Ok(future.await) }, async {
        Timer::after(time_limit).await;
        Err(Elapsed)
    })
    .await
}
