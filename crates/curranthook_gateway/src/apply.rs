//! Applies changed rows of the store to the node's state.

use std::{collections::HashSet, sync::Arc};

use curranthook_types::{domain, endpoint};

use crate::{
    Gateway,
    entry::{Entry, State},
    event::Event,
    fleet,
    gateway::Configuration,
    lease::log_transitions,
    replication::{eras, watch::table_name},
    store::{Batch, Operator, Row, Table},
};

/// The maximum number of endpoints that have a line each in the log when a node first reads them.
/// Lines of thousands of endpoints would take a small node longer than their rows.
const MAX_FIRST_LINES: usize = 250;

/// Applies rows of a table. If `is_snapshot` is set, rows that are not in the batch do not exist.
pub fn batch(
    gateway: &Arc<Gateway>,
    table: Table,
    mut batch: Batch,
    is_snapshot: bool,
    from: &str,
) {
    if let Some(now) = batch.now {
        gateway.mirror.lock().set_clock(now, gateway.now());
    }
    let rev = batch.rev;
    let begins_era = is_snapshot && eras::begins(&gateway.mirror.lock(), table, &batch);
    if begins_era {
        eras::begin(gateway, table, &mut batch);
    }
    // The mirror contains what the store has, so that nodes write again what is outdated.
    let outdated: HashSet<Arc<str>> = match begins_era && table == Table::Fleet {
        true => {
            let outdated = batch.rows.iter().filter(|it| eras::is_outdated(gateway, table, it));
            outdated.map(|it| Arc::clone(&it.key)).collect()
        }
        false => HashSet::new(),
    };
    let (is_first, mut changed) = {
        let mut mirror = gateway.mirror.lock();
        let is_first = !mirror.has_read(table);
        let changed =
            if is_snapshot { mirror.replace(table, batch) } else { mirror.merge(table, batch) };
        (is_first, changed)
    };
    changed.retain(|it| !outdated.contains(&it.key));
    let start = (is_first && table == Table::Fleet).then(|| {
        let rows = gateway.mirror.lock().batch(Table::Fleet).rows;
        fleet::Start::detect(&gateway.settings.node, gateway.settings.is_first_start, &rows)
    });
    let is_summarized = is_snapshot && is_first && MAX_FIRST_LINES < changed.len();
    let detail = if is_summarized { Detail::Summary } else { Detail::Lines };
    apply_rows(gateway, table, &changed, detail, from);
    if let Some(start) = start {
        fleet::record_start(gateway, start);
    }
    if is_snapshot {
        let (table, rows) = (table_name(table), changed.len());
        let (era, rev) = (rev.era(), rev.number());
        gateway.log.write(&Event::TableRead { table, rows, era, rev, from });
    }
    // Signalled last, because the woken tasks read the state changed above. A snapshot is signalled
    // even if it changes nothing: requests may be waiting for the first read of an empty table.
    if !changed.is_empty() || is_snapshot {
        gateway.rows_changed.wake();
    }
}

/// Applies rows of earlier eras, which the store may have lost, before the first read of a later era.
/// The read withholds what is older.
pub fn lost_rows(gateway: &Arc<Gateway>, table: Table, rows: &[Row], from: &str) {
    {
        let mut mirror = gateway.mirror.lock();
        rows.iter().for_each(|it| mirror.insert_lost(table, it));
    }
    apply_rows(gateway, table, rows, Detail::Lines, from);
}

/// Applies rows that the mirror already contains.
pub fn rows(gateway: &Arc<Gateway>, table: Table, rows: &[Row], from: &str) {
    apply_rows(gateway, table, rows, Detail::Lines, from);
    if !rows.is_empty() {
        gateway.rows_changed.wake();
    }
}

fn apply_rows(gateway: &Arc<Gateway>, table: Table, rows: &[Row], detail: Detail, from: &str) {
    for row in rows {
        match table {
            Table::Operator => apply_operator_row(gateway, row, from),
            Table::Endpoints => apply_endpoint_row(gateway, row, detail),
            Table::Fleet => fleet::apply_row(gateway, row),
        }
    }
    if table == Table::Endpoints {
        let n = {
            let mut directory = gateway.directory.lock();
            log_transitions(gateway, &mut directory);
            directory.len()
        };
        gateway.metrics.endpoints.set(i64::try_from(n).unwrap_or(i64::MAX));
    }
}

