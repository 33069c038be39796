//! Stores what endpoints state of the rejections that they bear, for nodes that start while no other
//! runs.

use std::time::Duration;

use super::{Writer, encode};
use crate::{
    brittle::Statement,
    fleet::{self, Key},
    load::reports::statements::Stored,
    store::{Rev, Table},
};

/// The minimum interval between two writes of the same statement.
const REFRESH_INTERVAL: Duration = Duration::from_secs(60);
/// The minimum interval between two writes for a service. The node hears of its own write somewhat
/// later.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

impl Writer {
    /// Writes the statements that this node is the first to write, if they changed or the stored ones
    /// are old.
    pub(super) async fn write_statements(&mut self) {
        let Some(store_time) = self.gateway.store_time() else { return };
        let now = self.gateway.now();
        let statements: Vec<(String, Statement)> = {
            let directory = self.gateway.directory.lock();
            directory.statements(now).map(|(service, it)| (service.to_owned(), it)).collect()
        };
        for (service, Statement { max_rejections, since, .. }) in statements {
            let written_at = self.statements_written_at.get(&service);
            let is_recent = written_at.is_some_and(|it| now < *it + MIN_INTERVAL);
            if is_recent || 0 < fleet::rank(&self.gateway, &service) {
                continue;
            }
            let key = Key::Brittle(&service).to_string();
            let row = self.gateway.mirror.lock().stored_row(Table::Fleet, &key);
            let stored: Option<Stored> =
                row.as_ref().and_then(|it| serde_json::from_slice(it.value.as_deref()?).ok());
            let is_stored = stored.is_some_and(|it| {
                it.max_rejections == max_rejections && store_time < it.at + REFRESH_INTERVAL
            });
            if is_stored {
                continue;
            }
            let expected = row.map_or(Rev(0), |it| it.rev);
            let since = store_time.saturating_sub(now.saturating_duration_since(since));
            let value = encode(&Stored { max_rejections, since, at: store_time });
            // A failed write was logged, and is repeated after the interval.
            let _failed = self.write(&key, Some(expected), &value, None).await;
            self.statements_written_at.insert(service, now);
        }
    }
}
