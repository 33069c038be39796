//! Calls that do not wait, made when the answer to one that waits for changes seems to be lost.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_io::Timer;
use futures_lite::future;

use super::calls::call_store;
use crate::{
    Gateway, apply,
    event::Event,
    replication::{
        currency::GRACE,
        peers::{self, Received},
    },
    store::{Batch, Error, Rev, Table},
};

/// The minimum interval between such calls for a table. A change that is missed right after one is
/// still known in time.
pub(super) const MIN_INTERVAL: Duration = Duration::from_millis(1_400);

/// The revision since which changes are waited for; never returns before all rows have been read.
pub(super) async fn since(known: Option<Rev>) -> Rev {
    match known {
        Some(it) => it,
        None => future::pending().await,
    }
}

/// Asks the store for changes after `since` whenever there seem to be some that another call, which
/// waits for them, has not returned. Returns the first ones.
pub(super) async fn query_store(
    gateway: &Arc<Gateway>,
    table: Table,
    since: Rev,
) -> Result<Batch, Error> {
    let mut pause = GRACE;
    loop {
        wait(gateway, table, std::mem::replace(&mut pause, MIN_INTERVAL)).await;
        match call_store(gateway, table, Some((since, Duration::ZERO))).await {
            Ok(batch) if batch.rows.is_empty() => {
                log(gateway, table, "none", "store");
                apply::batch(gateway, table, batch, false, "store");
            }
            // The store turns calls away, and may have accepted the one that waits.
            Err(Error::Down(why)) => log::debug!("suspect call: {why}"),
            result => {
                log(gateway, table, if result.is_ok() { "missed" } else { "failed" }, "store");
                return result;
            }
        }
    }
}

/// The same at a parent.
pub(super) async fn query_parent(
    gateway: &Arc<Gateway>,
    parent: SocketAddr,
    table: Table,
    since: Rev,
    max_age: Duration,
) -> Result<Received, Error> {
    let mut pause = GRACE;
    loop {
        wait(gateway, table, std::mem::replace(&mut pause, MIN_INTERVAL)).await;
        match peers::changes(gateway, parent, table, since, Duration::ZERO, max_age).await {
            Ok(rows) if rows.batch.rows.is_empty() => {
                log(gateway, table, "none", "parent");
                rows.apply(gateway, table, false, "parent");
            }
            result => {
                log(gateway, table, if result.is_ok() { "missed" } else { "failed" }, "parent");
                return result;
            }
        }
    }
}

/// Waits for `pause`, and until a change of a table seems to have been missed.
async fn wait(gateway: &Gateway, table: Table, pause: Duration) {
    Timer::after(pause).await;
    loop {
        let changed = gateway.currency_changed.wait();
        let suspect_in = gateway.mirror.lock().suspect_in(table, gateway.now());
        match suspect_in {
            Some(Duration::ZERO) => return,
            Some(pause) => {
                let over = async {
                    Timer::after(pause).await;
                };
                future::or(changed, over).await;
            }
            None => changed.await,
        }
    }
}

fn log(gateway: &Gateway, table: Table, changes: &'static str, from: &'static str) {
    gateway.metrics.record_suspect_call(changes);
    let table = super::table_name(table);
    gateway.log.write(&Event::SuspectCall { table, changes, from });
}