fn apply_operator_row(gateway: &Arc<Gateway>, row: &Row, from: &str) {
    if let Some(domain) = gateway.decoder.evacuation(&row.key) {
        apply_evacuation(gateway, domain, row, from);
        return;
    }
    let Some(value) = &row.value else { return };
    match gateway.decoder.operator(&row.key, value) {
        Ok(Operator::Document(document)) => {
            let version = document.version;
            let known = gateway.configuration.load();
            let known = known.as_ref().map(|it| (it.document.version, it.row.rev));
            let before = known.map_or(0, |(version, _)| version);
            // The configuration never goes back to an older version: an older row, from a peer that
            // is behind or from a restored store, would restore keys and routes that were removed.
            // An operator may give out a version again that the store has lost.
            let is_given_out_again =
                known.is_some_and(|(it, rev)| it == version && rev.era() < row.rev.era());
            let (era, number) = (row.rev.era(), row.rev.number());
            if version <= before && !is_given_out_again {
                if version < before {
                    let (known, rev) = (before, number);
                    let ignored = Event::ConfigurationIgnored { version, known, era, rev, from };
                    gateway.log.write(&ignored);
                }
                return;
            }
            let routes = document.n_routes();
            {
                let mut directory = gateway.directory.lock();
                let services = document.services.keys().map(String::as_str);
                directory.set_services(services, gateway.now());
                log_transitions(gateway, &mut directory);
            }
            gateway
                .configuration
                .store(Some(Arc::new(Configuration { document, row: row.clone() })));
            gateway.metrics.configuration.set(version);
            let rev = number;
            gateway.log.write(&Event::Configuration { version, before, routes, era, rev, from });
        }
        Ok(Operator::Order(order)) => {
            let service = order.service.clone();
            let received_at = gateway.store_time();
            gateway.rollouts.lock().apply_order(order, row.rev, received_at);
            // Steps of this order may have been read before the order itself.
            fleet::reapply_rows(gateway, &service);
        }
        Ok(Operator::Other) => {}
        Err(e) => log_rejected(gateway, Table::Operator, &e.to_string()),
    }
}

fn apply_evacuation(gateway: &Gateway, domain: domain::Id, row: &Row, from: &str) {
    let (state, rev) = (if row.value.is_some() { "ordered" } else { "ended" }, row.rev.number());
    gateway.log.write(&Event::Evacuation { domain: domain.as_str(), state, rev, from });
    let mut directory = gateway.directory.lock();
    match row.value {
        Some(_) => directory.evacuate(domain),
        None => directory.end_evacuation(&domain),
    }
}

/// How much the log states about changed endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Detail {
    /// A line for each.
    Lines,
    /// Nothing about each.
    Summary,
}

fn apply_endpoint_row(gateway: &Arc<Gateway>, row: &Row, detail: Detail) {
    let id = endpoint::Id::new(&*row.key);
    let now = gateway.now();
    let Some(value) = &row.value else {
        gateway.directory.lock().remove(&id, now);
        log_endpoint(gateway, &id, None, "removed", row);
        return;
    };
    match gateway.decoder.endpoint(&id, value) {
        Ok(entry) => {
            let state = if entry.state == State::Ready { "ready" } else { "leaving" };
            if detail == Detail::Lines {
                log_endpoint(gateway, &id, Some(&entry), state, row);
            }
            gateway.directory.lock().upsert(entry, now);
        }
        Err(e) => {
            gateway.directory.lock().remove(&id, now);
            log_rejected(gateway, Table::Endpoints, &e.to_string());
        }
    }
}

fn log_endpoint(
    gateway: &Gateway,
    id: &endpoint::Id,
    entry: Option<&Entry>,
    state: &str,
    row: &Row,
) {
    gateway.log.write(&Event::Endpoint {
        endpoint: id.as_str(),
        service: entry.map_or("", |it| it.service.as_str()),
        state,
        version: entry.map_or("", |it| it.version.as_str()),
        born: entry.and_then(|it| it.started_ms),
        rev: row.rev.number(),
    });
}

fn log_rejected(gateway: &Gateway, table: Table, why: &str) {
    gateway.log.write(&Event::RowRejected { table: table_name(table), why });
}
