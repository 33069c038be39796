//! A second attempt beside one that is unusually late.
//!
//! An open connection can go silent for good, and then nothing ever comes on it. One notices only
//! that an answer is late. A second attempt on a new connection then finds a way that works, long
//! before the caller's deadline.

use std::{pin::pin, time::Duration};

use async_io::Timer;
use futures_lite::future;

use crate::attempt::{Execution, Failure};

/// The pause before a second attempt is asked for again.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Runs `first` and, if it takes longer than `hedge_delay`, the attempt that `second` gives beside
/// it; while that gives none it is asked again. Whichever attempt succeeds first wins; the other
/// is dropped, and its connection closed.
pub async fn run<T, F, S>(
    hedge_delay: Duration,
    first: impl Future<Output = Result<T, Failure>>,
    mut second: impl FnMut() -> S,
) -> Result<T, Failure>
where
    F: Future<Output = Result<T, Failure>>,
    S: Future<Output = Option<F>>,
{
    let mut first = pin!(first);
    let mut delay = hedge_delay;
    let second = loop {
        let early = future::or(async { Some(first.as_mut().await) }, async {
            Timer::after(delay).await;
            None
        });
        if let Some(result) = early.await {
            return result;
        }
        if let Some(second) = second().await {
            break second;
        }
        delay = RETRY_INTERVAL;
    };
    let mut second = pin!(second);
    let first_attempt = async { (Attempt::First, first.as_mut().await) };
    let second_attempt = async { (Attempt::Second, second.as_mut().await) };
    match future::or(first_attempt, second_attempt).await {
        (_, Ok(it)) => Ok(it),
        (Attempt::First, Err(failure)) => second.await.map_err(|it| prefer_unknown(failure, it)),
        (Attempt::Second, Err(failure)) => first.await.map_err(|it| prefer_unknown(failure, it)),
    }
}

/// Which of the two attempts ended.
enum Attempt {
    First,
    Second,
}

/// Of two failures, the one that may have run, so that a refusal stays true.
fn prefer_unknown(one: Failure, other: Failure) -> Failure {
    if one.execution == Execution::Unknown { one } else { other }
}
