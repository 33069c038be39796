//! The first reads of a table, before changes of it can be waited for.

use std::{sync::Arc, time::Duration};

use curranthook_http::timeout;

use super::{
    Origin, Update, Watch,
    calls::{call_store, first_answer, unless_store_recovered},
};
use crate::{
    fleet,
    replication::peers::{self, Received},
    store::{Batch, Error, Table},
};

/// The number of rows of the fleet table that a starting node reads from the store. They include the
/// tree, and all rows of a fleet that has none.
const FIRST_FLEET_ROWS: usize = 40;
/// How long to wait for the first call for the configuration before another one is made in
/// parallel. A call made while the store does not answer hangs until its own timeout, even if the
/// store recovers long before that. A slow store still answers the earlier call.
const FIRST_CALL_INTERVAL: Duration = Duration::from_millis(600);

impl Watch {
    /// Reads the first rows of the fleet table from the store, or the tree from another node if the
    /// store cannot be reached. Returns the rows if they are all of the table. None if an outage of
    /// the store ended meanwhile.
    pub(super) async fn read_first_rows(&mut self) -> Option<Result<Option<Update>, Error>> {
        let store = Arc::clone(&self.gateway.store);
        let call = unless_store_recovered(&self.shared, store.first(self.table, FIRST_FLEET_ROWS));
        let result = call.await?;
        self.gateway.metrics.record_store_call(self.table, &result);
        let page = match result {
            Ok(page) => page,
            Err(e) => {
                if let Some(tree) = peers::query_tree(&self.gateway).await {
                    self.gateway.receive_tree(tree);
                }
                return Some(Err(e));
            }
        };
        if !page.has_more {
            let rows = Received::from(page.batch);
            return Some(Ok(Some(Update { rows, origin: Origin::Store, is_snapshot: true })));
        }
        let key = fleet::Key::Tree.to_string();
        let tree = page.batch.rows.iter().find(|it| *it.key == *key);
        if let Some(row) = tree {
            fleet::apply_row(&self.gateway, row);
        }
        let nodes = fleet::addrs(&page.batch.rows, &self.gateway.settings.node);
        self.gateway.eras.lock().first_nodes = nodes;
        self.gateway.rows_changed.wake();
        Some(Ok(None))
    }

    pub(super) async fn read_all(&mut self) -> Option<Result<Batch, Error>> {
        if self.table == Table::Operator {
            return Some(self.read_configuration().await);
        }
        unless_store_recovered(&self.shared, call_store(&self.gateway, self.table, None)).await
    }

    /// Makes another call for the whole configuration, and waits for it and the earlier ones.
    async fn read_configuration(&mut self) -> Result<Batch, Error> {
        let (gateway, table) = (Arc::clone(&self.gateway), self.table);
        self.first_calls.push(Box::pin(async move { call_store(&gateway, table, None).await }));
        let read = timeout::run(FIRST_CALL_INTERVAL, first_answer(&mut self.first_calls)).await;
        let result = read.unwrap_or_else(|e| Err(Error::Lost(e.to_string())));
        if result.is_ok() {
            self.first_calls.clear();
        }
        result
    }
}
