//! Detects that this process was paused, and refreshes its configuration before anything is sent.
//!
//! A VM can be paused for minutes without the process noticing. Its configuration is then out of
//! date, and queued requests could be sent before the first poll or peer exchange fetches a newer
//! one: a version that was withdrawn in the meantime would receive them. Therefore the first
//! requests after a pause wait until the platform or the peers have been queried.
//!
//! A node that is running but cut off from the network does not wait: its callers would get no
//! responses for as long as the outage lasts. In that case the engines refuse requests for
//! withdrawn versions.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use async_io::Timer;
use curranthook_http::timeout;
use curranthook_platform::Row;
use curranthook_settings::{Document, document};
use curranthook_types::Clock;
use parking_lot::Mutex;

use crate::Router;

/// The interval at which the process records that it is running.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// A process that was paused for longer than this considers its configuration out of date. Shorter
/// pauses, as on a busy machine, add less than this to the time that a configuration change takes
/// anyway.
const STALL_THRESHOLD: Duration = Duration::from_secs(2);
/// The longest time that requests wait for the newest configuration after a pause.
const REFRESH_TIMEOUT: Duration = Duration::from_secs(3);
/// How often to check whether the newest configuration has been applied.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Detects pauses of the process.
#[derive(Debug)]
pub struct Detector {
    clock: Arc<dyn Clock>,
    last_tick: Mutex<Instant>,
    is_stale: AtomicBool,
    /// One request refreshes the configuration for all that wait.
    refresh_lock: async_lock::Mutex<()>,
}

impl Detector {
    /// Creates the detector when the process starts.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        let last_tick = Mutex::new(clock.now());
        Self {
            clock,
            last_tick,
            is_stale: AtomicBool::new(false),
            refresh_lock: async_lock::Mutex::new(()),
        }
    }

    /// Records that the process is running, and returns whether its configuration may be out of
    /// date.
    ///
    /// The first caller after a pause detects the gap, whether it is the background task or a
    /// request; the state stays set until a refresh has finished.
    fn tick(&self) -> bool {
        let now = self.clock.now();
        let last_tick = std::mem::replace(&mut *self.last_tick.lock(), now);
        if STALL_THRESHOLD < now.saturating_duration_since(last_tick) {
            self.is_stale.store(true, Ordering::SeqCst);
        }
        self.is_stale.load(Ordering::SeqCst)
    }
}

/// Records that the process is running for as long as it runs.
pub async fn run(router: Arc<Router>) {
    loop {
        router.stall.tick();
        Timer::after(TICK_INTERVAL).await;
    }
}

/// Refreshes the configuration if the process was paused; otherwise returns immediately.
pub async fn refresh_if_paused(router: &Router) {
    if !router.stall.tick() {
        return;
    }
    let _one_at_a_time = router.stall.refresh_lock.lock().await;
    if !router.stall.tick() {
        return;
    }
    log::info!("the process was paused; refreshing the configuration");
    router.metrics.count(match timeout::run(REFRESH_TIMEOUT, refresh(router)).await {
        Ok(()) => "stall.caught_up",
        Err(timeout::Elapsed) => "stall.unreachable",
    });
    router.stall.is_stale.store(false, Ordering::SeqCst);
}

/// Fetches the newest document from the platform, or else from the peers, and waits until it is
/// applied.
async fn refresh(router: &Router) {
    let (table, key) = document::ROW;
    match router.claims.get(table, key).await {
        Ok(Some(row)) => offer_document(router, &row),
        Ok(None) | Err(_) => router.node.refresh().await,
    }
    while !is_newest_applied(router) {
        Timer::after(POLL_INTERVAL).await;
    }
}

fn offer_document(router: &Router, row: &Row) {
    match serde_json::from_slice::<Document>(&row.value) {
        Ok(document) => _ = router.node.offer(document),
        Err(e) => log::error!("cannot parse the published configuration document: {e}"),
    }
}

/// Whether the newest document that the node has received is the one that requests are checked
/// against.
fn is_newest_applied(router: &Router) -> bool {
    let newest = router.node.document().map(|it| it.epoch);
    let applied = router.current_snapshot.load().as_ref().map(|it| it.document.epoch);
    // Without a configuration nothing is sent anyway.
    applied.is_none() || newest <= applied
}
