//! Tasks that keep a node's copy of the store's tables up to date: by long polling a parent or the
//! store itself, and by polling random peers while the store is unavailable.

mod calls;
mod first_reads;
mod parents;
mod suspect;
mod waits;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_io::Timer;
use curranthook_http::timeout;
use futures_lite::future::{self, Boxed};

use crate::{
    Gateway,
    event::Event,
    store::{Batch, Error, Rev, Table},
};

use super::{
    joins, lost_rows,
    peers::{self, Received},
};

pub use self::parents::Shared;
use self::{
    calls::{call_store, unless_store_recovered},
    parents::{Parent, Role, n_siblings, n_siblings_of_stale, role_and_parents, role_changed},
    waits::{jitter, pause_or},
};

/// How long all nodes wait before their first reads when the fleet starts for the first time. By
/// then, each has written its address ([`crate::fleet_writer`]), and most find a parent instead of
/// reading the store.
const FIRST_START_PAUSE: Duration = Duration::from_secs(1);
/// How long a node that starts with the whole fleet waits after that for the tree, which it receives
/// from the node that writes its address.
const FIRST_TREE_WAIT: Duration = Duration::from_secs(3);
/// How long a starting node waits for the tree, from which it determines its parents, before it reads
/// the configuration from the store.
const TREE_WAIT: Duration = Duration::from_millis(100);
/// How long a parent may take to begin a reply with all rows of a table. A parent that starts at the
/// same time reads them first.
const SNAPSHOT_WAIT: Duration = Duration::from_secs(1);
/// The maximum number of parents that are queried before the store is called itself.
const MAX_PARENTS_QUERIED: usize = 2;
/// How long after its own start a node assumes that parents which do not answer are starting, too.
const PARENT_START_TIME: Duration = Duration::from_secs(2);
/// How long a node waits for its peers before it decides whether an outage affected all nodes.
const RECOVERY_POLL_TIMEOUT: Duration = Duration::from_millis(200);
/// How long entries that lapse in an outage of the store are used at most while it lasts.
const MAX_LAPSE_TIME: Duration = Duration::from_secs(60);
/// How long calls for rows other than the operators' are delayed while the store is unavailable. An
/// endpoint that starts to leave right after the outage must get no new requests two seconds later.
const OUTAGE_BACKOFF: Duration = Duration::from_secs(1);
/// The delay of those calls at a node without a configuration, which cannot use the rows yet.
const NO_CONFIGURATION_BACKOFF: Duration = Duration::from_secs(3);
/// While its parents have failed and the store is unavailable, a node with parents calls the store
/// in one of this many attempts.
const STORE_CALL_PERIOD: u32 = 4;
/// The average number of siblings, leaves or relays, that call the store in an attempt while their
/// parents are out of date.
const MAX_SIBLINGS_AT_STORE: f64 = 8.0;

/// Keeps one table up to date for the lifetime of the process.
pub async fn run(gateway: Arc<Gateway>, table: Table, shared: Arc<Shared>) {
    wait_for_start(&gateway, table).await;
    let mut watch = Watch {
        gateway,
        table,
        shared,
        known_rev: None,
        failures: 0,
        is_store_lost: false,
        first_calls: Vec::new(),
    };
    loop {
        watch.poll().await;
    }
}

/// Waits until the first read of a table can be useful.
async fn wait_for_start(gateway: &Gateway, table: Table) {
    let is_first_start = gateway.settings.is_first_start;
    if is_first_start {
        Timer::after(FIRST_START_PAUSE).await;
    }
    let has_writer = is_first_start && !joins::is_writer(gateway);
    match table {
        Table::Fleet if has_writer => gateway.wait_for_topology(FIRST_TREE_WAIT).await,
        Table::Fleet => {}
        Table::Operator if has_writer => gateway.wait_for_topology(FIRST_TREE_WAIT).await,
        Table::Operator => gateway.wait_for_topology(TREE_WAIT).await,
        // The endpoints alone do not suffice to serve, and are most of all rows.
        Table::Endpoints => gateway.wait_until(|| gateway.tree().is_some()).await,
    }
}

struct Watch {
    gateway: Arc<Gateway>,
    table: Table,
    shared: Arc<Shared>,
    /// The revision up to which the rows are known; none if all rows have to be read.
    known_rev: Option<Rev>,
    failures: u32,
    is_store_lost: bool,
    /// First calls for the configuration that have not been answered yet.
    first_calls: Vec<Boxed<Result<Batch, Error>>>,
}

/// Where rows were received from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Origin {
    /// The store.
    Store,
    /// The node at this address.
    Parent(SocketAddr),
}

/// Rows received from the store or a parent.
struct Update {
    rows: Received,
    origin: Origin,
    /// Whether these are all rows of the table.
    is_snapshot: bool,
}

