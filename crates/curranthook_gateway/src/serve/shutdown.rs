//! The stages of a shutdown, for all that has to end with it.

use std::{
    sync::{
        OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use async_io::Timer;
use curranthook_http::stop::{self, Stop, Trigger};
use curranthook_types::Clock;

/// Whether the node is shutting down, and until when.
#[derive(Debug)]
pub struct Shutdown {
    trigger: Trigger,
    begun: Stop,
    is_closed: AtomicBool,
    deadline: OnceLock<Instant>,
}

impl Default for Shutdown {
    fn default() -> Self {
        let (trigger, begun) = stop::new();
        Self { trigger, begun, is_closed: AtomicBool::new(false), deadline: OnceLock::new() }
    }
}

impl Shutdown {
    /// Begins to shut down. What isn't answered by `deadline` has to be answered then.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use curranthook_gateway::serve::shutdown::Shutdown;
    /// let (shutdown, now) = (Shutdown::default(), Instant::now());
    /// assert_eq!(shutdown.time_left(now), None);
    /// shutdown.begin(now + Duration::from_secs(5));
    /// assert_eq!(shutdown.time_left(now), Some(Duration::from_secs(5)));
    /// ```
    pub fn begin(&self, deadline: Instant) {
        // A second signal doesn't extend the grace period.
        let _begun_before = self.deadline.set(deadline);
        self.trigger.set();
    }

    /// Whether the node is shutting down.
    pub fn is_begun(&self) -> bool {
        self.begun.is_set()
    }

    /// Refuses all requests from now on that have not been sent to an endpoint yet.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
    }

    /// Whether new requests are refused.
    pub fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Relaxed)
    }

    /// The time until the last answers are sent; none while the node is not shutting down.
    pub fn time_left(&self, now: Instant) -> Option<Duration> {
        self.deadline.get().map(|it| it.saturating_duration_since(now))
    }

    /// Waits until the last answers have to be sent.
    pub async fn wait_for_deadline(&self, clock: &dyn Clock) {
        self.begun.wait().await;
        if let Some(left) = self.time_left(clock.now()) {
            Timer::after(left).await;
        }
    }
}
