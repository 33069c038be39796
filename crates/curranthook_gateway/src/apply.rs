//! Rows that changed, turned into what a node believes.

use std::sync::Arc;

use curranthook_types::{domain, endpoint};

use crate::{
    Gateway,
    entry::{Entry, State},
    event::Event,
    fleet,
    gateway::Configuration,
    store::{Batch, Operator, Row, Table},
    watch::name,
};

/// Takes in rows. `is_whole` says that a row that isn't among them doesn't exist.
pub fn batch(gateway: &Arc<Gateway>, table: Table, batch: Batch, is_whole: bool, from: &str) {
    if let Some(now) = batch.now {
        gateway.mirror.lock().set_clock(now, gateway.now());
    }
    let news = {
        let mut mirror = gateway.mirror.lock();
        if is_whole { mirror.replace(table, batch) } else { mirror.merge(table, batch) }
    };
    for row in &news {
        match table {
            Table::Operator => operator(gateway, row, from),
            Table::Endpoints => entry(gateway, row),
            Table::Fleet => fleet::row(gateway, row),
        }
    }
    if table == Table::Endpoints {
        let n = gateway.directory.lock().len();
        gateway.metrics.endpoints.set(i64::try_from(n).unwrap_or(i64::MAX));
    }
    // Last, as whoever is woken looks at what was taken in. The first read of a table counts even
    // if that is empty: requests may be waiting for it.
    if !news.is_empty() || is_whole {
        gateway.rows_changed.wake();
    }
}

fn operator(gateway: &Arc<Gateway>, row: &Row, from: &str) {
    if let Some(domain) = gateway.decoder.evacuation(&row.key) {
        evacuation(gateway, domain, row, from);
        return;
    }
    let Some(value) = &row.value else { return };
    match gateway.decoder.operator(&row.key, value) {
        Ok(Operator::Document(document)) => {
            let version = document.version;
            let before = gateway.configuration.load().as_ref().map_or(0, |it| it.document.version);
            // A configuration never goes back: an older row, from a peer that knows less, would
            // bring back keys and routes that were taken away.
            if version <= before {
                return;
            }
            let routes = document.n_routes();
            gateway.configuration.store(Some(Arc::new(Configuration { document, rev: row.rev })));
            gateway.metrics.configuration.set(version);
            let rev = row.rev.0;
            gateway.log.write(&Event::Configuration { version, before, routes, rev, from });
        }
        Ok(Operator::Order(order)) => {
            let service = order.service.clone();
            let heard = gateway.store_time();
            gateway.rollouts.lock().apply_order(order, row.rev, heard);
            // Steps of this order may have been read before it.
            fleet::reread(gateway, &service);
        }
        Ok(Operator::Other) => {}
        Err(e) => rejected(gateway, Table::Operator, &e.to_string()),
    }
}

fn evacuation(gateway: &Gateway, domain: domain::Id, row: &Row, from: &str) {
    let (state, rev) = (if row.value.is_some() { "ordered" } else { "ended" }, row.rev.0);
    gateway.log.write(&Event::Evacuation { domain: domain.as_str(), state, rev, from });
    let mut directory = gateway.directory.lock();
    match row.value {
        Some(_) => directory.evacuate(domain),
        None => directory.end_evacuation(&domain),
    }
}

fn entry(gateway: &Arc<Gateway>, row: &Row) {
    let id = endpoint::Id::new(&row.key);
    let now = gateway.now();
    let Some(value) = &row.value else {
        gateway.directory.lock().remove(&id, now);
        log_endpoint(gateway, &id, None, "removed", row);
        return;
    };
    match gateway.decoder.endpoint(&id, value) {
        Ok(entry) => {
            let state = if entry.state == State::Ready { "ready" } else { "leaving" };
            log_endpoint(gateway, &id, Some(&entry), state, row);
            gateway.directory.lock().upsert(entry, now);
        }
        Err(e) => {
            gateway.directory.lock().remove(&id, now);
            rejected(gateway, Table::Endpoints, &e.to_string());
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
        rev: row.rev.0,
    });
}

fn rejected(gateway: &Gateway, table: Table, why: &str) {
    gateway.log.write(&Event::RowRejected { table: name(table), why });
}
