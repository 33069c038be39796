//! Tests of what tells that a copy of the store's tables lacks nothing, while answers are lost.

use std::time::{Duration, Instant};

use curranthook_gateway::{
    replication::{
        currency::{GRACE, Statement},
        mirror::Mirror,
    },
    store::{Batch, Rev, Row, Table},
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use yare::parameterized;

const STEP: Duration = Duration::from_millis(50);
const N_KEYS: u64 = 5;

/// A store, the newest row of each key, and when each revision was written.
#[derive(Default)]
struct Store {
    rev: u64,
    rows: Vec<(Option<Table>, Row, Instant)>,
}

impl Store {
    /// Writes a row of a table; none is one that nodes don't read.
    fn write(&mut self, table: Option<Table>, key: u64, now: Instant) {
        self.rev += 1;
        let row =
            Row { key: format!("row-{key}").into(), rev: Rev(self.rev), value: Some("x".into()) };
        self.rows.push((table, row, now));
    }

    /// The changes of a table after `since`: the last one of each key.
    fn changes(&self, table: Table, since: Rev) -> Batch {
        let mut rows: Vec<Row> = Vec::new();
        for (_, row, _) in self.rows.iter().filter(|it| it.0 == Some(table) && since < it.1.rev) {
            rows.retain(|it| it.key != row.key);
            rows.push(row.clone());
        }
        Batch { rows, rev: Rev(self.rev), now: None }
    }
}

fn answer(mirror: &mut Mirror, store: &Store, table: Table, now: Instant) {
    let batch = store.changes(table, mirror.rev(table));
    mirror.record_answer(table, &batch, now);
    mirror.merge(table, batch);
}

/// Guards against a copy that counts as current although a change of its table was missed, and against
/// a missed change that nothing shows: answers are lost at random, at a node that reads the store.
#[parameterized(
    few_writes = { 0.02, 0.3 },
    many_writes = { 0.5, 0.3 },
    most_answers_lost = { 0.1, 0.9 },
)]
fn copy_that_counts_as_current_lacks_nothing(write_share: f64, loss_share: f64) {
    for seed in 0..200 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (mut store, mut mirror, start) = (Store::default(), Mirror::default(), Instant::now());
        store.write(None, 0, start);
        Table::ALL.iter().for_each(|it| answer(&mut mirror, &store, *it, start));
        // When an answer for the operators' table last showed the newest revision.
        let mut shown_at = start;
        for step in 1..400_u32 {
            let now = start + STEP * step;
            if rng.random_bool(write_share) {
                let table = [None, Some(Table::Endpoints), Some(Table::Fleet)];
                let table = table[rng.random_range(0..table.len())];
                store.write(table, rng.random_range(0..N_KEYS), now);
                if let Some(table) = table.filter(|_| !rng.random_bool(loss_share)) {
                    answer(&mut mirror, &store, table, now);
                }
            }
            if step.is_multiple_of(20) {
                answer(&mut mirror, &store, Table::Operator, now);
                shown_at = now;
            }
            for table in [Table::Endpoints, Table::Fleet] {
                let known = mirror.rev(table);
                let missed = store.rows.iter().filter(|it| it.0 == Some(table) && known < it.1.rev);
                let since = missed.map(|it| it.2).min();
                let current_at = now - mirror.age(table, now).unwrap();
                let is_true = since.is_none_or(|at| current_at <= at);
                assert!(is_true, "seed {seed}: {table:?} lacks a change at step {step}");
                let is_shown = since.is_some_and(|at| at <= shown_at && shown_at + GRACE <= now);
                let is_suspect = mirror.suspect_in(table, now) == Some(Duration::ZERO);
                assert!(!is_shown || is_suspect, "seed {seed}: {table:?} isn't suspect at {step}");
            }
        }
    }
}

/// Guards against calls to the store that nothing calls for: while no answer is lost and all writes
/// are to tables that the node reads, nothing is suspect.
#[test]
fn nothing_is_suspect_while_no_answer_is_lost() {
    let (mut store, mut mirror, start) = (Store::default(), Mirror::default(), Instant::now());
    store.write(Some(Table::Operator), 0, start);
    Table::ALL.iter().for_each(|it| answer(&mut mirror, &store, *it, start));
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    for step in 1..2_000_u32 {
        let now = start + STEP * step;
        let table = Table::ALL[rng.random_range(0..3)];
        store.write(Some(table), rng.random_range(0..N_KEYS), now);
        answer(&mut mirror, &store, table, now);
        for table in Table::ALL {
            assert_eq!(mirror.suspect_in(table, now), None, "step {step}");
            assert_eq!(mirror.age(table, now), Some(Duration::ZERO));
        }
    }
}

/// Guards against a relay that says that its copy of a table is current because a call for another
/// table was answered.
#[test]
fn age_of_a_table_is_its_own() {
    let (mut store, mut mirror, start) = (Store::default(), Mirror::default(), Instant::now());
    store.write(None, 0, start);
    Table::ALL.iter().for_each(|it| answer(&mut mirror, &store, *it, start));
    store.write(Some(Table::Endpoints), 0, start + STEP);
    let later = start + 20 * STEP;
    answer(&mut mirror, &store, Table::Operator, later);
    assert!(mirror.is_fresh(Table::Operator, STEP, later));
    assert!(!mirror.is_fresh(Table::Endpoints, 19 * STEP, later));
}

/// Guards against a child that waits for an answer of its parent which is lost: the parent's other
/// answers state the last change of each table.
#[test]
fn child_suspects_a_call_whose_answer_its_parent_has_sent() {
    let (mut store, mut parent, mut child) =
        (Store::default(), Mirror::default(), Mirror::default());
    let start = Instant::now();
    store.write(Some(Table::Endpoints), 0, start);
    for mirror in [&mut parent, &mut child] {
        Table::ALL.iter().for_each(|it| answer(mirror, &store, *it, start));
    }
    store.write(Some(Table::Fleet), 0, start);
    let now = start + STEP;
    Table::ALL.iter().for_each(|it| answer(&mut parent, &store, *it, now));
    let state = |child: &mut Mirror, parent: &Mirror, now| {
        for table in [Table::Endpoints, Table::Fleet] {
            child.record_statement(table, parent.statement(table).unwrap(), now);
        }
    };
    state(&mut child, &parent, now);
    assert_eq!(child.suspect_in(Table::Endpoints, now + GRACE), None);
    assert_eq!(child.age(Table::Endpoints, now), Some(Duration::ZERO));
    assert_eq!(child.suspect_in(Table::Fleet, now), Some(GRACE));
    // Further answers don't put it off.
    state(&mut child, &parent, now + GRACE);
    assert_eq!(child.suspect_in(Table::Fleet, now + GRACE), Some(Duration::ZERO));
    assert_eq!(child.age(Table::Fleet, now), Some(STEP));
    child.merge(Table::Fleet, store.changes(Table::Fleet, Rev(0)));
    assert_eq!(child.suspect_in(Table::Fleet, now + GRACE), None);
    let outdated = Statement { changed: Rev(0), current_at: start };
    child.record_statement(Table::Fleet, outdated, now);
    assert_eq!(child.suspect_in(Table::Fleet, now + GRACE), None);
}
