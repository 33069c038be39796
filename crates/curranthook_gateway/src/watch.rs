//! The tasks that watch the rows of the store, at a parent or in the store itself, and through peers
//! while the store is away.

mod parents;

use std::{sync::Arc, task::Poll, time::Duration};

use async_io::Timer;
use curranthook_http::timeout;
use futures_lite::{
    FutureExt,
    future::{self, Boxed},
};
use rand::RngExt;

use crate::{
    Gateway, apply,
    event::Event,
    peers, relays,
    store::{Batch, Error, Rev, Table},
};

pub use self::parents::Shared;
use self::parents::{Parent, Role, are_relays_stale, place, role_changed};

/// How long a call for operators' rows waits for a change in a fleet without relays. It also notices
/// that the store is away, so it's short; a lost answer delays a configuration by no more than this.
const WAIT_OPERATOR: Duration = Duration::from_secs(3);
/// How long calls for other rows wait there. Each call is charged for.
const WAIT: Duration = Duration::from_secs(15);
/// How long calls for operators' rows wait at the root of a fleet and at parents. They tell how old
/// the knowledge of all tables is.
const WAIT_RELAYED_OPERATOR: Duration = Duration::from_millis(700);
/// How long calls for other rows wait there. A call whose answer is lost hangs for that long.
const WAIT_RELAYED: Duration = Duration::from_secs(5);
/// How long all nodes wait before their first reads when the fleet starts for the first time. By then each
/// has written its address ([`crate::fleet_writer`]), and most find a parent instead of reading the store.
const FIRST_START_PAUSE: Duration = Duration::from_secs(1);
/// How long a node that starts waits for the rows of the other nodes, among which it finds a parent.
const MEMBERS_LIMIT: Duration = Duration::from_millis(100);
/// How long a parent may take to hand all rows to a node that starts, before that reads them in the store.
const SNAPSHOT_LIMIT: Duration = Duration::from_millis(200);
/// The pause after rows of endpoints or of the fleet changed, for each node of a fleet without relays.
/// Such rows change in quick succession: when many endpoints start, each call that waits would be answered
/// once for each. With the pause, all nodes together make no more than 80 calls a second for a table.
const PAUSE_PER_NODE: Duration = Duration::from_millis(12);
/// The bounds of that pause. The longer is half of the time in which a leaving endpoint must get
/// no more work.
const PAUSES: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(1));
/// The same pause at a root.
const PAUSE_ROOT: Duration = Duration::from_millis(250);
/// The same for rows of the fleet, which no bound waits for.
const PAUSE_ROOT_FLEET: Duration = Duration::from_millis(500);
/// The same pause at a parent. A relay on a weak link that answered its children more often while many
/// endpoints are replaced would have no room left for its own callers.
const PAUSE_CHILD: Duration = Duration::from_millis(400);
/// The pause after a first failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(150);
/// How long calls for other rows than operators' are put off while the store is away. An endpoint
/// that leaves right after may get no more work two seconds later.
const OUTAGE_BACKOFF: Duration = Duration::from_secs(1);
/// The same for a node without a configuration, to which those rows are of no use yet.
const UNREAD_BACKOFF: Duration = Duration::from_secs(3);
/// Every how many tries a node that has parents asks a store that is away itself.
const OWN_TRIES: u32 = 4;
/// How many leaves of a fleet whose relays are all out of date ask the store at a time.
const OWN_TRIES_AT_ONCE: f64 = 8.0;
/// The longest pause between calls to a store that is away.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// The same for a node that has no configuration and so serves nobody.
const MAX_BACKOFF_UNREAD: Duration = Duration::from_millis(300);
/// How long a first call for the configuration is waited for before another one is made beside it.
/// A call that was sent while the store was silent hangs until its own limit, though the store may be
/// back long before; a slow store still answers the older call.
const FIRST_LIMIT: Duration = Duration::from_millis(600);

/// Watches one table for as long as the process lives.
pub async fn run(gateway: Arc<Gateway>, table: Table, shared: Arc<Shared>) {
    if gateway.settings.is_first_start {
        Timer::after(FIRST_START_PAUSE).await;
    }
    if table != Table::Fleet {
        gateway.wait_for_members(MEMBERS_LIMIT).await;
    }
    let mut watch = Watch {
        gateway,
        table,
        shared,
        since: None,
        failures: 0,
        is_away: false,
        first_calls: Vec::new(),
    };
    loop {
        watch.step().await;
    }
}

struct Watch {
    gateway: Arc<Gateway>,
    table: Table,
    shared: Arc<Shared>,
    /// Up to where the rows are known; none if all must be read.
    since: Option<Rev>,
    failures: u32,
    is_away: bool,
    /// First calls for the configuration that have no answer yet.
    first_calls: Vec<Boxed<Result<Batch, Error>>>,
}

/// Where rows come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Origin {
    /// The store.
    Store,
    /// Another node.
    Parent,
}

