//! A store that comes back from a copy, in fleets of different sizes.

use curranthook_gateway::{
    fleet_writer::restoration,
    replication::{mirror::Mirror, sections::Sections},
    store::{Batch, Rev, Row, Table},
};

use crate::law::{Law, N_NODES};

/// The rows that all nodes together may write in a second.
const MAX_WRITES_PER_SECOND: f64 = 400.0;
const N_ROWS: usize = 1_000;

fn rows(era: u16) -> Batch {
    let rev = |number| Rev::new(era, number).unwrap();
    let row = |n: usize| Row {
        key: format!("e-{n:04}").into(),
        rev: rev(n as u64 + 1),
        value: Some(b"ready".to_vec().into()),
    };
    Batch { rows: (0..N_ROWS).map(row).collect(), rev: rev(N_ROWS as u64), now: None }
}

/// Guards against a relay that encodes a table for each of its children, all of which read it again.
#[test]
fn table_of_a_new_era_is_encoded_once_for_all_children() {
    Law::Constant.assert(&N_NODES, |n_children| {
        let (mut mirror, mut sections) = (Mirror::default(), Sections::default());
        mirror.replace(Table::Endpoints, rows(0));
        mirror.replace(Table::Endpoints, rows(1));
        let since = Rev::new(0, N_ROWS as u64).unwrap();
        for _ in 0..n_children {
            assert!(sections.changes(&mirror, Table::Endpoints, since).is_err());
            assert_eq!(sections.whole(&mirror, Table::Endpoints).len(), 1);
        }
        sections.n_encoded() as usize
    });
}

/// Guards against nodes that all write their lost rows at once.
#[test]
fn nodes_spread_the_writes_of_their_lost_rows() {
    for n in N_NODES.into_iter().chain([4, 24, 40, 82, 985]) {
        let per_second = n as f64 / restoration::spread(n).as_secs_f64();
        assert!(per_second <= MAX_WRITES_PER_SECOND, "{n} nodes write {per_second} rows a second");
    }
}
