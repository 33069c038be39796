//! A signal that wakes all who wait for it.

use async_channel::Sender;
use parking_lot::Mutex;

/// Wakes all who wait.
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
pub struct Signal(Mutex<Vec<Sender<()>>>);

impl Signal {
    /// Wakes everyone who waits now.
    pub fn wake(&self) {
        // A receiver wakes when its sender is gone.
        self.0.lock().clear();
    }

    /// Waits for the next [`Self::wake`]; it counts from this call, not from the first poll.
    pub fn wait(&self) -> impl Future<Output = ()> + use<> {
        let (tx, rx) = async_channel::bounded::<()>(1);
        let mut waiting = self.0.lock();
        // Whoever stopped waiting left a sender behind.
        waiting.retain(|it| !it.is_closed());
        waiting.push(tx);
        async move {
            let _closed = rx.recv().await;
        }
    }
}
