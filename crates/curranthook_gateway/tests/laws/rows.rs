//! The node's copy of the store's rows.

use std::collections::BTreeSet;

use bytes::Bytes;
use curranthook_gateway::{
    replication::{index::Index, mirror::Mirror},
    store::{Batch, Rev, Row, Table},
};
use curranthook_policy::hash;

use crate::{
    counted::{Counted, comparisons},
    law::{Law, N_ENDPOINTS},
};

/// The number of changes over which comparisons are summed up; the position of a row in its tree
/// decides how many a single one takes.
const N_CHANGES: usize = 200;

fn key(n: usize) -> Counted {
    Counted(hash::pair(n as u64, 1))
}

fn index(n: usize) -> Index<Counted, ()> {
    let mut index = Index::default();
    (0..n).for_each(|it| index.insert(key(it), Rev(it as u64), ()));
    index
}

/// Guards against a relay that walks all endpoints for each child whenever one endpoint changes.
#[test]
fn a_change_is_found_without_a_walk_over_all_rows() {
    Law::Logarithmic.assert(&N_ENDPOINTS, |n| {
        let mut index = index(n);
        comparisons(|| {
            for change in 0..N_CHANGES {
                let rev = Rev((n + change) as u64);
                index.insert(key(change * n / N_CHANGES), Rev(rev.0 + 1), ());
                assert_eq!(index.changed_since(rev).count(), 1);
            }
        })
    });
}

/// Guards against a node that searches all rows for each known one after the store has dropped its
/// history, during which it answers neither callers nor children.
#[test]
fn a_read_of_the_whole_table_is_merged_in_one_pass() {
    Law::Linear.assert(&N_ENDPOINTS, |n| {
        let index = index(n);
        let listed: BTreeSet<_> = (n / 100..n).map(key).collect();
        comparisons(|| assert_eq!(index.keys_not_in(&listed).len(), n / 100))
    });
}

/// Guards against memory that grows with every endpoint that ever left.
#[test]
fn removed_rows_are_forgotten() {
    let row = |n: u64, rev, value: Option<&'static [u8]>| Row {
        key: format!("e-{n}").into(),
        rev: Rev(rev),
        value: value.map(Bytes::from_static),
    };
    let n_rows_kept = |n_removed: u64| {
        let mut mirror = Mirror::default();
        let rows = (0..2_000).map(|it| row(it, 1, Some(b"x"))).collect();
        mirror.replace(Table::Endpoints, Batch { rows, rev: Rev(1), now: None });
        for it in 0..n_removed {
            let (added, removed) = (row(10_000 + it, 2 + 2 * it, Some(b"y")), 3 + 2 * it);
            let rows = vec![added];
            mirror.merge(Table::Endpoints, Batch { rows, rev: Rev(removed - 1), now: None });
            let rows = vec![row(10_000 + it, removed, None)];
            mirror.merge(Table::Endpoints, Batch { rows, rev: Rev(removed), now: None });
        }
        let since = mirror.history_start(Table::Endpoints).unwrap();
        mirror.changes(Table::Endpoints, since).unwrap().rows.len()
    };
    Law::Constant.assert(&[4_000, 16_000, 64_000], |n| n_rows_kept(n as u64));
}
