//! Hedged requests: a second attempt in parallel with one that is unusually late.
//!
//! An open connection can stop delivering data without being closed; the only sign is a late
//! response. A second attempt on a new connection then succeeds long before the caller's deadline.

use std::{pin::pin, time::Duration};

use async_io::Timer;
use futures_lite::future;

use crate::attempt::{Execution, Failure};

/// The delay before `second` is called again after it returned no attempt.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Runs `first` and, if it takes longer than `hedge_delay`, the attempt that `second` returns in
/// parallel with it; while `second` returns `None`, it is called again. The attempt that succeeds
/// first wins; the other is dropped, and its connection closed.
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
        let first_or_timer = future::or(async { Some(first.as_mut().await) }, async {
            Timer::after(delay).await;
            None
        });
        if let Some(result) = first_or_timer.await {
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

/// Which of the two attempts finished.
enum Attempt {
    First,
    Second,
}

/// Of two failures, returns the one whose request may have been executed, so that the refusal does
/// not claim that nothing was executed.
fn prefer_unknown(one: Failure, other: Failure) -> Failure {
    if one.execution == Execution::Unknown { one } else { other }
}
