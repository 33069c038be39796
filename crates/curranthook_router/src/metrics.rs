//! Metrics counters: one for each refusal reason, retry reason and selection reason.
//!
//! The counts are kept in memory for `/status` and sent as statsd over UDP if the settings name a
//! receiver. `docs/METRICS.md` lists them.

use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket},
    sync::Arc,
    time::Duration,
};

use async_io::Timer;
use cadence::{
    Counted, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink,
};
use curranthook_types::{refusal, retry};
use parking_lot::Mutex;

use crate::Router;

/// The interval at which the counters of the links to peers are sent.
const LINK_COUNT_INTERVAL: Duration = Duration::from_secs(5);
/// The prefix of all counter names sent to statsd.
const PREFIX: &str = "curranthook.router";

/// The counters of one process.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
    counts: Mutex<BTreeMap<String, u64>>,
}

impl Metrics {
    /// Creates the counters; each count is also sent to `statsd`, if given.
    pub fn new(statsd: Option<SocketAddr>) -> std::io::Result<Self> {
        let client = match statsd {
            Some(addr) => {
                let socket = UdpSocket::bind(unspecified_addr(&addr))?;
                socket.set_nonblocking(true)?;
                let sink = UdpMetricSink::from(addr, socket).map_err(std::io::Error::other)?;
                StatsdClient::from_sink(PREFIX, QueuingMetricSink::from(sink))
            }
            None => StatsdClient::from_sink(PREFIX, NopMetricSink),
        };
        Ok(Self { client, counts: Mutex::default() })
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, reason: refusal::Reason) {
        self.count(&format!("refusal.{}", reason.name()));
    }

    /// Counts a retry.
    pub fn count_retry(&self, reason: retry::Reason) {
        self.count(&format!("retry.{}", reason.name()));
    }

    /// Increments the counter `name`.
    pub fn count(&self, name: &str) {
        // A lost datagram loses one count, but must never fail a request.
        let _best_effort = self.client.count(name, 1);
        let mut counts = self.counts.lock();
        match counts.get_mut(name) {
            Some(n) => *n += 1,
            None => {
                counts.insert(name.to_owned(), 1);
            }
        }
    }

    /// Sends a duration as a timing metric.
    pub fn time(&self, name: &str, duration: Duration) {
        let _best_effort = self.client.time(name, duration);
    }

    /// Sends `value` as a gauge. It is not included in [`counts`](Self::counts).
    pub fn gauge(&self, name: &str, value: u64) {
        let _best_effort = self.client.gauge(name, value);
    }

    /// All counts since the process started.
    pub fn counts(&self) -> BTreeMap<String, u64> {
        self.counts.lock().clone()
    }
}

/// Sends the counters of the links to peers for as long as the process runs.
pub async fn run(router: Arc<Router>) {
    loop {
        for (name, value) in router.node.counters().all() {
            router.metrics.gauge(&format!("peers.{name}"), value);
        }
        Timer::after(LINK_COUNT_INTERVAL).await;
    }
}

/// The local address to bind for sending to `addr`. It is the unspecified address because the
/// receiver may be on another host: a socket bound to the loopback address reaches only processes
/// on this VM, and the counters would be lost.
fn unspecified_addr(addr: &SocketAddr) -> SocketAddr {
    let unspecified = match addr {
        SocketAddr::V4(_) => IpAddr::from(Ipv4Addr::UNSPECIFIED),
        SocketAddr::V6(_) => IpAddr::from(Ipv6Addr::UNSPECIFIED),
    };
    SocketAddr::new(unspecified, 0)
}
