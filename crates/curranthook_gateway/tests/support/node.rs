//! A node without sockets, before a store in memory.

use std::{
    collections::BTreeMap,
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use curranthook_gateway::{
    Gateway, apply,
    dialect::{Dialect, InvalidHeader, Outgoing, Reply},
    document::{Document, Service},
    entry::Entry,
    event::{Event, Log},
    fleet::{Key, Node},
    gateway::{Configuration, Parts},
    load::{
        latency::FirstEvent,
        prefill::{Coefficients, Prompt},
    },
    refusal::Refusal,
    request::{Head, Request},
    retry_budget,
    settings::{Contention, Settings},
    store::{
        Answer, Batch, Commit, Committed, Decoder, Error, Operator, Page, Rev, Row, Store, Table,
        Undecodable,
    },
};
use curranthook_http::runtime;
use curranthook_types::{clock, domain, endpoint};
use http::{HeaderMap, HeaderName, HeaderValue};
use parking_lot::Mutex;
use rand::{Rng, RngExt};

/// The newest revision, and the revision and value of each row.
type Rows = (u64, BTreeMap<String, (u64, Vec<u8>)>);

/// The store's fleet table, shared by the nodes of a test.
#[derive(Debug, Default)]
pub struct FleetTable {
    rows: Mutex<Rows>,
    /// Whether the store rejects all calls.
    pub is_down: AtomicBool,
    /// The number of calls.
    pub n_calls: AtomicUsize,
}

impl FleetTable {
    /// Writes a row, whatever its revision.
    pub fn put(&self, key: &str, value: &[u8]) -> u64 {
        let mut rows = self.rows.lock();
        rows.0 += 1;
        let rev = rows.0;
        rows.1.insert(key.to_owned(), (rev, value.to_vec()));
        rev
    }

    pub fn get(&self, key: &str) -> Option<Vec<u8>> {
        self.rows.lock().1.get(key).map(|(_, value)| value.clone())
    }

    pub fn rev(&self, key: &str) -> Option<u64> {
        self.rows.lock().1.get(key).map(|(rev, _)| *rev)
    }

    fn check(&self) -> Result<(), Error> {
        self.n_calls.fetch_add(1, Ordering::Relaxed);
        let is_down = self.is_down.load(Ordering::Relaxed);
        if is_down { Err(Error::Down("test".to_owned())) } else { Ok(()) }
    }
}

impl Store for FleetTable {
    fn all(&self, _: Table) -> Answer<'_, Batch> {
        Box::pin(async {
            self.check()?;
            let rows = self.rows.lock();
            let to_row = |(key, (rev, value)): (&String, &(u64, Vec<u8>))| Row {
                key: key.as_str().into(),
                rev: Rev(*rev),
                value: Some(value.clone().into()),
            };
            Ok(Batch { rows: rows.1.iter().map(to_row).collect(), rev: Rev(rows.0), now: None })
        })
    }

    fn first(&self, table: Table, _: usize) -> Answer<'_, Page> {
        Box::pin(async move { Ok(Page { batch: self.all(table).await?, has_more: false }) })
    }

    fn changes(&self, table: Table, _: Rev, _: Duration) -> Answer<'_, Batch> {
        self.all(table)
    }

    fn write<'a>(&'a self, rows: &'a [(String, Vec<u8>)]) -> Answer<'a, Rev> {
        Box::pin(async {
            self.check()?;
            Ok(Rev(rows.iter().map(|(key, value)| self.put(key, value)).max().unwrap_or(0)))
        })
    }

    fn commit<'a>(&'a self, commit: Commit<'a>) -> Answer<'a, Committed> {
        Box::pin(async move {
            self.check()?;
            if commit.expected.is_some_and(|it| it.0 != self.rev(commit.key).unwrap_or(0)) {
                return Ok(Committed::Conflict);
            }
            Ok(Committed::Done(Rev(self.put(commit.key, commit.value))))
        })
    }
}

/// The request id of lines that a test writes itself.
const MARKER: &str = "marker";

/// A node of a test.
pub struct TestNode {
    pub gateway: Arc<Gateway>,
    pub clock: Arc<clock::Manual>,
    log: Buffer,
}

