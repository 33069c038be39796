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
const AGAIN: Duration = Duration::from_millis(100);

/// Runs `first` and, if it takes longer than `slow_after`, the attempt that `second` gives beside
/// it; while that gives none it is asked again. Whichever attempt succeeds first wins; the other
/// is dropped, and its connection closed.
pub async fn run<T, F, S>(
    slow_after: Duration,
    first: impl Future<Output = Result<T, Failure>>,
    mut second: impl FnMut() -> S,
) -> Result<T, Failure>
where
    F: Future<Output = Result<T, Failure>>,
    S: Future<Output = Option<F>>,
{
    let mut first = pin!(first);
    let mut pause = slow_after;
    let second = loop {
        let early = future::or(async { Some(first.as_mut().await) }, async {
            Timer::after(pause).await;
            None
        });
        if let Some(result) = early.await {
            return result;
        }
        if let Some(second) = second().await {
            break second;
        }
        pause = AGAIN;
    };
    let mut second = pin!(second);
    let left = async { (Place::First, first.as_mut().await) };
    let right = async { (Place::Second, second.as_mut().await) };
    match future::or(left, right).await {
        (_, Ok(it)) => Ok(it),
        (Place::First, Err(failed)) => second.await.map_err(|it| worse(failed, it)),
        (Place::Second, Err(failed)) => first.await.map_err(|it| worse(failed, it)),
    }
}

/// Which of the two attempts ended.
enum Place {
    First,
    Second,
}

/// Of two failures, the one that may have run, so that a refusal stays true.
fn worse(one: Failure, other: Failure) -> Failure {
    if one.execution == Execution::Unknown { one } else { other }
}