impl Watch {
    async fn poll(&mut self) {
        let result = self.call().await;
        let Some(result) = result else { return };
        match result {
            Ok(update) => self.apply(update).await,
            Err(Error::Compacted) => self.known_rev = None,
            Err(e @ Error::EarlierEra { .. }) => {
                let why = format!("{}: {e}", table_name(self.table));
                let (name, state) = ("store", "earlier_era");
                self.gateway.log.write(&Event::Dependency { name, state, why: &why });
                self.known_rev = None;
            }
            Err(e) => self.record_failure(&e).await,
        }
    }

    /// Calls a parent or the store. None if the call was cancelled, because an outage of the store
    /// ended or the parent failed meanwhile.
    async fn call(&mut self) -> Option<Result<Update, Error>> {
        if self.table == Table::Fleet && self.gateway.tree().is_none() {
            match self.read_first_rows().await? {
                Ok(Some(update)) => return Some(Ok(update)),
                Ok(None) => {}
                Err(e) => return Some(Err(e)),
            }
        }
        let (role, mut parents) = role_and_parents(&self.gateway, &self.shared);
        if self.is_starting() {
            let addrs: Vec<_> = parents.iter().map(|it| it.addr).collect();
            match peers::first_reachable(&self.gateway, &addrs).await {
                Some(index) => parents.swap(0, index),
                None => parents.clear(),
            }
        }
        parents.truncate(MAX_PARENTS_QUERIED);
        for parent in parents {
            match self.call_parent(&parent).await? {
                Ok(update) => {
                    self.shared.record_answer(&parent.name);
                    return Some(Ok(update));
                }
                Err(e) => self.shared.record_failure(&self.gateway, parent.name, &e),
            }
        }
        if role == Role::Child && !self.should_call_store() {
            return Some(Err(Error::Down(
                "no parent has a recent answer from the store".to_owned(),
            )));
        }
        let (is_snapshot, result) = match self.known_rev {
            None => (true, self.read_all().await?),
            Some(since) => (false, self.read_changes(since, role).await?),
        };
        Some(result.map(|batch| {
            let rows = Received::from(batch);
            Update { rows, origin: Origin::Store, is_snapshot }
        }))
    }

    /// Whether a node with parents calls the store itself now. When all leaves find their relays
    /// out of date at the same time, or all relays their root, only some of them do. The others learn
    /// from their parents that the store is available again. The same holds for a node that starts:
    /// its parents may be starting, too.
    fn should_call_store(&self) -> bool {
        let is_starting = self.is_starting();
        if !is_starting && !self.failures.is_multiple_of(STORE_CALL_PERIOD) {
            return false;
        }
        let n_siblings = match is_starting {
            true => n_siblings(&self.gateway),
            false => n_siblings_of_stale(&self.gateway, &self.shared),
        };
        let Some(n_siblings) = n_siblings else { return true };
        rand::random::<f64>() < MAX_SIBLINGS_AT_STORE / n_siblings as f64
    }

    /// Whether this node has parents that may be starting together with it.
    fn is_starting(&self) -> bool {
        let age = self.gateway.now().saturating_duration_since(self.gateway.started);
        let is_recent = self.known_rev.is_none() && age < PARENT_START_TIME;
        is_recent && self.gateway.tree().is_some_and(|it| it.is_used())
    }

    /// Queries a parent. None if a call for another table found meanwhile that the parent has
    /// failed.
    async fn call_parent(&mut self, parent: &Parent) -> Option<Result<Update, Error>> {
        let (gateway, shared, table) = (&self.gateway, &self.shared, self.table);
        let (addr, max_age) = (parent.addr, parent.max_age);
        let wait = waits::relayed_poll(table);
        let update = |rows, is_snapshot| Update { rows, origin: Origin::Parent(addr), is_snapshot };
        let snapshot = async {
            let call = peers::snapshot(gateway, addr, table, SNAPSHOT_WAIT, max_age);
            call.await.map(|it| update(it, true))
        };
        let known_rev = self.known_rev;
        let call = async {
            let Some(since) = known_rev else { return Some(snapshot.await) };
            match peers::changes(gateway, addr, table, since, wait, max_age).await {
                // The parent's history of the table begins after `since`.
                Err(Error::Compacted) => Some(snapshot.await),
                other => Some(other.map(|it| update(it, false))),
            }
        };
        let missed = async {
            let since = suspect::since(known_rev.filter(|_| suspect::MIN_INTERVAL < wait)).await;
            match suspect::query_parent(gateway, addr, table, since, max_age).await {
                // The other call reads all rows.
                Err(Error::Compacted) => future::pending().await,
                other => Some(other.map(|it| update(it, false))),
            }
        };
        let call = future::or(call, missed);
        let parent_failed = async {
            loop {
                let failed = shared.parent_failed.wait();
                if shared.is_failed(&parent.name, gateway.now()) {
                    return None;
                }
                failed.await;
            }
        };
        future::or(call, parent_failed).await
    }

