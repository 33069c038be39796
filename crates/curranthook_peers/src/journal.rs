//! This node's bill lines, from the answer until they are stored.
//!
//! A line is safe once two peers in other failure domains hold it, or the object store does.
//! Lines that come within a few milliseconds go to the peers together; the store gets larger
//! segments, less often. Once stored, the peers are told to drop them.

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
    counters::{Counters, bump},
    replica::{self, Batch},
    store,
};

/// How many bytes of lines are kept while they can't be stored: at 26 lines a second, an outage
/// of about an hour. Past it the node is to refuse new work; a line is never dropped.
pub const MAX_BYTES: usize = 24 * 1024 * 1024;
/// How many lines go into one object.
const MAX_RUN: usize = 2_000;

/// How safe a line is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Durability {
    /// So many peers in other failure domains hold it.
    Replicated(usize),
    /// The object store holds it.
    Stored,
    /// Only this node holds it; it goes on trying.
    LocalOnly,
}

#[derive(Debug)]
struct Waiting {
    sequence: u64,
    done: Sender<Durability>,
}

#[derive(Debug, Default)]
struct State {
    next: u64,
    lines: BTreeMap<u64, Line>,
    /// Lines with fewer copies than there should be.
    thin: BTreeSet<u64>,
    n_bytes: usize,
    waiting: Vec<Waiting>,
}

/// Lines that go to the peers together.
#[derive(Debug)]
pub struct Group {
    /// What the peers get.
    pub batch: Batch,
    waiting: Vec<Waiting>,
}

impl Group {
    /// Tells all that wait for these lines, and closes the group.
    pub fn close(self, durability: Durability, counters: &Counters) {
        let n_lines = self.batch.lines.len() as u64;
        match durability {
            Durability::Replicated(_) => bump(&counters.line_replicated, n_lines),
            Durability::Stored => bump(&counters.line_stored, n_lines),
            Durability::LocalOnly => bump(&counters.line_alone, n_lines),
        }
        for waiting in self.waiting {
            let _caller_gone = waiting.done.try_send(durability);
        }
    }
}

/// The lines of this node that aren't stored yet.
#[derive(Debug)]
pub struct Journal {
    origin: Origin,
    counters: Arc<Counters>,
    state: Mutex<State>,
    recorded: (Sender<()>, Receiver<()>),
    hurry: (Sender<()>, Receiver<()>),
    /// One flush at a time; a second would find the first one's keys taken and read them back.
    flushing: async_lock::Mutex<()>,
}

impl Journal {
    /// An empty journal.
    pub fn new(origin: Origin, counters: Arc<Counters>) -> Self {
        Self {
            origin,
            counters,
            state: Mutex::default(),
            recorded: async_channel::bounded(1),
            hurry: async_channel::bounded(1),
            flushing: async_lock::Mutex::new(()),
        }
    }

    /// Writes a line down and waits until it's safe, or until there's no hope that it soon is.
    pub async fn record(&self, line: Line) -> Durability {
        let (done, result) = async_channel::bounded(1);
        {
            let mut state = self.state.lock();
            let sequence = state.next;
            state.next += 1;
            state.n_bytes += replica::estimated_size(&line);
            state.lines.insert(sequence, line);
            state.waiting.push(Waiting { sequence, done });
        }
        let _already_woken = self.recorded.0.try_send(());
        result.recv().await.unwrap_or(Durability::LocalOnly)
    }

    /// Whether so many lines wait to be stored that the node must take no new work.
    pub fn is_full(&self) -> bool {
        MAX_BYTES <= self.state.lock().n_bytes
    }

    /// How many lines aren't stored yet.
    pub fn n_lines(&self) -> usize {
        self.state.lock().lines.len()
    }

    /// Waits until there are lines that no peer has.
    pub async fn wait_recorded(&self) {
        let _closed = self.recorded.1.recv().await;
    }

    /// Waits until the next flush shouldn't wait.
    pub async fn wait_hurry(&self) {
        let _closed = self.hurry.1.recv().await;
    }

