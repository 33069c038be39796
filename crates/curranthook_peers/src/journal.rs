//! This node's bill lines, from the response until they are in the object store.
//!
//! A line is durable once two peers in other failure domains hold it, or the object store does.
//! Lines that arrive within a few milliseconds are sent to the peers together; the store gets
//! larger segments, less often. Once lines are stored, a heartbeat lets the peers drop them.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use async_channel::{Receiver, Sender};
use curranthook_platform::Objects;
use curranthook_types::bill::{Line, Origin};
use parking_lot::Mutex;

use crate::{
    counters::{Counters, increment},
    replica::{self, Batch},
    store,
};

/// Limit on the memory for bill lines that aren't stored yet, in bytes: enough for an outage of the
/// object store of about an hour at 26 lines per second. Above it the router must reject new
/// requests; a line is never dropped.
pub const MAX_BYTES: usize = 24 * 1024 * 1024;
/// Maximum number of bill lines in one object of the store.
const MAX_LINES_PER_OBJECT: usize = 2_000;

/// Where copies of a bill line exist when [`Journal::record`] returns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Durability {
    /// Held by this many peers in other failure domains.
    Replicated(usize),
    /// Held by the object store.
    Stored,
    /// Held by this node only, which will retry to store and replicate it.
    LocalOnly,
}

#[derive(Debug)]
struct Waiter {
    sequence: u64,
    durability_tx: Sender<Durability>,
}

#[derive(Debug, Default)]
struct State {
    next_sequence: u64,
    lines: BTreeMap<u64, Line>,
    /// Lines with fewer copies than intended.
    under_replicated: BTreeSet<u64>,
    n_bytes: usize,
    waiters: Vec<Waiter>,
}

/// Lines that are sent to the peers together.
#[derive(Debug)]
pub struct Group {
    /// The batch for the peers.
    pub batch: Batch,
    waiters: Vec<Waiter>,
}

impl Group {
    /// Reports the durability to all callers that wait for these lines.
    pub fn close(self, durability: Durability, counters: &Counters) {
        let n_lines = self.batch.lines.len() as u64;
        match durability {
            Durability::Replicated(_) => increment(&counters.line_replicated, n_lines),
            Durability::Stored => increment(&counters.line_stored, n_lines),
            Durability::LocalOnly => increment(&counters.line_alone, n_lines),
        }
        for waiter in self.waiters {
            let _receiver_dropped = waiter.durability_tx.try_send(durability);
        }
    }
}

/// The lines of this node that aren't stored yet.
#[derive(Debug)]
pub struct Journal {
    origin: Origin,
    counters: Arc<Counters>,
    state: Mutex<State>,
    lines_added: (Sender<()>, Receiver<()>),
    flush_requests: (Sender<()>, Receiver<()>),
    /// Held during a flush. A second flush at the same time would find the keys of the first one
    /// taken and read its objects back.
    flush_lock: async_lock::Mutex<()>,
}

impl Journal {
    /// Creates an empty journal.
    pub fn new(origin: Origin, counters: Arc<Counters>) -> Self {
        Self {
            origin,
            counters,
            state: Mutex::default(),
            lines_added: async_channel::bounded(1),
            flush_requests: async_channel::bounded(1),
            flush_lock: async_lock::Mutex::new(()),
        }
    }

    /// Adds a line and waits until it is durable, or until the attempts to replicate and store it
    /// have failed.
    pub async fn record(&self, line: Line) -> Durability {
        let (durability_tx, durability_rx) = async_channel::bounded(1);
        {
            let mut state = self.state.lock();
            let sequence = state.next_sequence;
            state.next_sequence += 1;
            state.n_bytes += replica::estimated_size(&line);
            state.lines.insert(sequence, line);
            state.waiters.push(Waiter { sequence, durability_tx });
        }
        let _already_signalled = self.lines_added.0.try_send(());
        durability_rx.recv().await.unwrap_or(Durability::LocalOnly)
    }

    /// Whether the unstored lines have reached [`MAX_BYTES`], so that the router must reject new
    /// requests.
    pub fn is_full(&self) -> bool {
        MAX_BYTES <= self.state.lock().n_bytes
    }

    /// How many lines aren't stored yet.
    pub fn n_lines(&self) -> usize {
        self.state.lock().lines.len()
    }

    /// Waits until there are lines that have not been sent to peers.
    pub async fn wait_for_lines(&self) {
        let _closed = self.lines_added.1.recv().await;
    }

