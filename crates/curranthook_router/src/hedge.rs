//! A second attempt beside one that is unusually late.
//!
//! An open connection can go silent for good, and then nothing ever comes on it. One notices only
//! that an answer is late. A second attempt on a new connection then finds a way that works, long
//! before the caller's deadline.

use std::{pin::pin, time::Duration};

use async_io::Timer;
use futures_lite::future;

use crate::attempt::{Begun, Failed};

/// Runs `first` and, if it takes longer than `slow_after`, the attempt that `second` comes up with
/// beside it. Whichever succeeds first wins; the other is dropped, and its connection closed.
pub async fn run<T, F: Future<Output = Result<T, Failed>>>(
    slow_after: Duration,
    first: impl Future<Output = Result<T, Failed>>,
    second: impl Future<Output = Option<F>>,
) -> Result<T, Failed> {
    let mut first = pin!(first);
    let early = future::or(async { Some(first.as_mut().await) }, async {
        Timer::after(slow_after).await;
        None
    });
    if let Some(result) = early.await {
        return result;
    }
    let Some(second) = second.await else { return first.await };
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
fn worse(one: Failed, other: Failed) -> Failed {
    if one.begun == Begun::Perhaps { one } else { other }
}