/// Rows that were told.
struct Told {
    batch: Batch,
    origin: Origin,
    /// Whether these are all rows of the table.
    is_whole: bool,
}

impl Watch {
    async fn step(&mut self) {
        let result = self.call().await;
        let Some(result) = result else { return };
        match result {
            Ok(told) => self.take(told).await,
            Err(Error::Compacted) => self.since = None,
            Err(e) => self.failed(&e).await,
        }
    }

    /// Asks a parent or the store; none if the call was given up, as the store or the parent was away
    /// meanwhile.
    async fn call(&mut self) -> Option<Result<Told, Error>> {
        let (role, parents) = place(&self.gateway, &self.shared);
        for parent in parents {
            match self.ask_parent(&parent).await? {
                Ok(told) => return Some(Ok(told)),
                Err(e) => self.shared.failed(&self.gateway, parent.name, &e),
            }
        }
        if role == Role::Child && !self.tries_itself() {
            return Some(Err(Error::Down("no parent has heard from it".to_owned())));
        }
        let (is_whole, result) = match self.since {
            None => (true, self.read_all().await?),
            Some(since) => (false, self.read_changes(since, role).await?),
        };
        Some(result.map(|batch| Told { batch, origin: Origin::Store, is_whole }))
    }

    /// Whether a node that has parents asks the store itself now. When all leaves find their relays out of
    /// date at once, only some do; the others hear of the store's return from their relays.
    fn tries_itself(&self) -> bool {
        if !self.failures.is_multiple_of(OWN_TRIES) {
            return false;
        }
        let share = OWN_TRIES_AT_ONCE / self.gateway.n_nodes() as f64;
        !are_relays_stale(&self.gateway, &self.shared) || rand::random::<f64>() < share
    }

    /// Waits at a parent; none if it failed meanwhile, as another table's call found.
    async fn ask_parent(&mut self, parent: &Parent) -> Option<Result<Told, Error>> {
        let (gateway, shared, table) = (&self.gateway, &self.shared, self.table);
        let (addr, max_age) = (parent.addr, parent.max_age);
        let wait = if table == Table::Operator { WAIT_RELAYED_OPERATOR } else { WAIT_RELAYED };
        let told = |batch, is_whole| Told { batch, origin: Origin::Parent, is_whole };
        let whole = async {
            let call = peers::snapshot(gateway, addr, table, SNAPSHOT_LIMIT, max_age);
            let batch = timeout::run(SNAPSHOT_LIMIT, call).await;
            batch.unwrap_or_else(|e| Err(Error::Lost(e.to_string()))).map(|it| told(it, true))
        };
        let Some(since) = self.since else { return Some(whole.await) };
        let call = async {
            match peers::changes(gateway, addr, table, since, wait, max_age).await {
                // It began to watch the table later.
                Err(Error::Compacted) => Some(whole.await),
                other => Some(other.map(|it| told(it, false))),
            }
        };
        let given_up = async {
            loop {
                let failed = shared.parent_failed.wait();
                if shared.is_failed(&parent.name, gateway.now()) {
                    return None;
                }
                failed.await;
            }
        };
        future::or(call, given_up).await
    }

    async fn read_changes(&mut self, since: Rev, role: Role) -> Option<Result<Batch, Error>> {
        let wait = match (role, self.table) {
            // A call that waits would hang for its whole wait at a store that is still silent,
            // and a configuration written right after its return would come too late.
            _ if 0 < self.failures => Duration::ZERO,
            (Role::Single, Table::Operator) => WAIT_OPERATOR,
            (Role::Single, _) => WAIT,
            (_, Table::Operator) => WAIT_RELAYED_OPERATOR,
            _ => WAIT_RELAYED,
        };
        let call = ask_store(&self.gateway, self.table, Some((since, wait)));
        let call = unless_returned(&self.shared, call);
        future::or(call, async {
            role_changed(&self.gateway, &self.shared, role).await;
            None
        })
        .await
    }

    async fn read_all(&mut self) -> Option<Result<Batch, Error>> {
        if self.table == Table::Operator {
            return Some(self.read_first().await);
        }
        unless_returned(&self.shared, ask_store(&self.gateway, self.table, None)).await
    }

    /// Makes one more call for the whole configuration and waits for it and those before it.
    async fn read_first(&mut self) -> Result<Batch, Error> {
        let (gateway, table) = (Arc::clone(&self.gateway), self.table);
        self.first_calls.push(Box::pin(async move { ask_store(&gateway, table, None).await }));
        let read = timeout::run(FIRST_LIMIT, first_answer(&mut self.first_calls)).await;
        let result = read.unwrap_or_else(|e| Err(Error::Lost(e.to_string())));
        if result.is_ok() {
            self.first_calls.clear();
        }
        result
    }