impl TestNode {
    /// A node named `name` that has read nothing yet.
    pub fn start(name: &str, contention: Contention, table: &Arc<FleetTable>) -> Self {
        let (clock, log) = (Arc::new(clock::Manual::default()), Buffer::default());
        let parts = Parts {
            ex: runtime::Handle::default(),
            clock: Arc::clone(&clock) as _,
            dialect: Arc::new(Unused),
            decoder: Arc::new(Unused),
            store: Arc::clone(table) as _,
            log: Log::start(name, Arc::clone(&clock) as _, Box::new(log.clone())).unwrap(),
        };
        Self { gateway: Gateway::new(parts, settings(name, contention)), clock, log }
    }

    /// Sets a configuration with the service of the tests.
    pub fn configure(&self) {
        let models = MODELS.map(|(name, price)| (name.to_owned(), price)).into();
        let service = ("engines".to_owned(), Service { models, ..Service::default() });
        let document = Document::new(1, Vec::new(), [service].into());
        let row = Row { key: "configuration".into(), rev: Rev(1), value: None };
        self.gateway.configuration.store(Some(Arc::new(Configuration { document, row })));
    }

    /// Applies all rows of the fleet table, with the store's clock at `now`.
    pub fn read(&self, table: &FleetTable, now: Option<Duration>) {
        let batch = async_io::block_on(table.all(Table::Fleet)).unwrap();
        apply::batch(&self.gateway, Table::Fleet, Batch { now, ..batch }, true, "store");
    }

    /// The lines logged so far whose event is `event`.
    pub fn lines(&self, event: &str) -> Vec<serde_json::Value> {
        // A thread writes the log; the last line shows that it has written all others.
        let n_markers = self.marked_lines() + 1;
        self.gateway.log.write(&Event::NotRepeated {
            request: MARKER,
            service: "",
            why: "",
            budget: None,
            age_ms: 0,
        });
        let until = Instant::now() + Duration::from_secs(10);
        while self.marked_lines() < n_markers {
            assert!(Instant::now() < until, "the log is not written");
            std::thread::sleep(Duration::from_millis(5));
        }
        let text = self.text();
        let lines = text.lines().map(|it| serde_json::from_str(it).unwrap());
        lines.filter(|it: &serde_json::Value| it["event"] == event).collect()
    }
}

impl TestNode {
    fn text(&self) -> String {
        String::from_utf8(self.log.0.lock().clone()).unwrap()
    }

    fn marked_lines(&self) -> usize {
        self.text().matches(MARKER).count()
    }
}

/// Writes the addresses of a node, as it does when it starts.
pub fn announce(table: &FleetTable, name: &str) {
    let peers = "127.0.0.1:9".parse().unwrap();
    let node = Node { peers, reports: None, domain: None, capacity: 1.0, joined: None };
    table.put(&Key::Node(name).to_string(), &serde_json::to_vec(&node).unwrap());
}

fn settings(name: &str, contention: Contention) -> Settings {
    let any = "127.0.0.1:0".parse().unwrap();
    Settings {
        node: name.to_owned(),
        domain: domain::Id::new("z-a"),
        callers: any,
        readiness: any,
        peers: Some(any),
        reports: None,
        capacity: 1.0,
        memory: None,
        max_descriptors: None,
        metrics: None,
        seeds: Vec::new(),
        contention,
        retries: retry_budget::Limit { ratio: 0.1, slack: 1.0, window: Duration::from_secs(10) },
        max_exposure: 0.1,
        exposure_slack: None,
        is_first_start: false,
        grace: Duration::from_secs(10),
    }
}

/// The written lines of a log.
#[derive(Debug, Clone, Default)]
struct Buffer(Arc<Mutex<Vec<u8>>>);

impl Write for Buffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Stands for interfaces that the tests do not use.
#[derive(Debug)]
struct Unused;

impl Decoder for Unused {
    fn operator(&self, _: &str, _: &[u8]) -> Result<Operator, Undecodable> {
        Ok(Operator::Other)
    }

    fn evacuation(&self, _: &str) -> Option<domain::Id> {
        None
    }

