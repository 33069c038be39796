//! Bill lines that this node holds as a replica for peers until the object store has them.
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

/// Limit on the memory for peers' bill lines, in bytes. Above it new lines are rejected, and their
/// owner tries another peer or the object store.
const MAX_BYTES: usize = 32 * 1024 * 1024;
/// Maximum number of bill lines in one object of the store.
const MAX_LINES_PER_OBJECT: usize = 2_000;
/// Limit on writes to the object store per second by all nodes together; the platform allows
/// several hundred.
pub const MAX_FLEET_PUTS_PER_SECOND: f64 = 100.0;
/// Upper bound on the owner timeout, unless the last write of orphaned lines to the store failed.
const SHORT_OWNER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// An owner that sends no message for this many flush intervals is presumed lost.
const MAX_MISSED_FLUSHES: u32 = 3;
/// How long the record of an owner without lines is retained. Until then, a delayed batch whose
/// lines are already in the store is recognized and discarded.
const OWNER_RETENTION: Duration = Duration::from_secs(300);

/// Bill lines that an owner sends to a replica.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Batch {
    /// The owner of the lines.
    pub origin: Origin,
    /// All lines below this sequence number are stored and can be dropped.
    pub stored_below: u64,
    /// The sequence number of the first line.
    pub first: u64,
    /// The lines; empty in a heartbeat, which only reports `stored_below` and that the owner is
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
    last_message_at: Instant,
}

#[derive(Debug, Default)]
struct State {
    owners: HashMap<Origin, Owner>,
    n_bytes: usize,
}

/// The bill lines of peers that this node holds.
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

    /// Adds the lines of a batch and drops those that its owner has stored.
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
            last_message_at: now,
        });
        owner.last_message_at = now;
        owner.stored_below = owner.stored_below.max(batch.stored_below);
        for (sequence, line) in (batch.first..).zip(batch.lines) {
            // Lines that the owner has reported as stored are skipped; a batch may arrive late.
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

    /// The number of lines held for peers.
    pub fn n_lines(&self) -> usize {
        self.state.lock().owners.values().map(|it| it.lines.len()).sum()
    }

    /// Stores the lines of owners that left, were replaced or sent no message within the timeout,
    /// and returns whether all could be stored.
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

    /// All lines held for peers, in batches, for a leaving node that sends them to other peers.
    pub fn batches(&self) -> Vec<Batch> {
        let state = self.state.lock();
        let lines = state.owners.iter().map(|(origin, it)| (origin.clone(), it.lines.clone()));
        lines.flat_map(|(origin, lines)| batches(&origin, lines)).collect()
    }

    /// The lines of owners that left, were replaced or are presumed lost, in batches, by owner.
    pub fn orphans(&self, members: &Members) -> Vec<(Origin, Vec<Batch>)> {
        let orphaned = self.orphaned_lines(members).into_iter();
        let batches_by_owner = orphaned.map(|(origin, lines)| {
            let batches = batches(&origin, lines);
            (origin, batches)
        });
        batches_by_owner.collect()
    }

    /// Stores all lines held for peers, before this node leaves; the owners' other replicas may
    /// store them too.
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
            !it.lines.is_empty()
                || now.saturating_duration_since(it.last_message_at) < OWNER_RETENTION
        });
        let is_orphaned = |origin: &Origin, owner: &Owner| {
            !owner.lines.is_empty()
                && (timeout < now.saturating_duration_since(owner.last_message_at)
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
        // Only the owner knows which lines are stored; zero is a safe lower bound.
        Batch { origin: origin.clone(), stored_below: 0, first, lines }
    };
    store::contiguous_runs(lines.into_iter(), MAX_LINES_PER_OBJECT)
        .into_iter()
        .map(to_batch)
        .collect()
}

/// Approximate memory use of a line, in bytes.
pub fn estimated_size(line: &Line) -> usize {
    /// Approximate overhead of a `BTreeMap` entry, in bytes.
    const MAP_ENTRY_BYTES: usize = 64;
    size_of::<Line>()
        + MAP_ENTRY_BYTES
        + line.request.as_str().len()
        + line.account.as_str().len()
        + line.served_by.len()
}
