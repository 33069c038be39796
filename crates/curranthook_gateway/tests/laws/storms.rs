//! Faults that many nodes notice at once.

use std::time::{Duration, Instant};

use curranthook_gateway::fleet_writer::charges::Charges;
use curranthook_policy::poison::Register;

use crate::law::{Law, N_NODES};

/// Guards against nodes that write each other's observations again: after one crash, every node
/// wrote a row, and every node read the rows of all others.
#[test]
fn a_crash_is_written_by_the_node_that_observed_it() {
    Law::Constant.assert(&N_NODES, |n_nodes| {
        let (start, interval) = (Instant::now(), Duration::from_secs(1));
        let new = || (Register::new(64), Charges::default());
        let mut nodes: Vec<_> = (0..n_nodes).map(|_| new()).collect();
        nodes[0].0.record_crash([7; 16], &"engine-1".into(), start);
        let mut n_writes = 0;
        for round in 0..4 {
            let now = start + interval * round;
            let due =
                |(register, charges): &(Register, Charges)| charges.due(register, interval, now);
            let rows: Vec<_> = nodes.iter().map(due).collect();
            for (writer, row) in rows.iter().enumerate() {
                let Some(row) = row else { continue };
                n_writes += 1;
                nodes[writer].1.record_written(row, now);
                let others = nodes.iter_mut().enumerate().filter(|(reader, _)| *reader != writer);
                others.for_each(|(_, (register, _))| register.merge(row.entries.clone(), now));
            }
        }
        n_writes
    });
}
