//! A signal that wakes all waiting tasks.

use event_listener::Event;

/// Wakes all waiting tasks. Beginning to wait takes a time that does not depend on the number of
/// other tasks that wait.
///
/// ```
/// # use curranthook_gateway::signal::Signal;
/// # async_io::block_on(async {
/// let signal = Signal::default();
/// let waiting = signal.wait();
/// signal.wake();
/// waiting.await;
/// # });
/// ```
#[derive(Debug, Default)]
pub struct Signal(Event);

impl Signal {
    /// Wakes every task that waits now.
    pub fn wake(&self) {
        self.0.notify(usize::MAX);
    }

    /// Waits for the next [`Self::wake`]. A wake between this call and the first poll is not
    /// missed.
    pub fn wait(&self) -> impl Future<Output = ()> + use<> {
        self.0.listen()
    }
}
