//! What a node does when the store comes back from a copy some seconds old.
//!
//! A new era begins: what was written last is lost, and rows are as they were before. Those who wrote
//! the lost rows write them again. Until then, a node goes by what it knows: rows that the copy lacks
//! stay in use for a while, and rows that the copy has in an older state are withheld. The rows that
//! nodes write are never dropped, as each of them writes its own again.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use async_io::Timer;
use curranthook_types::endpoint;

use crate::{
    Gateway, apply,
    entry::State,
    event::Event,
    fleet,
    fleet_writer::restoration,
    replication::{mirror::Mirror, watch::table_name},
    store::{Batch, Era, Operator, Row, Table},
};

/// How long after the beginning of an era a configuration that the store has lost is passed on to
/// nodes that start. The operator writes it again long before that.
pub const CONFIGURATION_TIME: Duration = Duration::from_secs(60);
/// How long rows are used that the store has lost. Those who wrote them write them again within two
/// seconds.
const LOST_ROW_TIME: Duration = Duration::from_millis(2_200);
/// How long an older state of an operator's row is withheld, for which the operator writes the newer
/// one again.
const WITHHELD_OPERATOR_TIME: Duration = Duration::from_secs(4);
/// The same for an endpoint that has left. By then its entry is gone, unless it is running.
const WITHHELD_ENDPOINT_TIME: Duration = Duration::from_secs(6);

/// When the store's eras began, as far as this node knows.
#[derive(Debug, Default)]
pub struct Eras {
    /// The newest era of each table, and when the first node read the table in it.
    began: HashMap<Table, (Era, Instant)>,
    /// Steps of rollouts that other nodes know and the store has lost, whose orders have not been
    /// received yet.
    lost_steps: Vec<Row>,
    /// The nodes among the first rows of the fleet table, until all of them have been read.
    pub first_nodes: Vec<SocketAddr>,
}

impl Eras {
    /// Records that a node read a table in `era` at `at`. Returns when the first node did.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use curranthook_gateway::{replication::eras::Eras, store::Table};
    /// let (mut eras, now) = (Eras::default(), Instant::now());
    /// let before = now - Duration::from_secs(1);
    /// assert_eq!(eras.record(Table::Operator, 1, before), before);
    /// assert_eq!(eras.record(Table::Operator, 1, now), before);
    /// assert_eq!(eras.record(Table::Operator, 2, now), now);
    /// ```
    pub fn record(&mut self, table: Table, era: Era, at: Instant) -> Instant {
        let began = self.began.entry(table).or_insert((era, at));
        if began.0 < era {
            *began = (era, at);
        } else if began.0 == era {
            began.1 = began.1.min(at);
        }
        began.1
    }

    /// Keeps the steps among `rows` of the fleet table, which the store has lost, for their orders.
    pub fn keep_steps(&mut self, rows: &[Row]) {
        let is_step = |it: &&Row| matches!(fleet::Key::parse(&it.key), Some(fleet::Key::Step(_)));
        self.lost_steps = rows.iter().filter(is_step).cloned().collect();
    }

    /// The steps of a service that were kept for its order, which has been received.
    pub fn take_steps(&mut self, service: &str) -> Vec<Row> {
        let key = fleet::Key::Step(service).to_string();
        self.lost_steps.extract_if(.., |it| *it.key == *key).collect()
    }

    /// When the first node read a table in `era`; none if it is not the newest one.
    pub fn began_at(&self, table: Table, era: Era) -> Option<Instant> {
        self.began.get(&table).filter(|(it, _)| *it == era).map(|(_, at)| *at)
    }
}

/// Whether a read of a whole table is the first of a later era than the rows that the mirror has.
pub fn begins(mirror: &Mirror, table: Table, batch: &Batch) -> bool {
    let has_rows = mirror.has_read(table) || 0 < mirror.n_rows(table);
    has_rows && mirror.rev(table).era() < batch.rev.era()
}

