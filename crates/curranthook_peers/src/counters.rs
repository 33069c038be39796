//! Counters of one node.

use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// What this node did and met, counted since its start.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: AtomicU64,)*
        }

        impl Counters {
            /// Every counter's name and value, for export as metrics.
            ///
            /// ```
            /// # use curranthook_peers::counters::{Counters, bump};
            /// let counters = Counters::default();
            /// bump(&counters.messages, 2);
            /// assert!(counters.all().contains(&("messages", 2)));
            /// ```
            pub fn all(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name.load(Ordering::Relaxed)),)*]
            }
        }
    };
}

counters! {
    /// Bytes of control that arrived, HTTP heads included.
    bytes_in,
    /// Bytes of control that went out, HTTP heads included.
    bytes_out,
    /// Control calls made and answered.
    messages,
    /// Bytes of journal replication that arrived; they grow with requests, not with the fleet.
    journal_bytes_in,
    /// Bytes of journal replication that went out.
    journal_bytes_out,
    /// Exchanges that a peer answered.
    exchange_ok,
    /// Exchanges that failed.
    exchange_failed,
    /// Calls refused because the MAC was missing or wrong.
    rejected_mac,
    /// Calls refused because they were signed too long ago.
    rejected_time,
    /// Calls refused because they were too large.
    rejected_size,
    /// Calls from a process that a later one of the same VM has replaced.
    rejected_incarnation,
    /// Reads of the table for the configuration.
    table_reads,
    /// Bytes of documents read from the table.
    table_bytes,
    /// Reads of the table that failed.
    table_failed,
    /// Epochs first learned from the table.
    epoch_from_table,
    /// Epochs first learned from a peer.
    epoch_from_peer,
    /// Documents received as a delta.
    delta_applied,
    /// Deltas that didn't give the document they promised.
    delta_rejected,
    /// Documents received whole.
    document_full,
    /// Documents offered by someone with an epoch that isn't higher.
    document_not_newer,
    /// Bill lines held by two peers when acknowledged.
    line_replicated,
    /// Bill lines in the object store when acknowledged.
    line_stored,
    /// Bill lines held by this node alone when acknowledged.
    line_alone,
    /// Segments that this node stored for itself.
    segment_stored,
    /// Segments that this node stored for a silent owner.
    segment_taken_over,
    /// Puts that failed and will be tried again.
    store_failed,
    /// Replicas refused for want of memory.
    replica_full,
}

/// Adds `n` to a counter.
pub fn bump(counter: &AtomicU64, n: u64) {
    counter.fetch_add(n, Ordering::Relaxed);
}
