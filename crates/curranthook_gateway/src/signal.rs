//! A signal that wakes all waiting tasks.

use async_channel::Sender;
use parking_lot::Mutex;

/// Wakes all waiting tasks.
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
    /// Wakes every task that waits now.
    pub fn wake(&self) {
        // A receiver wakes when its sender is dropped.
        self.0.lock().clear();
    }

    /// Waits for the next [`Self::wake`]. A wake between this call and the first poll is not
    /// missed.
    pub fn wait(&self) -> impl Future<Output = ()> + use<> {
        let (tx, rx) = async_channel::bounded::<()>(1);
        let mut waiting = self.0.lock();
        // Futures that were dropped left their senders behind.
        waiting.retain(|it| !it.is_closed());
        waiting.push(tx);
        async move {
            let _closed = rx.recv().await;
        }
    }
}
