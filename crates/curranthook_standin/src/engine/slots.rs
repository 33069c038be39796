//! Places in the batch, and the queue for them.

use std::{collections::BTreeMap, sync::Arc};

use async_channel::Sender;
use parking_lot::Mutex;

/// Places in the batch.
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
    /// By priority and arrival, the lowest first.
    queue: BTreeMap<(i32, u64), Sender<Permit>>,
}

/// Too many wait already.
#[derive(Debug)]
pub(super) struct Full;

/// A place in the batch, given back when dropped.
#[derive(Debug)]
pub(super) struct Permit {
    slots: Arc<Slots>,
}

/// A place in the queue, given up when dropped.
#[derive(Debug)]
struct Ticket {
    slots: Arc<Slots>,
    key: (i32, u64),
}

impl Slots {
    pub(super) fn new(n_slots: usize, max_queue: usize) -> Self {
        Self { n_slots, max_queue, state: Mutex::default() }
    }

    /// How many requests are running or waiting.
    pub(super) fn n_held(&self) -> usize {
        let state = self.state.lock();
        state.n_running + state.queue.len()
    }

    /// How many requests are in the batch.
    pub(super) fn n_running(&self) -> usize {
        self.state.lock().n_running
    }

    /// Whether the queue has no room for another request.
    pub(super) fn is_full(&self) -> bool {
        let state = self.state.lock();
        self.n_slots <= state.n_running && self.max_queue <= state.queue.len()
    }

    /// Waits for a place.
    pub(super) async fn acquire(self: &Arc<Self>, priority: i32) -> Result<Permit, Full> {
        let (ticket, granted) = {
            let mut state = self.state.lock();
            if state.n_running < self.n_slots {
                state.n_running += 1;
                return Ok(Permit { slots: Arc::clone(self) });
            }
            if self.max_queue <= state.queue.len() {
                return Err(Full);
            }
            let (tx, rx) = async_channel::bounded(1);
            let key = (priority, state.n_arrived);
            state.n_arrived += 1;
            state.queue.insert(key, tx);
            (Ticket { slots: Arc::clone(self), key }, rx)
        };
        let permit = granted.recv().await.map_err(|_| Full);
        drop(ticket);
        permit
    }
}

impl Drop for Ticket {
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
        // If the waiting request has just been given up, this permit comes back as an error and
        // its drop passes the place on.
        let _given_up = next.try_send(Self { slots: Arc::clone(&self.slots) });
    }
}
