//! Writes and takes the rows with the [`snapshot`] of latency estimates.
//!
//! Nodes receive the rows with the other rows of the fleet table. They use them only for services
//! where that is called for: with [`Contention::ByRank`], or after an endpoint has reported a
//! slowdown.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use async_io::Timer;

use crate::{
    Gateway,
    event::Event,
    fleet::{self, Key},
    load::{
        latency::Learned,
        snapshot::{self, Reason, Rejection, Snapshot},
    },
    settings::Contention,
    store::{Commit, Committed, Rev, Row, Table},
};

/// How often a node checks which snapshots have to be written or taken.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// The maximum number of services whose snapshots are taken.
const MAX_SERVICES: usize = 64;
/// How long a row of another format is left in place. The row of a build that runs beside this one
/// is written again before that.
const OTHER_FORMAT_TIME: Duration = Duration::from_secs(600);

/// The revisions of the snapshots that were taken or rejected, by service.
#[derive(Debug, Default)]
pub struct Decided(HashMap<String, Rev>);

impl Decided {
    fn contains(&self, service: &str, rev: Rev) -> bool {
        self.0.get(service).is_some_and(|it| rev <= *it)
    }

    fn has_room(&self, service: &str) -> bool {
        self.0.len() < MAX_SERVICES || self.0.contains_key(service)
    }
}

/// Writes and takes snapshots for the lifetime of the process.
pub async fn run(gateway: Arc<Gateway>) {
    let mut writer = Writer::new(gateway);
    loop {
        Timer::after(POLL_INTERVAL).await;
        writer.update().await;
    }
}

/// Applies the row of a service's snapshot, unless it was applied before, is not called for, or the
/// store's clock is unknown.
pub fn apply(gateway: &Gateway, service: &str, value: &[u8], rev: Rev) {
    let Some(now) = gateway.store_time() else { return };
    {
        let decided = gateway.snapshots.lock();
        if decided.contains(service, rev) || !decided.has_room(service) {
            return;
        }
    }
    let decoded = Snapshot::decode(value, now);
    let reports_slowdown = decoded.as_ref().is_ok_and(|it| it.reports_slowdown);
    if !reports_slowdown && !is_called_for(gateway, service) {
        return;
    }
    gateway.snapshots.lock().0.insert(service.to_owned(), rev);
    match decoded {
        Ok(it) => take(gateway, service, &it, rev, now),
        Err(e) => {
            gateway.metrics.record_snapshot("rejected");
            let (why, rev, age) = (&e.to_string(), Some(rev), e.age());
            log(gateway, Line { service, state: "rejected", why, rev, age, models: 0 });
        }
    }
}

fn take(gateway: &Gateway, service: &str, it: &Snapshot, rev: Rev, now: Duration) {
    let at = gateway.now();
    let models = it.models(now).map(|(name, learned, time_left)| (name, learned, at + time_left));
    let models = gateway.latency_estimator.lock().set_shared(service, models);
    // A node that has observed all models itself would log each write of the snapshot.
    if models == 0 {
        gateway.metrics.record_snapshot("ignored");
        return;
    }
    gateway.metrics.record_snapshot("taken");
    let (why, age, rev) = ("not_observed", Some(it.age(now)), Some(rev));
    log(gateway, Line { service, state: "taken", why, rev, age, models });
}

/// Whether decisions for a service use what is learned from snapshots.
fn is_called_for(gateway: &Gateway, service: &str) -> bool {
    gateway.settings.contention == Contention::ByRank
        || gateway.directory.lock().reports_slowdown(service)
}

/// Writes the snapshots of all services.
#[derive(Debug)]
pub struct Writer {
    gateway: Arc<Gateway>,
    /// When this node last tried to write each service's snapshot.
    attempted: HashMap<String, Instant>,
    /// The revision of each service's row that is not usable, 0 if there is no row, and since when
    /// this node has known it.
    unusable: HashMap<String, (Rev, Instant)>,
}

impl Writer {
    /// Creates the writer of a node.
    pub fn new(gateway: Arc<Gateway>) -> Self {
        Self { gateway, attempted: HashMap::new(), unusable: HashMap::new() }
    }

    /// Drops shared estimates that have become too old, takes the snapshots that have become due to
    /// be taken, and writes those that are due.
    pub async fn update(&mut self) {
        let now = self.gateway.now();
        self.gateway.latency_estimator.lock().drop_expired(now);
        let services: Vec<(String, Vec<String>)> = {
            let configuration = self.gateway.configuration.load();
            let Some(it) = configuration.as_ref() else { return };
            let with_models = it.document.services.iter().filter(|(_, it)| !it.models.is_empty());
            with_models
                .map(|(name, it)| (name.clone(), it.models.keys().cloned().collect()))
                .collect()
        };
        self.attempted.retain(|service, _| services.iter().any(|(it, _)| it == service));
        self.unusable.retain(|service, _| services.iter().any(|(it, _)| it == service));
        for (service, models) in services {
            let row = self.row(&service);
            if let Some(Row { rev, value: Some(value), .. }) = &row {
                apply(&self.gateway, &service, value, *rev);
            }
            self.update_service(&service, &models, row.as_ref()).await;
        }
    }

