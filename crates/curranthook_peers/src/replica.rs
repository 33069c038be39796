//! Bill lines that this node keeps for peers until they are stored.
//!
//! If the owner's VM is lost between a response and the next put, its lines exist on its replicas
//! only. A replica detects this by the silence of the owner and stores the lines itself. If the
//! owner is alive after all, the store holds each line at most twice, under names that identify the
//! duplicates.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use curranthook_platform::Objects;
use curranthook_types::{
    Clock,
    bill::{Line, Origin},
};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::{
    counters::{Counters, increment},
    member::Members,
    store,
};

/// How many bytes of peers' lines are kept. Above it new lines are rejected, and their owner tries
/// another peer or the store.
const MAX_BYTES: usize = 32 * 1024 * 1024;
/// How many lines go into one object.
const MAX_LINES_PER_OBJECT: usize = 2_000;
/// Puts per second by all nodes together; the platform allows several hundred.
pub const MAX_FLEET_PUTS_PER_SECOND: f64 = 100.0;
/// How long an owner may be silent while the store is believed to be up.
const SHORT_OWNER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// An owner that missed this many flushes counts as silent.
const MAX_MISSED_FLUSHES: u32 = 3;
/// How long an owner without lines is remembered, so that a batch that arrives late isn't kept
/// again.
const OWNER_RETENTION: Duration = Duration::from_secs(300);

/// Bill lines for a replica to keep.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Batch {
    /// The owner of the lines.
    pub origin: Origin,
    /// All lines below this sequence number are stored and can be dropped.
    pub stored_below: u64,
    /// The sequence number of the first line.
    pub first: u64,
    /// The lines; empty in a heartbeat, which only tells what is stored and that the owner is
    /// alive.
    pub lines: Vec<Line>,
}

/// The memory limit for lines of peers is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no room for more lines")]
pub struct Full;

#[derive(Debug)]
struct Owner {
    lines: BTreeMap<u64, Line>,
    stored_below: u64,
    last_heard: Instant,
}

#[derive(Debug, Default)]
struct State {
    owners: HashMap<Origin, Owner>,
    n_bytes: usize,
}

/// All lines kept for peers.
#[derive(Debug)]
pub struct Replicas {
    clock: Arc<dyn Clock>,
    counters: Arc<Counters>,
    owner_timeout: Duration,
    is_store_down: AtomicBool,
    state: Mutex<State>,
}

impl Replicas {
    /// Creates an empty set. An owner that is silent for `owner_timeout` is presumed lost.
    pub fn new(clock: Arc<dyn Clock>, counters: Arc<Counters>, owner_timeout: Duration) -> Self {
        Self {
            clock,
            counters,
            owner_timeout,
            is_store_down: AtomicBool::default(),
            state: Mutex::default(),
        }
    }

    /// Keeps a batch and drops the lines that its owner has stored.
    pub fn insert(&self, batch: Batch) -> Result<(), Full> {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let State { owners, n_bytes } = &mut *state;
        if !batch.lines.is_empty() && MAX_BYTES <= *n_bytes {
            increment(&self.counters.replica_full, 1);
            return Err(Full);
        }
        let owner = owners.entry(batch.origin).or_insert_with(|| Owner {
            lines: BTreeMap::new(),
            stored_below: 0,
            last_heard: now,
        });
        owner.last_heard = now;
        owner.stored_below = owner.stored_below.max(batch.stored_below);
        for (sequence, line) in (batch.first..).zip(batch.lines) {
            // A batch that arrives after the message that its lines are stored isn't kept.
            if owner.stored_below <= sequence && !owner.lines.contains_key(&sequence) {
                *n_bytes += estimated_size(&line);
                owner.lines.insert(sequence, line);
            }
        }
        let retained = owner.lines.split_off(&owner.stored_below);
        let dropped = std::mem::replace(&mut owner.lines, retained);
        *n_bytes -= dropped.values().map(estimated_size).sum::<usize>();
        Ok(())
    }

    /// How many lines are kept.
    pub fn n_lines(&self) -> usize {
        self.state.lock().owners.values().map(|it| it.lines.len()).sum()
    }