    async fn take(&mut self, told: Told) {
        let Told { batch, origin, is_whole } = told;
        if self.is_away {
            self.is_away = false;
            self.gateway.log.write(&Event::Dependency {
                name: "store",
                state: "back",
                why: name(self.table),
            });
            let until = self.gateway.outage.lock().returned(self.gateway.now());
            self.gateway.directory.lock().keep_missing_until(until);
        }
        // After a single failure too: calls for other rows may have failed more often.
        if self.table == Table::Operator && 0 < self.failures {
            self.shared.returned.wake();
        }
        self.failures = 0;
        self.since = Some(batch.rev);
        let is_empty = batch.rows.is_empty();
        apply::batch(&self.gateway, self.table, batch, is_whole, "store");
        if self.table != Table::Operator && !is_empty {
            Timer::after(self.pause(origin)).await;
        }
    }

    fn pause(&self, origin: Origin) -> Duration {
        let n_nodes = self.gateway.n_nodes();
        match (origin, self.table) {
            (Origin::Parent, _) => PAUSE_CHILD,
            (_, Table::Fleet) if relays::are_used(n_nodes) => PAUSE_ROOT_FLEET,
            _ if relays::are_used(n_nodes) => PAUSE_ROOT,
            _ => {
                let n_nodes = u32::try_from(n_nodes).unwrap_or(u32::MAX);
                PAUSE_PER_NODE.saturating_mul(n_nodes).clamp(PAUSES.0, PAUSES.1)
            }
        }
    }

    async fn failed(&mut self, error: &Error) {
        self.failures += 1;
        self.gateway.mirror.lock().mark_interrupted(self.table);
        self.gateway.outage.lock().lost(self.gateway.now());
        // One lost answer is no outage; its repeat tells.
        if self.failures == 2 && !self.is_away {
            self.is_away = true;
            let why = error.to_string();
            let state = "lost";
            self.gateway.log.write(&Event::Dependency { name: "store", state, why: &why });
        }
        if self.table == Table::Operator {
            peers::ask(&self.gateway).await;
        } else if self.gateway.configuration.load().is_none() {
            // Any rows that are applied may be the configuration.
            let applied = self.gateway.rows_changed.wait();
            if self.gateway.configuration.load().is_none() {
                return pause_unless(applied, UNREAD_BACKOFF).await;
            }
        } else if self.is_away {
            // One call after the other shows whether the store is back; the operators' does.
            return pause_unless(self.shared.returned.wait(), OUTAGE_BACKOFF).await;
        }
        let longest = if self.since.is_some() { MAX_BACKOFF } else { MAX_BACKOFF_UNREAD };
        let pause = (FIRST_BACKOFF * 2_u32.saturating_pow(self.failures.min(6) - 1)).min(longest);
        Timer::after(spread(pause)).await;
    }
}

/// Runs a call to the store; none if the store was away and came back meanwhile.
async fn unless_returned(
    shared: &Shared,
    call: impl Future<Output = Result<Batch, Error>>,
) -> Option<Result<Batch, Error>> {
    let returned = shared.returned.wait();
    future::or(async { Some(call.await) }, async {
        returned.await;
        None
    })
    .await
}

async fn ask_store(
    gateway: &Gateway,
    table: Table,
    since: Option<(Rev, Duration)>,
) -> Result<Batch, Error> {
    let store = &gateway.store;
    let result = match since {
        Some((since, wait)) => store.changes(table, since, wait).await,
        None => store.all(table).await,
    };
    gateway.metrics.record_store_call(table, &result);
    if result.is_ok() && table == Table::Operator {
        let now = gateway.now();
        gateway.mirror.lock().record_answer(now);
    }
    result
}

/// The first answer to any of `calls`, or the failure of the newest. That an older one fails says
/// nothing of the store as it is now.
async fn first_answer(calls: &mut Vec<Boxed<Result<Batch, Error>>>) -> Result<Batch, Error> {
    future::poll_fn(|cx| {
        let mut index = 0;
        while index < calls.len() {
            let Poll::Ready(result) = calls[index].poll(cx) else {
                index += 1;
                continue;
            };
            drop(calls.remove(index));
            let is_newest = index == calls.len();
            match result {
                Err(e) if !is_newest => log::debug!("an older first read failed: {e}"),
                decided => return Poll::Ready(decided),
            }
        }
        Poll::Pending
    })
    .await
}

/// Pauses for about `pause`, or until `woken`.
async fn pause_unless(woken: impl Future<Output = ()>, pause: Duration) {
    future::or(woken, async {
        Timer::after(spread(pause)).await;
    })
    .await;
}

/// A pause of about that length. Nodes that all paused alike would come back to the store at the
/// same moment, be turned away as too many, and pause alike again.
fn spread(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.6..1.4))
}

/// A table's name in logs.
pub fn name(table: Table) -> &'static str {
    match table {
        Table::Operator => "operator",
        Table::Endpoints => "endpoints",
        Table::Fleet => "fleet",
    }
}