    async fn update_service(&mut self, service: &str, models: &[String], row: Option<&Row>) {
        // Before the fleet table has been read, each node would take itself for the writer.
        if !is_called_for(&self.gateway, service)
            || !self.gateway.mirror.lock().has_read(Table::Fleet)
        {
            return;
        }
        let (Some(now), at) = (self.gateway.store_time(), self.gateway.now()) else { return };
        let attempted = self.attempted.get(service);
        if attempted.is_some_and(|it| at.saturating_duration_since(*it) < snapshot::MIN_INTERVAL) {
            return;
        }
        let own = self.learned(service, models, at);
        if own.is_empty() {
            return;
        }
        let decoded = row
            .and_then(|it| it.value.as_deref())
            .map(|value| Snapshot::decode(value, now))
            .transpose();
        let rev = row.map_or(Rev(0), |it| it.rev);
        let waited = self.time_without_usable(service, rev, matches!(decoded, Ok(Some(_))), at);
        if matches!(decoded, Err(Rejection::OtherFormat)) && waited < OTHER_FORMAT_TIME {
            return;
        }
        let stored = decoded.ok().flatten();
        let reports_slowdown = self.gateway.directory.lock().reports_slowdown(service);
        let next = Snapshot::merge(stored.as_ref(), own, reports_slowdown, now);
        let rank = fleet::rank(&self.gateway, service);
        if let Some(reason) = snapshot::reason_to_write(stored.as_ref(), &next, rank, waited, now) {
            self.attempted.insert(service.to_owned(), at);
            let age = stored.map(|it| it.age(now));
            let n_models = next.models(now).count();
            self.write(service, &next, rev, Line { age, ..Line::of(service, reason, n_models) })
                .await;
        }
    }

    async fn write(&self, service: &str, next: &Snapshot, expected: Rev, line: Line<'_>) {
        let gateway = &self.gateway;
        let value = match next.encode() {
            Ok(value) => value,
            Err(e) => {
                gateway.metrics.record_snapshot("write_failed");
                log(gateway, Line { state: "write_failed", why: &e.to_string(), ..line });
                return;
            }
        };
        let key = Key::Snapshot(service).to_string();
        let commit = Commit { key: &key, expected: Some(expected), value: &value, report: None };
        let result = gateway.store.commit(commit).await;
        gateway.metrics.record_store_call(Table::Fleet, &result);
        match result {
            Ok(Committed::Done(rev)) => {
                gateway.metrics.record_snapshot("written");
                log(gateway, Line { state: "written", rev: Some(rev), ..line });
            }
            Ok(Committed::Conflict) => {
                gateway.metrics.record_snapshot("conflict");
                log(gateway, Line { state: "conflict", rev: Some(expected), ..line });
            }
            Err(e) => {
                gateway.metrics.record_snapshot("write_failed");
                log(gateway, Line { state: "write_failed", why: &e.to_string(), ..line });
            }
        }
    }

    /// How long this node has known that the row of `service` is not usable.
    fn time_without_usable(
        &mut self,
        service: &str,
        rev: Rev,
        is_usable: bool,
        at: Instant,
    ) -> Duration {
        if is_usable {
            self.unusable.remove(service);
            return Duration::ZERO;
        }
        let known = self.unusable.entry(service.to_owned()).or_insert((rev, at));
        if known.0 != rev {
            *known = (rev, at);
        }
        at.saturating_duration_since(known.1)
    }

    /// What this node has learned itself of a service's models, with the time since its last
    /// observation of each.
    fn learned(
        &self,
        service: &str,
        models: &[String],
        at: Instant,
    ) -> Vec<(String, Learned, Duration)> {
        let estimator = self.gateway.latency_estimator.lock();
        let observations = self.gateway.observations.lock();
        let learned = |name: &String| {
            let learned = estimator.learned(service, name)?;
            Some((name.clone(), learned, observations.age(service, name, at)?))
        };
        models.iter().filter_map(learned).collect()
    }

    fn row(&self, service: &str) -> Option<Row> {
        let key = Key::Snapshot(service).to_string();
        self.gateway.mirror.lock().stored_row(Table::Fleet, &key)
    }
}

/// A line of the log.
#[derive(Debug, Clone, Copy, Default)]
struct Line<'a> {
    service: &'a str,
    state: &'a str,
    why: &'a str,
    rev: Option<Rev>,
    age: Option<Duration>,
    models: usize,
}

impl<'a> Line<'a> {
    fn of(service: &'a str, reason: Reason, models: usize) -> Self {
        Self { service, why: reason.name(), models, ..Self::default() }
    }
}

fn log(gateway: &Gateway, line: Line<'_>) {
    let Line { service, state, why, rev, age, models } = line;
    let rev = rev.map(Rev::number);
    let age_ms = age.map(|it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX));
    gateway.log.write(&Event::Snapshot { service, state, why, rev, age_ms, models });
}