    async fn read_changes(&mut self, since: Rev, role: Role) -> Option<Result<Batch, Error>> {
        // A call that waits would hang for its whole wait at a store that still does not answer, and a
        // configuration written right after the outage would arrive too late.
        let wait = match self.failures {
            0 => waits::poll(role, self.table),
            _ => Duration::ZERO,
        };
        let call = call_store(&self.gateway, self.table, Some((since, wait)));
        let missed = async {
            // A short wait bounds by itself how long a change is missed.
            match suspect::MIN_INTERVAL < wait {
                true => suspect::query_store(&self.gateway, self.table, since).await,
                false => future::pending().await,
            }
        };
        let call = future::or(call, missed);
        let call = unless_store_recovered(&self.shared, call);
        let is_over = future::or(
            role_changed(&self.gateway, &self.shared, role),
            // A call that waits for changes of an earlier era may never be answered.
            self.gateway.store.wait_for_era_after(since.era()),
        );
        future::or(call, async {
            is_over.await;
            None
        })
        .await
    }

    async fn apply(&mut self, update: Update) {
        let Update { mut rows, origin, is_snapshot } = update;
        if self.is_store_lost {
            self.is_store_lost = false;
            self.shared.record_recovered(self.table);
            self.gateway.log.write(&Event::Dependency {
                name: "store",
                state: "back",
                why: table_name(self.table),
            });
            // Only their newest answers tell whether the store has served other nodes meanwhile. The
            // ones known are as old as this node's last failed call.
            let poll = peers::poll_peers(&self.gateway);
            let _unanswered = timeout::run(RECOVERY_POLL_TIMEOUT, poll).await;
            let until = self.gateway.outage.lock().record_recovery(self.gateway.now());
            self.gateway.directory.lock().keep_missing_until(until);
        }
        // Signalled even after a single failure, because calls for other tables may have failed
        // more often and be waiting. The same holds for the first read: calls for other tables were
        // made before it, and hang if the store did not answer then.
        let is_first_read = self.known_rev.is_none() && origin == Origin::Store;
        if self.table == Table::Operator && (0 < self.failures || is_first_read) {
            self.shared.store_recovered.wake();
        }
        self.failures = 0;
        let rev = rows.batch.rev;
        if !is_snapshot && self.known_rev.is_some_and(|it| rev < it || it.era() < rev.era()) {
            // The known revision is of another history of the store, or was received malformed.
            self.known_rev = None;
            return;
        }
        self.known_rev = Some(rev);
        let is_empty = rows.batch.rows.is_empty();
        if self.table == Table::Endpoints && origin == Origin::Store && self.shared.is_any_lost() {
            // The answer to a call from before the outage.
            let now = self.gateway.now();
            if self.gateway.outage.lock().affects_all(now) {
                self.gateway.directory.lock().keep_missing_until(now + MAX_LAPSE_TIME);
            }
        }
        let (from, parent) = match origin {
            Origin::Store => ("store", None),
            Origin::Parent(addr) => ("parent", Some(addr)),
        };
        if is_snapshot {
            lost_rows::receive(&self.gateway, self.table, &mut rows.batch, parent).await;
        }
        rows.apply(&self.gateway, self.table, is_snapshot, from);
        if self.table != Table::Operator && !is_empty {
            Timer::after(waits::after_change(origin, self.table, self.gateway.n_nodes())).await;
        }
    }

    async fn record_failure(&mut self, error: &Error) {
        self.failures += 1;
        self.gateway.mirror.lock().mark_interrupted(self.table);
        self.gateway.outage.lock().record_failure(self.gateway.now());
        // A single lost answer is not an outage; the next call shows whether there is one.
        if self.failures == 2 && !self.is_store_lost {
            self.is_store_lost = true;
            self.shared.record_lost(self.table);
            let why = error.to_string();
            let state = "lost";
            self.gateway.log.write(&Event::Dependency { name: "store", state, why: &why });
        }
        // The answer to a single call may be lost, and with it a change: the next call follows at once.
        if self.failures == 1 && self.known_rev.is_some() && matches!(error, Error::Lost(_)) {
            return;
        }
        if self.table == Table::Operator {
            // If all nodes start at once, the peers are no further than the parents.
            if !self.is_starting() {
                peers::poll_peers(&self.gateway).await;
            }
        } else if self.gateway.configuration.load().is_none() {
            // Any rows that are applied may contain the configuration, so a change ends the pause. So
            // does an answer of the store: from the fleet's rows, a node knows whom to ask for what the
            // store has lost.
            let applied = self.gateway.rows_changed.wait();
            let applied = future::or(applied, self.shared.store_recovered.wait());
            if self.gateway.configuration.load().is_none() {
                return pause_or(applied, NO_CONFIGURATION_BACKOFF).await;
            }
        } else if self.is_store_lost && self.shared.is_lost(Table::Operator) {
            // The task for the operators' table detects the end of the outage; the others wait for
            // its signal.
            return pause_or(self.shared.store_recovered.wait(), OUTAGE_BACKOFF).await;
        }
        let pause = waits::after_failures(self.failures, self.known_rev.is_some());
        Timer::after(jitter(pause)).await;
    }
}

/// A table's name in logs.
pub fn table_name(table: Table) -> &'static str {
    match table {
        Table::Operator => "operator",
        Table::Endpoints => "endpoints",
        Table::Fleet => "fleet",
    }
}