    /// Asks for a flush now, because a replica has failed and lines have one copy less.
    pub fn hurry(&self) {
        let _already_asked = self.hurry.0.try_send(());
    }

    /// The lines that came since the last call.
    pub fn take_group(&self) -> Option<Group> {
        let mut state = self.state.lock();
        let waiting = std::mem::take(&mut state.waiting);
        let first = waiting.first()?.sequence;
        // A flush may have stored the first of them already. Numbering the rest from the first
        // that waited would give them the stored ones' numbers.
        let first = state.lines.range(first..).next().map_or(state.next, |(sequence, _)| *sequence);
        let lines = state.lines.range(first..).map(|(_, line)| line.clone()).collect();
        Some(Group { batch: self.batch(&state, first, lines), waiting })
    }

    /// All lines that aren't stored, in batches, to hand over to peers.
    pub fn unstored(&self) -> Vec<Batch> {
        let state = self.state.lock();
        let lines = state.lines.iter().map(|(sequence, line)| (*sequence, line.clone()));
        let runs = store::runs(lines, MAX_RUN);
        runs.into_iter().map(|(first, lines)| self.batch(&state, first, lines)).collect()
    }

    /// Notes that a batch has too few copies.
    pub fn set_thin(&self, batch: &Batch) {
        let mut state = self.state.lock();
        let sequences = (batch.first..).take(batch.lines.len());
        let unstored: Vec<_> = sequences.filter(|it| state.lines.contains_key(it)).collect();
        state.thin.extend(unstored);
    }

    /// Notes that a peer is lost that held lines, perhaps all.
    pub fn set_all_thin(&self) {
        let state = &mut *self.state.lock();
        state.thin.extend(state.lines.keys());
    }

    /// The lines with too few copies, in batches; they count as having enough from now on.
    pub fn take_thin(&self) -> Vec<Batch> {
        let mut state = self.state.lock();
        let thin = std::mem::take(&mut state.thin);
        let line = |it: &u64| Some((*it, state.lines.get(it)?.clone()));
        let runs = store::runs(thin.iter().filter_map(line), MAX_RUN);
        runs.into_iter().map(|(first, lines)| self.batch(&state, first, lines)).collect()
    }

    /// A batch without lines: what is stored, and that this node lives.
    pub fn mark(&self) -> Batch {
        let state = self.state.lock();
        self.batch(&state, state.next, Vec::new())
    }

    /// Stores the lines of one batch.
    pub async fn store(&self, batch: &Batch, objects: &dyn Objects) -> bool {
        let stored = store::put(objects, &self.origin, batch.first, batch.lines.clone()).await;
        if stored.is_err() {
            bump(&self.counters.store_failed, 1);
            return false;
        }
        bump(&self.counters.segment_stored, 1);
        let mut state = self.state.lock();
        for sequence in (batch.first..).take(batch.lines.len()) {
            state.thin.remove(&sequence);
            if let Some(line) = state.lines.remove(&sequence) {
                state.n_bytes -= replica::estimated_size(&line);
            }
        }
        true
    }

    /// Stores all lines; says whether none is left out.
    pub async fn flush(&self, objects: &dyn Objects) -> bool {
        let _one_at_a_time = self.flushing.lock().await;
        for batch in self.unstored() {
            if !self.store(&batch, objects).await {
                return false;
            }
        }
        true
    }

    fn batch(&self, state: &State, first: u64, lines: Vec<Line>) -> Batch {
        let stored_below = state.lines.keys().next().copied().unwrap_or(state.next);
        Batch { origin: self.origin.clone(), stored_below, first, lines }
    }
}

/// How long a batch may take to reach a peer.
pub const REPLICATE_TIMEOUT: Duration = Duration::from_millis(200);
/// How long the second attempt, at other peers and the store at once, may take.
pub const SECOND_TIMEOUT: Duration = Duration::from_millis(300);