/// Handles the first read of a table in a new era. Removes the rows from `batch` that are withheld,
/// which are applied later if the store still has them.
pub fn begin(gateway: &Arc<Gateway>, table: Table, batch: &mut Batch) {
    let known = gateway.mirror.lock().rev(table);
    let withheld: Vec<Row> = match table {
        Table::Fleet => Vec::new(),
        _ => batch.rows.extract_if(.., |it| is_outdated(gateway, table, it)).collect(),
    };
    gateway.log.write(&Event::Era {
        table: table_name(table),
        era: batch.rev.era(),
        rev: batch.rev.number(),
        known_rev: known.number(),
        withheld: withheld.len(),
    });
    let began_at = gateway.eras.lock().record(table, batch.rev.era(), gateway.now());
    if table != Table::Fleet {
        let settle = settle(Arc::clone(gateway), table, batch.rev.era(), withheld, began_at);
        gateway.ex.spawn(settle).detach();
    }
}

/// Whether a row of a new era is an older state of what this node knows.
pub fn is_outdated(gateway: &Gateway, table: Table, row: &Row) -> bool {
    match table {
        // A configuration has a version of its own, which tells whether it is older.
        Table::Operator => !is_document(gateway, row) && is_behind(gateway, table, row),
        Table::Endpoints => has_left(gateway, row),
        Table::Fleet => is_behind(gateway, table, row),
    }
}

fn is_document(gateway: &Gateway, row: &Row) -> bool {
    document_version(gateway, row).is_some()
}

/// The version of the configuration in a row of the operators; none if the row contains none.
pub fn document_version(gateway: &Gateway, row: &Row) -> Option<u64> {
    match gateway.decoder.operator(&row.key, row.value.as_ref()?) {
        Ok(Operator::Document(document)) => Some(document.version),
        _ => None,
    }
}

/// Whether a row of the store is an older state of one that was written in an earlier era.
pub fn is_older(gateway: &Gateway, table: Table, stored: &Row, lost: &Row) -> bool {
    let version = |it| document_version(gateway, it);
    match (table, version(stored), version(lost)) {
        (Table::Operator, Some(stored), Some(lost)) => stored < lost,
        _ => stored.rev.number() < lost.rev.number() && stored.value != lost.value,
    }
}

/// How long after the beginning of an era nodes go by newer rows than the copy's.
pub fn withheld_time(table: Table) -> Duration {
    match table {
        Table::Operator => WITHHELD_OPERATOR_TIME,
        Table::Endpoints => WITHHELD_ENDPOINT_TIME,
        Table::Fleet => restoration::MAX_SPREAD,
    }
}

/// Whether the row was written before the known one, which the store has lost.
fn is_behind(gateway: &Gateway, table: Table, row: &Row) -> bool {
    let known = gateway.mirror.lock().newest(table, &row.key);
    known.is_some_and(|it| is_older(gateway, table, row, &it))
}

/// Whether the row of an endpoint lists it as ready although it has left.
fn has_left(gateway: &Gateway, row: &Row) -> bool {
    let id = endpoint::Id::new(&*row.key);
    let entry = row.value.as_ref().and_then(|it| gateway.decoder.endpoint(&id, it).ok());
    let Some(entry) = entry.filter(|it| it.state == State::Ready) else { return false };
    let directory = gateway.directory.lock();
    match directory.get(&id) {
        Some(known) => known.entry.started_ms == entry.started_ms && !known.is_ready(),
        None => gateway.mirror.lock().is_removed(Table::Endpoints, &row.key),
    }
}

/// Drops the rows that the store has lost for good, and applies those that were withheld and that it
/// still has.
async fn settle(
    gateway: Arc<Gateway>,
    table: Table,
    era: Era,
    withheld: Vec<Row>,
    began_at: Instant,
) {
    let until = |time| (began_at + time).saturating_duration_since(gateway.now());
    Timer::after(until(LOST_ROW_TIME)).await;
    let is_over = || gateway.mirror.lock().rev(table).era() != era;
    if is_over() {
        return;
    }
    let kept = withheld.iter().map(|it| &*it.key).collect();
    let lost = gateway.mirror.lock().remove_lost(table, &kept);
    apply::rows(&gateway, table, &lost, "era");
    Timer::after(until(withheld_time(table))).await;
    if is_over() || withheld.is_empty() {
        return;
    }
    // A row that was written or removed since has a later revision.
    let rev = gateway.mirror.lock().rev(table);
    let batch = Batch { rows: withheld, rev, now: None };
    apply::batch(&gateway, table, batch, false, "era");
}
