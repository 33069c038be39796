//! The tasks that follow the rows of the store, through peers while the store is away.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use async_io::Timer;
use rand::RngExt;

use crate::{
    Gateway, apply,
    event::Event,
    peers,
    store::{Batch, Error, Rev, Table},
};

/// How long a call for operators' rows waits for a change. It also notices that the store is
/// away, so it's short; a lost answer delays a configuration by no more than this.
const WAIT_OPERATOR: Duration = Duration::from_secs(3);
/// How long calls for other rows wait. Each call is charged for.
const WAIT: Duration = Duration::from_secs(15);
/// The pause after rows of endpoints or of the fleet changed, for each node there is. Such rows
/// change in quick succession: when 140 endpoints start, each call of 82 nodes that waits would
/// be answered 140 times, 11,500 calls in place of some hundred. With the pause, all nodes
/// together make no more than 80 calls a second for a table.
const PAUSE_PER_NODE: Duration = Duration::from_millis(12);
/// The bounds of that pause. The longer is half of the time in which a leaving endpoint must get
/// no more work.
const PAUSES: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(1));
/// The pause after a first failure.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// The longest pause between calls to a store that is away.
const MAX_PAUSE: Duration = Duration::from_millis(800);

/// Wakes the calls that wait when the store has been away, as their answers may never come.
#[derive(Debug, Default)]
pub struct Returned {
    count: AtomicU64,
    event: async_io_event::Event,
}

mod async_io_event {
    //! A flag that all who wait see at once.
    use parking_lot::Mutex;

    /// Wakes all who wait.
    #[derive(Debug, Default)]
    pub struct Event(Mutex<Vec<async_channel::Sender<()>>>);

    impl Event {
        /// Wakes everyone who waits now.
        pub fn wake(&self) {
            self.0.lock().clear();
        }

        /// Waits until the next [`Self::wake`].
        pub async fn wait(&self) {
            let (tx, rx) = async_channel::bounded::<()>(1);
            self.0.lock().push(tx);
            let _woken = rx.recv().await;
        }
    }
}

impl Returned {
    fn announce(&self) {
        self.count.fetch_add(1, Ordering::Relaxed);
        self.event.wake();
    }
}

/// Follows one table for as long as the process lives.
pub async fn run(gateway: Arc<Gateway>, table: Table, returned: Arc<Returned>) {
    let mut follower =
        Follower { gateway, table, returned, since: None, failures: 0, is_away: false };
    loop {
        follower.step().await;
    }
}

struct Follower {
    gateway: Arc<Gateway>,
    table: Table,
    returned: Arc<Returned>,
    /// Up to where the rows are known; none if all must be read.
    since: Option<Rev>,
    failures: u32,
    is_away: bool,
}

impl Follower {
    async fn step(&mut self) {
        let result = self.call().await;
        let Some(result) = result else { return };
        self.gateway.metrics.store_call(self.table, &result);
        match result {
            Ok(batch) => self.take(batch).await,
            Err(Error::Compacted) => self.since = None,
            Err(e) => self.failed(&e).await,
        }
    }

    /// Asks the store; none if the call was given up because the store was away meanwhile.
    async fn call(&self) -> Option<Result<Batch, Error>> {
        let store = &self.gateway.store;
        let Some(since) = self.since else { return Some(store.all(self.table).await) };
        let wait = if self.table == Table::Operator { WAIT_OPERATOR } else { WAIT };
        let changes = async { Some(store.changes(self.table, since, wait).await) };
        let given_up = async {
            self.returned.event.wait().await;
            None
        };
        futures_lite::future::or(changes, given_up).await
    }

    async fn take(&mut self, batch: Batch) {
        if self.is_away {
            self.is_away = false;
            self.gateway.log.write(&Event::Dependency {
                name: "store",
                state: "back",
                why: name(self.table),
            });
            let now = self.gateway.now();
            self.gateway.directory.lock().store_returned(now);
            if self.table == Table::Operator {
                self.returned.announce();
            }
        }
        self.failures = 0;
        let is_whole = self.since.is_none();
        self.since = Some(batch.rev);
        let is_empty = batch.rows.is_empty();
        apply::batch(&self.gateway, self.table, batch, is_whole, "store");
        if self.table != Table::Operator && !is_empty {
            let n_nodes = u32::try_from(self.gateway.n_nodes()).unwrap_or(u32::MAX);
            let pause = PAUSE_PER_NODE.saturating_mul(n_nodes);
            Timer::after(pause.clamp(PAUSES.0, PAUSES.1)).await;
        }
    }

    async fn failed(&mut self, error: &Error) {
        self.failures += 1;
        // One lost answer is no outage; its repeat tells.
        if self.failures == 2 && !self.is_away {
            self.is_away = true;
            let why = error.to_string();
            let state = "lost";
            self.gateway.log.write(&Event::Dependency { name: "store", state, why: &why });
        }
        // The answers that were lost may have held changes; only a whole read is sure of them.
        if 2 <= self.failures {
            self.since = None;
        }
        if self.table == Table::Operator {
            peers::ask(&self.gateway).await;
        }
        let pause = (FIRST_PAUSE * 2_u32.saturating_pow(self.failures.min(6) - 1)).min(MAX_PAUSE);
        // Spread, so that the nodes don't all come back to the store at the same moment.
        let spread = rand::rng().random_range(0.7..1.3);
        Timer::after(pause.mul_f64(spread)).await;
    }
}

/// A table's name in logs.
pub fn name(table: Table) -> &'static str {
    match table {
        Table::Operator => "operator",
        Table::Endpoints => "endpoints",
        Table::Fleet => "fleet",
    }
}