    /// Stores the lines of owners that left, were replaced or have been silent too long, and
    /// returns whether all could be stored.
    pub async fn store_orphans(&self, members: &Members, objects: &dyn Objects) -> bool {
        for (origin, lines) in self.orphaned_lines(members) {
            for (first, lines) in store::contiguous_runs(lines.into_iter(), MAX_LINES_PER_OBJECT) {
                let end = first + lines.len() as u64;
                if store::put(objects, &origin, first, lines).await.is_err() {
                    increment(&self.counters.store_failed, 1);
                    self.is_store_down.store(true, Ordering::Relaxed);
                    return false;
                }
                increment(&self.counters.segment_taken_over, 1);
                self.is_store_down.store(false, Ordering::Relaxed);
                self.drop_lines(&origin, first, end);
            }
        }
        true
    }

    /// All lines kept, in batches, for a leaving node that hands them to other peers.
    pub fn batches(&self) -> Vec<Batch> {
        let state = self.state.lock();
        let lines = state.owners.iter().map(|(origin, it)| (origin.clone(), it.lines.clone()));
        lines.flat_map(|(origin, lines)| batches(&origin, lines)).collect()
    }

    /// The lines of owners that are gone, in batches, by owner.
    pub fn orphans(&self, members: &Members) -> Vec<(Origin, Vec<Batch>)> {
        let orphaned = self.orphaned_lines(members).into_iter();
        let batches_by_owner = orphaned.map(|(origin, lines)| {
            let batches = batches(&origin, lines);
            (origin, batches)
        });
        batches_by_owner.collect()
    }

    /// Stores all lines of a leaving node; the owners' other replicas may do so too.
    pub async fn flush(&self, objects: &dyn Objects) {
        let all: Vec<_> = {
            let state = self.state.lock();
            state.owners.iter().map(|(origin, it)| (origin.clone(), it.lines.clone())).collect()
        };
        for (origin, lines) in all {
            for (first, lines) in store::contiguous_runs(lines.into_iter(), MAX_LINES_PER_OBJECT) {
                let end = first + lines.len() as u64;
                if store::put(objects, &origin, first, lines).await.is_ok() {
                    self.drop_lines(&origin, first, end);
                }
            }
        }
    }

    fn orphaned_lines(&self, members: &Members) -> Vec<(Origin, BTreeMap<u64, Line>)> {
        let now = self.clock.now();
        // Owners flush less often in a large fleet. If replicas didn't allow for that, every line
        // of the fleet would be stored three times.
        let flush_interval =
            Duration::from_secs_f64(members.fleet_size() as f64 / MAX_FLEET_PUTS_PER_SECOND);
        let base_timeout = match self.is_store_down.load(Ordering::Relaxed) {
            true => self.owner_timeout,
            // Storing lines twice is harmless, and each second counts when several VMs are lost at
            // once.
            false => self.owner_timeout.min(SHORT_OWNER_TIMEOUT),
        };
        let timeout = base_timeout.max(flush_interval * MAX_MISSED_FLUSHES);
        let mut state = self.state.lock();
        state.owners.retain(|_, it| {
            !it.lines.is_empty() || now.saturating_duration_since(it.last_heard) < OWNER_RETENTION
        });
        let is_orphaned = |origin: &Origin, owner: &Owner| {
            !owner.lines.is_empty()
                && (timeout < now.saturating_duration_since(owner.last_heard)
                    || members.is_replaced(&origin.vm, origin.incarnation))
        };
        let orphaned = state.owners.iter().filter(|(origin, it)| is_orphaned(origin, it));
        orphaned.map(|(origin, it)| (origin.clone(), it.lines.clone())).collect()
    }

    fn drop_lines(&self, origin: &Origin, first: u64, end: u64) {
        let mut state = self.state.lock();
        let State { owners, n_bytes } = &mut *state;
        let Some(owner) = owners.get_mut(origin) else { return };
        for sequence in first..end {
            if let Some(line) = owner.lines.remove(&sequence) {
                *n_bytes -= estimated_size(&line);
            }
        }
    }
}

fn batches(origin: &Origin, lines: BTreeMap<u64, Line>) -> Vec<Batch> {
    let to_batch = |(first, lines)| {
        // Only the owner knows what is stored; a lower bound does no harm.
        Batch { origin: origin.clone(), stored_below: 0, first, lines }
    };
    store::contiguous_runs(lines.into_iter(), MAX_LINES_PER_OBJECT)
        .into_iter()
        .map(to_batch)
        .collect()
}

/// Approximately how many bytes a line takes in memory.
pub fn estimated_size(line: &Line) -> usize {
    /// Approximate overhead of an entry of the map.
    const MAP_ENTRY_BYTES: usize = 64;
    size_of::<Line>()
        + MAP_ENTRY_BYTES
        + line.request.as_str().len()
        + line.account.as_str().len()
        + line.served_by.len()
}
