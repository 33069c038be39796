//! The rows of earlier eras that a node goes by.

use std::time::Duration;

use curranthook_types::endpoint;

use super::{Query, Reply};
use crate::{
    Gateway,
    fleet::Key,
    replication::eras,
    steps::Step,
    store::{Operator, Row, Table},
};

/// The maximum number of rows in a reply. More than that are lost only if a large part of the endpoints
/// leave in the seconds that the copy lacks; the newest are sent then.
pub const MAX_ROWS: usize = 1_024;

/// The rows of the queried table that this node goes by and that were written in earlier eras.
pub(super) fn reply(gateway: &Gateway, query: &Query) -> Reply {
    let Query { table, era, .. } = *query;
    let began_at = gateway.eras.lock().began_at(table, era);
    let is_before = {
        let mirror = gateway.mirror.lock();
        mirror.has_read(table) && mirror.rev(table).era() < era
    };
    let age = match began_at {
        Some(at) => gateway.now().saturating_duration_since(at),
        // A node that has not read the table in that era yet knows the rows that the sender missed.
        None if is_before => Duration::ZERO,
        None => return Reply::default(),
    };
    let are_kept = age < eras::withheld_time(table);
    let mut rows = match table {
        Table::Operator if are_kept => kept_rows(gateway, query, |it| is_order(gateway, it)),
        Table::Endpoints if are_kept => kept_rows(gateway, query, |it| has_left(gateway, it)),
        Table::Fleet if are_kept => kept_rows(gateway, query, is_verdict),
        _ => Vec::new(),
    };
    if table == Table::Fleet {
        rows.extend(lost_steps(gateway, query));
    }
    if table == Table::Operator && age < eras::CONFIGURATION_TIME {
        let configuration = gateway.configuration.load();
        let is_newer = |version: u64| query.configuration < version;
        let newer = configuration.as_ref().filter(|it| is_newer(it.document.version));
        rows.extend(newer.map(|it| it.row.clone()).filter(|it| it.rev.era() < era));
    }
    Reply { rows, age, is_informed: true }
}

/// Whether `row` is a newer state than `known`, which may be of another era.
pub(super) fn is_newer(gateway: &Gateway, table: Table, known: &Row, row: &Row) -> bool {
    let version = |it| eras::document_version(gateway, it);
    match (table, version(known), version(row)) {
        (Table::Operator, Some(known), Some(version)) => known < version,
        _ => known.rev < row.rev,
    }
}

/// The newest rows of the mirror that were written in earlier eras and are to be sent.
fn kept_rows(gateway: &Gateway, query: &Query, is_sent: impl Fn(&Row) -> bool) -> Vec<Row> {
    let mirror = gateway.mirror.lock();
    let rows: Vec<_> = mirror.rows_before(query.table, query.era, query.since).collect();
    drop(mirror);
    rows.into_iter().filter(is_sent).take(MAX_ROWS).collect()
}

/// Whether a row of the operators is an order. The configuration is sent as it is in force.
fn is_order(gateway: &Gateway, row: &Row) -> bool {
    if gateway.decoder.evacuation(&row.key).is_some() {
        return true;
    }
    let Some(value) = &row.value else { return false };
    matches!(gateway.decoder.operator(&row.key, value), Ok(Operator::Order(_)))
}

fn has_left(gateway: &Gateway, row: &Row) -> bool {
    let id = endpoint::Id::new(&*row.key);
    row.value.is_none() || gateway.directory.lock().get(&id).is_some_and(|it| !it.is_ready())
}

/// Whether a row says which requests or parts of prompts crash endpoints.
fn is_verdict(row: &Row) -> bool {
    matches!(Key::parse(&row.key), Some(Key::Poison(_) | Key::Parts(_)))
}

/// The steps of rollouts that the store may not have.
fn lost_steps(gateway: &Gateway, query: &Query) -> Vec<Row> {
    let rollouts = gateway.rollouts.lock();
    let rows = rollouts.all().filter_map(|it| {
        let (step, rev) = it.step.as_ref().filter(|(_, rev)| rev.era() < query.era)?;
        let step = Step { order: it.order_rev, ..step.clone() };
        let value = serde_json::to_vec(&step).expect("a step can be written as JSON");
        let key = Key::Step(&it.order.service).to_string();
        Some(Row { key: key.into(), rev: *rev, value: Some(value.into()) })
    });
    rows.collect()
}
