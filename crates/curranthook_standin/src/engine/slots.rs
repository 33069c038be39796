//! Batch slots and the priority queue of requests waiting for one.

use std::{collections::BTreeMap, sync::Arc};

use async_channel::Sender;
use parking_lot::Mutex;

/// The batch slots of an engine.
#[derive(Debug)]
pub(super) struct Slots {
    n_slots: usize,
    max_queue: usize,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    n_running: usize,
    n_arrived: u64,
    /// Ordered by priority, then arrival; the lowest is served first.
    queue: BTreeMap<(i32, u64), Sender<Permit>>,
}

/// The error that the queue is full.
#[derive(Debug)]
pub(super) struct Full;

/// A slot in the batch, released on drop.
#[derive(Debug)]
pub(super) struct Permit {
    slots: Arc<Slots>,
}

/// A queue entry, removed on drop.
#[derive(Debug)]
struct Waiter {
    slots: Arc<Slots>,
    key: (i32, u64),
}

impl Slots {
    pub(super) fn new(n_slots: usize, max_queue: usize) -> Self {
        Self { n_slots, max_queue, state: Mutex::default() }
    }

    /// The number of requests running or waiting.
    pub(super) fn n_in_flight(&self) -> usize {
        let state = self.state.lock();
        state.n_running + state.queue.len()
    }

    /// The number of requests in the batch.
    pub(super) fn n_running(&self) -> usize {
        self.state.lock().n_running
    }

    /// Whether the queue has no room for another request.
    pub(super) fn is_full(&self) -> bool {
        let state = self.state.lock();
        self.n_slots <= state.n_running && self.max_queue <= state.queue.len()
    }

    /// Waits for a slot, or fails at once if the queue is full.
    pub(super) async fn acquire(self: &Arc<Self>, priority: i32) -> Result<Permit, Full> {
        let (waiter, receiver) = {
            let mut state = self.state.lock();
            if state.n_running < self.n_slots {
                state.n_running += 1;
                return Ok(Permit { slots: Arc::clone(self) });
            }
            if self.max_queue <= state.queue.len() {
                return Err(Full);
            }
            let (sender, receiver) = async_channel::bounded(1);
            let key = (priority, state.n_arrived);
            state.n_arrived += 1;
            state.queue.insert(key, sender);
            (Waiter { slots: Arc::clone(self), key }, receiver)
        };
        let permit = receiver.recv().await.map_err(|_| Full);
        drop(waiter);
        permit
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        self.slots.state.lock().queue.remove(&self.key);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let next = {
            let mut state = self.slots.state.lock();
            match state.queue.pop_first() {
                Some((_, next)) => next,
                None => {
                    state.n_running -= 1;
                    return;
                }
            }
        };
        // If the waiting request was cancelled in the meantime, `try_send` returns this permit
        // in its error, and dropping it passes the slot to the next request.
        let _cancelled_waiter = next.try_send(Self { slots: Arc::clone(&self.slots) });
    }
}
