//! Calls for changes that a waiting call may have missed, at a root while rows of all tables change.

use std::time::{Duration, Instant};

use curranthook_gateway::{
    replication::{currency::GRACE, mirror::Mirror},
    store::{Batch, Rev, Row, Table},
};

use crate::law::N_NODES;

const STEP: Duration = Duration::from_millis(50);
const SPAN: Duration = Duration::from_secs(60);
/// The interval between answers to calls for the operators' rows.
const OPERATOR_INTERVAL: Duration = Duration::from_millis(700);
/// The pause after a change of the nodes' rows, and after one of endpoints' entries.
const PAUSES: [(Table, Duration); 2] =
    [(Table::Fleet, Duration::from_millis(500)), (Table::Endpoints, Duration::from_millis(250))];
/// The minimum interval between calls for changes that may have been missed.
const MIN_INTERVAL: Duration = Duration::from_millis(1_400);
/// Each node writes a row of its own once in this time, as while a new version is tried.
const ROW_INTERVAL: Duration = Duration::from_secs(25);

fn row(key: usize, rev: u64) -> Row {
    Row { key: format!("row-{key}").into(), rev: Rev(rev), value: Some("x".into()) }
}

/// The calls that a root makes in `SPAN`, while no answer is lost.
fn n_suspect_calls(n_nodes: usize) -> usize {
    let (mut mirror, start) = (Mirror::default(), Instant::now());
    for table in Table::ALL {
        let batch = Batch { rows: vec![], rev: Rev(1), now: None };
        mirror.record_answer(table, &batch, start);
        mirror.merge(table, batch);
    }
    let (mut rev, mut n_calls, mut n_written) = (1, 0, 0);
    let mut pending = PAUSES.map(|(table, pause)| (table, pause, Vec::new(), start));
    let mut last_call = [start; PAUSES.len()];
    let mut operator_due = start;
    let mut now = start;
    while now < start + SPAN {
        now += STEP;
        let due = (now - start).as_secs_f64() * n_nodes as f64 / ROW_INTERVAL.as_secs_f64();
        while (n_written as f64) < due {
            rev += 1;
            // Half of the writes overwrite rows that others wrote, one in ten is an endpoint's.
            pending[usize::from(n_written % 10 == 0)]
                .2
                .push(row(n_written % n_nodes.div_ceil(2), rev));
            n_written += 1;
        }
        if operator_due <= now {
            operator_due = now + OPERATOR_INTERVAL;
            let batch = Batch { rows: vec![], rev: Rev(rev), now: None };
            mirror.record_answer(Table::Operator, &batch, now);
            mirror.merge(Table::Operator, batch);
        }
        for (index, (table, pause, rows, polls_from)) in pending.iter_mut().enumerate() {
            if !rows.is_empty() && *polls_from <= now {
                let batch = Batch { rows: std::mem::take(rows), rev: Rev(rev), now: None };
                mirror.record_answer(*table, &batch, now);
                mirror.merge(*table, batch);
                *polls_from = now + *pause;
            }
            let waits = *polls_from + GRACE <= now && last_call[index] + MIN_INTERVAL <= now;
            if waits && mirror.suspect_in(*table, now) == Some(Duration::ZERO) {
                n_calls += 1;
                last_call[index] = now;
                let batch = Batch { rows: vec![], rev: Rev(rev), now: None };
                mirror.record_answer(*table, &batch, now);
                mirror.merge(*table, batch);
            }
        }
    }
    n_calls
}

/// Guards against calls to the store that grow with the fleet. Only roots and nodes of fleets without
/// relays call it, and a root's calls stay under one in the minimum interval for each table.
#[test]
fn suspect_calls_of_a_root_are_bounded() {
    let max_calls = PAUSES.len() * (SPAN.as_millis() / MIN_INTERVAL.as_millis()) as usize;
    for n_nodes in [1, 4, 24, 40, 985].into_iter().chain(N_NODES) {
        let n_calls = n_suspect_calls(n_nodes);
        println!("{n_nodes} nodes: {n_calls} calls in {SPAN:?}");
        assert!(n_calls <= max_calls, "{n_nodes} nodes: {n_calls} calls, {max_calls} allowed");
    }
}
