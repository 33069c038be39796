//! Counters of one node.

use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Events at this node, counted since its start.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: AtomicU64,)*
        }

        impl Counters {
            /// The name and value of every counter, for export as metrics.
            ///
            /// ```
            /// # use curranthook_peers::counters::{Counters, increment};
            /// let counters = Counters::default();
            /// increment(&counters.messages, 2);
            /// assert!(counters.all().contains(&("messages", 2)));
            /// ```
            pub fn all(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name.load(Ordering::Relaxed)),)*]
            }
        }
    };
}

counters! {
    /// Bytes of control traffic received, including HTTP heads.
    bytes_in,
    /// Bytes of control traffic sent, including HTTP heads.
    bytes_out,
    /// Control calls sent and received.
    messages,
    /// Bytes of journal replication received. They grow with requests, not with the fleet, and so
    /// are counted apart from control traffic.
    journal_bytes_in,
    /// Bytes of journal replication sent.
    journal_bytes_out,
    /// Exchanges that a peer answered.
    exchange_ok,
    /// Exchanges that failed.
    exchange_failed,
    /// Calls rejected because the MAC was missing or wrong.
    rejected_mac,
    /// Calls rejected because their time differed too much from this node's clock.
    rejected_time,
    /// Calls rejected because they were too large.
    rejected_size,
    /// Calls from a process that a later one of the same VM has replaced.
    rejected_incarnation,
    /// Reads of the platform's table for a new configuration.
    table_reads,
    /// Bytes of configuration documents read from the platform's table.
    table_bytes,
    /// Reads of the platform's table that failed.
    table_failed,
    /// Configuration epochs that this node received from the platform's table first.
    epoch_from_table,
    /// Configuration epochs that this node received from a peer first.
    epoch_from_peer,
    /// Documents received as a delta.
    delta_applied,
    /// Deltas rejected because they started from, or resulted in, another document than intended.
    delta_rejected,
    /// Documents received in full.
    document_full,
    /// Documents received whose epoch wasn't higher than the current one.
    document_not_newer,
    /// Bill lines that had been replicated to peers when `Journal::record` returned.
    line_replicated,
    /// Bill lines that were in the object store when `Journal::record` returned.
    line_stored,
    /// Bill lines that existed on this node only when `Journal::record` returned.
    line_alone,
    /// Segments of its own lines that this node stored.
    segment_stored,
    /// Segments of another node's lines that this node stored because the owner was presumed lost.
    segment_taken_over,
    /// Writes to the object store that failed and will be retried.
    store_failed,
    /// Batches of peers' lines rejected for lack of memory.
    replica_full,
}

/// Adds `n` to a counter.
pub fn increment(counter: &AtomicU64, n: u64) {
    counter.fetch_add(n, Ordering::Relaxed);
}