    /// Waits until a flush is requested.
    pub async fn wait_for_flush_request(&self) {
        let _closed = self.flush_requests.1.recv().await;
    }

    /// Requests an immediate flush, for when replication has failed and lines lack a copy.
    pub fn request_flush(&self) {
        let _already_requested = self.flush_requests.0.try_send(());
    }

    /// Takes the lines that were added since the last call, to replicate them.
    pub fn take_group(&self) -> Option<Group> {
        let mut state = self.state.lock();
        let waiters = std::mem::take(&mut state.waiters);
        let first = waiters.first()?.sequence;
        // A flush may already have stored the first of these lines. Numbering the rest from the
        // first waiter's sequence number would give them the numbers of the stored lines.
        let first = state
            .lines
            .range(first..)
            .next()
            .map_or(state.next_sequence, |(sequence, _)| *sequence);
        let lines = state.lines.range(first..).map(|(_, line)| line.clone()).collect();
        Some(Group { batch: self.batch(&state, first, lines), waiters })
    }

    /// All lines that aren't stored, in batches, to hand over to peers.
    pub fn unstored(&self) -> Vec<Batch> {
        let state = self.state.lock();
        let lines = state.lines.iter().map(|(sequence, line)| (*sequence, line.clone()));
        let segments = store::contiguous_runs(lines, MAX_LINES_PER_OBJECT);
        segments.into_iter().map(|(first, lines)| self.batch(&state, first, lines)).collect()
    }

    /// Records that a batch has too few copies.
    pub fn mark_under_replicated(&self, batch: &Batch) {
        let mut state = self.state.lock();
        let sequences = (batch.first..).take(batch.lines.len());
        let unstored: Vec<_> = sequences.filter(|it| state.lines.contains_key(it)).collect();
        state.under_replicated.extend(unstored);
    }

    /// Records that a replica was lost, which may have held any of the lines.
    pub fn mark_all_under_replicated(&self) {
        let state = &mut *self.state.lock();
        state.under_replicated.extend(state.lines.keys());
    }

    /// Takes the lines with too few copies, in batches; they are no longer marked as
    /// under-replicated.
    pub fn take_under_replicated(&self) -> Vec<Batch> {
        let mut state = self.state.lock();
        let under_replicated = std::mem::take(&mut state.under_replicated);
        let numbered_line = |it: &u64| Some((*it, state.lines.get(it)?.clone()));
        let segments = store::contiguous_runs(
            under_replicated.iter().filter_map(numbered_line),
            MAX_LINES_PER_OBJECT,
        );
        segments.into_iter().map(|(first, lines)| self.batch(&state, first, lines)).collect()
    }

    /// A batch without lines, which reports to the peers up to where lines are stored and that this
    /// node is alive.
    pub fn heartbeat(&self) -> Batch {
        let state = self.state.lock();
        self.batch(&state, state.next_sequence, Vec::new())
    }

    /// Stores the lines of one batch.
    pub async fn store(&self, batch: &Batch, objects: &dyn Objects) -> bool {
        let stored = store::put(objects, &self.origin, batch.first, batch.lines.clone()).await;
        if stored.is_err() {
            increment(&self.counters.store_failed, 1);
            return false;
        }
        increment(&self.counters.segment_stored, 1);
        let mut state = self.state.lock();
        for sequence in (batch.first..).take(batch.lines.len()) {
            state.under_replicated.remove(&sequence);
            if let Some(line) = state.lines.remove(&sequence) {
                state.n_bytes -= replica::estimated_size(&line);
            }
        }
        true
    }

    /// Stores all lines and returns whether that succeeded.
    pub async fn flush(&self, objects: &dyn Objects) -> bool {
        let _flush_guard = self.flush_lock.lock().await;
        for batch in self.unstored() {
            if !self.store(&batch, objects).await {
                return false;
            }
        }
        true
    }

    fn batch(&self, state: &State, first: u64, lines: Vec<Line>) -> Batch {
        let stored_below = state.lines.keys().next().copied().unwrap_or(state.next_sequence);
        Batch { origin: self.origin.clone(), stored_below, first, lines }
    }
}

/// Timeout of the first attempt to send a batch to a peer.
pub const REPLICATE_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout of the second attempt, in which a batch is sent to other peers and the store
/// concurrently.
pub const FALLBACK_TIMEOUT: Duration = Duration::from_millis(300);