    fn endpoint(&self, id: &endpoint::Id, _: &[u8]) -> Result<Entry, Undecodable> {
        Err(Undecodable { key: id.as_str().to_owned(), why: "not used".to_owned() })
    }
}

impl Dialect for Unused {
    fn parse_request_head(&self, _: &http::request::Parts) -> Result<Head, InvalidHeader> {
        unreachable!("no request is received")
    }

    fn build_request(&self, _: &Request, _: &Outgoing<'_>) -> http::Request<bytes::Bytes> {
        unreachable!("no request is sent")
    }

    fn build_forwarded_request(
        &self,
        _: &Request,
        _: Duration,
        _: Option<u64>,
    ) -> http::Request<bytes::Bytes> {
        unreachable!("no request is forwarded")
    }

    fn parse_response_head(&self, _: &http::response::Parts) -> Reply {
        unreachable!("no response is received")
    }

    fn unknown_headers<'a>(&self, _: &'a HeaderMap) -> Vec<(&'a HeaderName, &'a HeaderValue)> {
        Vec::new()
    }

    fn response_headers(&self, _: &HeaderMap) -> HeaderMap {
        HeaderMap::new()
    }

    fn add_refusal_headers(&self, _: &Refusal, _: &mut HeaderMap) {}
}

/// The models of the tests' service and their prices relative to the largest.
pub const MODELS: [(&str, f64); 3] = [("small", 0.1), ("middle", 0.3), ("large", 1.0)];

/// How many times as long as the prior of the largest model says first events take.
pub const PRIOR_ERROR: f64 = 2.4;

/// The true coefficients of a model, which are [`PRIOR_ERROR`] times the prior's.
pub fn true_coefficients(relative_price: f64) -> Coefficients {
    let rate = 0.47 * relative_price;
    Coefficients::from([0.05, rate, 0.0, 0.06].map(|it| it * PRIOR_ERROR))
}

/// Lets a node observe first events of all models, in which `factor` times the true time passes.
/// A backlog of `n_queued` prompts of the middle size is ahead of each.
pub fn observe(node: &TestNode, n_events: usize, n_queued: u32, factor: f64, rng: &mut impl Rng) {
    let (mut estimator, now) = (node.gateway.latency_estimator.lock(), node.gateway.now());
    for _ in 0..n_events {
        for (model, price) in MODELS {
            let (truth, backlog) = (true_coefficients(price), Prompt::new(9_190, 0));
            let prompt = Prompt::new([1_460, 9_190, 17_020][rng.random_range(0..3)], 0);
            let outstanding = rng.random_range(0..24);
            let estimate = estimator.estimate("engines", model, price);
            let queue_delay = estimate.coefficients.prefill_time(backlog) * n_queued;
            let elapsed = (truth.time_to_first_event(prompt, outstanding)
                + truth.prefill_time(backlog) * n_queued)
                .mul_f64(factor * rng.random_range(0.9..1.1));
            let event = FirstEvent { prompt, outstanding, queue_delay, elapsed };
            estimator.record_first_event("engines", model, price, event);
            estimator.record_stream("engines", model, price, 11, Duration::from_millis(300));
            node.gateway.observations.lock().record("engines", model, now);
        }
    }
}

/// A node's forecasts for all models and prompt sizes, with `n_queued` prompts ahead, in seconds.
pub fn forecasts(node: &TestNode, n_queued: u32) -> Vec<f64> {
    let estimator = node.gateway.latency_estimator.lock();
    let forecasts = MODELS.into_iter().flat_map(|(model, price)| {
        let estimate = estimator.estimate("engines", model, price);
        let queue_delay = estimate.coefficients.prefill_time(Prompt::new(9_190, 0)) * n_queued;
        [1_460, 9_190, 17_020].map(|tokens| {
            estimate.time_to_first_event(Prompt::new(tokens, 0), 8, queue_delay).as_secs_f64()
        })
    });
    forecasts.collect()
}

/// The largest factor, up or down, between two sets of forecasts.
pub fn largest_factor(ones: &[f64], others: &[f64]) -> f64 {
    let factors = ones.iter().zip(others).map(|(one, other)| (one / other).max(other / one));
    factors.fold(1.0, f64::max)
}
