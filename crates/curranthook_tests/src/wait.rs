use std::{
    future::Future,
    time::{Duration, Instant},
};

use anyhow::bail;
use async_io::Timer;

/// Asks `is_so` again and again until it says yes, at most until `limit` has passed.
///
/// ```
/// # use std::time::Duration;
/// # curranthook_tests::run(async {
/// let late = curranthook_tests::eventually(Duration::from_millis(50), async || Ok(false)).await;
/// assert!(late.is_err());
/// # });
/// ```
pub async fn eventually<F: Future<Output = anyhow::Result<bool>>>(
    limit: Duration,
    mut is_so: impl FnMut() -> F,
) -> anyhow::Result<()> {
    const PAUSE: Duration = Duration::from_millis(20);
    let start = Instant::now();
    while !is_so().await? {
        if limit < start.elapsed() {
            bail!("it wasn't so within {limit:?}");
        }
        Timer::after(PAUSE).await;
    }
    Ok(())
}
