//! Notices that this process stood still, and catches up before anything is sent.
//!
//! A VM can be paused for minutes without the process noticing. What it knew before is old
//! then, and requests that waited are ready to go out before the first poll or exchange has
//! brought the news: a version that was withdrawn meanwhile would get them. So the first
//! requests after a pause wait until the platform or the peers have been asked.
//!
//! A node that is cut off, but runs, isn't held back: its callers would be left without answers
//! for as long as the outage lasts. There the engines refuse what was withdrawn.

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

/// How often the process shows itself that it runs.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// A process that stood still for longer than this doubts what it knows. Shorter pauses, as on
/// a busy machine, add less than this to the time that news takes anyway.
const STALL_THRESHOLD: Duration = Duration::from_secs(2);
/// How long requests wait for the news at most.
const REFRESH_TIMEOUT: Duration = Duration::from_secs(3);
/// How often it's looked whether the news is in force.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Whether the process stood still.
#[derive(Debug)]
pub struct Detector {
    clock: Arc<dyn Clock>,
    last_tick: Mutex<Instant>,
    is_stale: AtomicBool,
    /// One request asks for all that wait.
    refresh_lock: async_lock::Mutex<()>,
}

impl Detector {
    /// A process that has just started.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        let last_tick = Mutex::new(clock.now());
        Self {
            clock,
            last_tick,
            is_stale: AtomicBool::new(false),
            refresh_lock: async_lock::Mutex::new(()),
        }
    }

    /// Takes note that the process runs now, and says whether what it knows is in doubt.
    ///
    /// Whoever calls this first after a pause finds the gap, the task or a request; the doubt
    /// stays until somebody has asked.
    fn tick(&self) -> bool {
        let now = self.clock.now();
        let last_tick = std::mem::replace(&mut *self.last_tick.lock(), now);
        if STALL_THRESHOLD < now.saturating_duration_since(last_tick) {
            self.is_stale.store(true, Ordering::SeqCst);
        }
        self.is_stale.load(Ordering::SeqCst)
    }
}

/// Shows that the process runs, for as long as it lives.
pub async fn run(router: Arc<Router>) {
    loop {
        router.stall.tick();
        Timer::after(TICK_INTERVAL).await;
    }
}

/// Waits for news if the process stood still; otherwise returns at once.
pub async fn catch_up(router: &Router) {
    if !router.stall.tick() {
        return;
    }
    let _one_at_a_time = router.stall.refresh_lock.lock().await;
    if !router.stall.tick() {
        return;
    }
    log::info!("the process stood still");
    router.metrics.count(match timeout::run(REFRESH_TIMEOUT, refresh(router)).await {
        Ok(()) => "stall.caught_up",
        Err(timeout::Elapsed) => "stall.unreachable",
    });
    router.stall.is_stale.store(false, Ordering::SeqCst);
}

/// Asks the platform for the newest document, or else the peers, and waits until it's in force.
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
        Err(e) => log::error!("the published document can't be read: {e}"),
    }
}

/// Whether the newest document that the node knows is the one that requests are checked against.
fn is_newest_applied(router: &Router) -> bool {
    let newest = router.node.document().map(|it| it.epoch);
    let applied = router.current_snapshot.load().as_ref().map(|it| it.document.epoch);
    // Without a configuration nothing is sent anyway.
    applied.is_none() || newest <= applied
}
