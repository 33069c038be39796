//! A flag that is set once and can be waited for.

use async_channel::{Receiver, Sender};

/// Sets the flag of all [`Stop`]s made with it.
#[derive(Debug, Clone)]
pub struct Trigger(Sender<()>);

/// Tells when to stop.
#[derive(Debug, Clone)]
pub struct Stop(Receiver<()>);

/// Makes a flag.
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
    /// Sets the flag; doing it again changes nothing.
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
        // Nothing is ever sent, so this ends only when the channel is closed.
        let _closed = self.0.recv().await;
    }
}
