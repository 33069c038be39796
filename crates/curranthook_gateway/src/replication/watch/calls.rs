//! Calls to the store for the rows of a table.

use std::{task::Poll, time::Duration};

use futures_lite::{
    FutureExt,
    future::{self, Boxed},
};

use super::Shared;
use crate::{
    Gateway,
    store::{Batch, Error, Rev, Table},
};

/// Runs a call to the store. None if an outage of the store ended meanwhile: a call made during the
/// outage may hang.
pub(super) async fn unless_store_recovered<T>(
    shared: &Shared,
    call: impl Future<Output = Result<T, Error>>,
) -> Option<Result<T, Error>> {
    let recovered = shared.store_recovered.wait();
    future::or(async { Some(call.await) }, async {
        recovered.await;
        None
    })
    .await
}

pub(super) async fn call_store(
    gateway: &Gateway,
    table: Table,
    since: Option<(Rev, Duration)>,
) -> Result<Batch, Error> {
    let store = &gateway.store;
    let result = match since {
        Some((since, wait)) => store.changes(table, since, wait).await,
        None => store.all(table).await,
    };
    gateway.metrics.record_store_call(table, &result);
    if let Ok(batch) = &result {
        let now = gateway.now();
        gateway.mirror.lock().record_answer(table, batch, now);
        gateway.currency_changed.wake();
    }
    result
}

/// The first successful answer to any of `calls`, or the failure of the newest. The failure of an
/// older call says nothing about the current state of the store.
pub(super) async fn first_answer(
    calls: &mut Vec<Boxed<Result<Batch, Error>>>,
) -> Result<Batch, Error> {
    future::poll_fn(|cx| {
        let mut index = 0;
        while index < calls.len() {
            let Poll::Ready(result) = calls[index].poll(cx) else {
                index += 1;
                continue;
            };
            drop(calls.remove(index));
            let is_newest = index == calls.len();
            match result {
                Err(e) if !is_newest => log::debug!("an earlier first read failed: {e}"),
                decided => return Poll::Ready(decided),
            }
        }
        Poll::Pending
    })
    .await
}
