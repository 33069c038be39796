//! A flag that is set once and can be awaited.

use async_channel::{Receiver, Sender};

/// Sets the flag of every [`Stop`] created together with this trigger.
#[derive(Debug, Clone)]
pub struct Trigger(Sender<()>);

/// Reports that a task should stop.
#[derive(Debug, Clone)]
pub struct Stop(Receiver<()>);

/// Creates a flag and its trigger.
///
/// ```
/// let (trigger, stop) = curranthook_http::stop::new();
/// assert!(!stop.is_set());
/// trigger.set();
/// assert!(stop.is_set());
/// ```
pub fn new() -> (Trigger, Stop) {
    let (tx, rx) = async_channel::bounded(1);
    (Trigger(tx), Stop(rx))
}

impl Trigger {
    /// Sets the flag; calling it again has no effect.
    pub fn set(&self) {
        self.0.close();
    }
}

impl Stop {
    /// Whether the flag is set.
    pub fn is_set(&self) -> bool {
        self.0.is_closed()
    }

    /// Waits until the flag is set.
    pub async fn wait(&self) {
        // Nothing is ever sent, so `recv` returns only when the channel is closed.
        let _closed = self.0.recv().await;
    }
}
