//! Counters: one for each refusal, retry and choice reason.
//!
//! They are kept in memory for `/status` and sent as statsd over UDP when the settings say
//! where to. `docs/METRICS.md` lists them.

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

/// How often the counts of the links to peers are sent.
const LINK_COUNT_INTERVAL: Duration = Duration::from_secs(5);
/// What the names of all counters begin with on the wire.
const PREFIX: &str = "curranthook.router";

/// The counters of one process.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
    counts: Mutex<BTreeMap<String, u64>>,
}

impl Metrics {
    /// Counters that are also sent to `statsd`.
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

    /// Counts one refusal.
    pub fn count_refusal(&self, reason: refusal::Reason) {
        self.count(&format!("refusal.{}", reason.name()));
    }

    /// Counts one more attempt.
    pub fn count_retry(&self, reason: retry::Reason) {
        self.count(&format!("retry.{}", reason.name()));
    }

    /// Counts one event of the given name.
    pub fn count(&self, name: &str) {
        // A lost datagram costs a count, never a request.
        let _best_effort = self.client.count(name, 1);
        let mut counts = self.counts.lock();
        match counts.get_mut(name) {
            Some(n) => *n += 1,
            None => {
                counts.insert(name.to_owned(), 1);
            }
        }
    }

    /// Sends a duration.
    pub fn time(&self, name: &str, took: Duration) {
        let _best_effort = self.client.time(name, took);
    }

    /// Sends a count that is kept elsewhere, as it stands.
    pub fn gauge(&self, name: &str, value: u64) {
        let _best_effort = self.client.gauge(name, value);
    }

    /// All counts since the start.
    pub fn counts(&self) -> BTreeMap<String, u64> {
        self.counts.lock().clone()
    }
}

/// Sends the counts of the links to peers, for as long as the process lives.
pub async fn run(router: Arc<Router>) {
    loop {
        for (name, value) in router.node.counters().all() {
            router.metrics.gauge(&format!("peers.{name}"), value);
        }
        Timer::after(LINK_COUNT_INTERVAL).await;
    }
}

/// Where a socket is bound that sends to `addr`. The receiver may be anywhere: a socket on the
/// loopback would reach this VM's own processes only, and nobody would see a counter.
fn unspecified_addr(addr: &SocketAddr) -> SocketAddr {
    let any = match addr {
        SocketAddr::V4(_) => IpAddr::from(Ipv4Addr::UNSPECIFIED),
        SocketAddr::V6(_) => IpAddr::from(Ipv6Addr::UNSPECIFIED),
    };
    SocketAddr::new(any, 0)
}
