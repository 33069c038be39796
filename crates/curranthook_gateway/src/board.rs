//! What the other nodes have sent to engines that hasn't begun yet.
//!
//! An engine reads prompts one after another, some of them for seconds, and the nodes that send
//! them don't see each other's. Each node tells the others by a datagram what it has waiting
//! where; a lost one is made good by the next.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use async_io::{Async, Timer};
use curranthook_types::endpoint;
use futures_lite::future;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use std::net::UdpSocket;

use crate::{Gateway, readers};

/// How long what a node told holds.
const EXPIRY: Duration = Duration::from_millis(800);
/// How often a node with work waiting tells it again.
const REPEAT: Duration = Duration::from_millis(300);
/// The least time between two datagrams to a node.
const PAUSE: Duration = Duration::from_millis(20);
/// Work below this isn't worth telling: less than the way to an engine and back.
const MIN_WORK: Duration = Duration::from_millis(10);
/// The largest datagram; what doesn't fit isn't told.
const MAX_DATAGRAM: usize = 1_400;
/// How many endpoints fit into one.
const MAX_ENTRIES: usize = 32;

/// What each node has waiting.
#[derive(Debug, Default)]
pub struct Board {
    nodes: HashMap<String, (Instant, HashMap<endpoint::Id, Duration>)>,
}

/// What a node tells.
#[serde_as]
#[derive(Debug, Serialize, Deserialize)]
struct Notice {
    node: String,
    #[serde_as(as = "HashMap<_, DurationMilliSeconds<u64>>")]
    waiting: HashMap<endpoint::Id, Duration>,
}

impl Board {
    /// Takes in what `node` has waiting.
    pub fn told(&mut self, node: String, waiting: HashMap<endpoint::Id, Duration>, now: Instant) {
        self.nodes.insert(node, (now, waiting));
    }

    /// The work of other nodes that waits at an endpoint.
    ///
    /// ```
    /// # use std::{collections::HashMap, time::{Duration, Instant}};
    /// # use curranthook_gateway::board::Board;
    /// let (mut board, now) = (Board::default(), Instant::now());
    /// let work = Duration::from_millis(400);
    /// board.told("node-2".to_owned(), HashMap::from([("engine-1".into(), work)]), now);
    /// assert_eq!(board.waiting(&"engine-1".into(), now), work);
    /// assert_eq!(board.waiting(&"engine-1".into(), now + work * 3), Duration::ZERO);
    /// ```
    pub fn waiting(&self, endpoint: &endpoint::Id, now: Instant) -> Duration {
        let fresh =
            self.nodes.values().filter(|(at, _)| now.saturating_duration_since(*at) < EXPIRY);
        fresh.filter_map(|(_, waiting)| waiting.get(endpoint)).sum()
    }
}

/// Tells the others and listens to them, for as long as the process lives.
pub async fn run(gateway: Arc<Gateway>, socket: Async<UdpSocket>) {
    let socket = Arc::new(socket);
    let hears = hear(Arc::clone(&gateway), Arc::clone(&socket));
    gateway.ex.spawn(hears).detach();
    let mut was_empty = true;
    loop {
        let changed = gateway.waiting_changed.wait();
        let again = async {
            match was_empty {
                true => std::future::pending().await,
                false => {
                    Timer::after(REPEAT).await;
                }
            }
        };
        future::or(changed, again).await;
        was_empty = tell(&gateway, &socket).await;
        Timer::after(PAUSE).await;
    }
}

async fn hear(gateway: Arc<Gateway>, socket: Arc<Async<UdpSocket>>) {
    let mut bytes = [0; MAX_DATAGRAM];
    loop {
        match socket.recv(&mut bytes).await {
            Ok(n) => match serde_json::from_slice::<Notice>(&bytes[..n]) {
                Ok(notice) => {
                    let now = gateway.now();
                    gateway.board.lock().told(notice.node, notice.waiting, now);
                }
                Err(e) => log::debug!("a notice can't be read: {e}"),
            },
            Err(e) => {
                log::debug!("no notice can be received: {e}");
                Timer::after(PAUSE).await;
            }
        }
    }
}

/// Tells all others what this node has waiting; returns whether that is nothing.
async fn tell(gateway: &Gateway, socket: &Async<UdpSocket>) -> bool {
    let waiting: HashMap<_, _> = {
        let directory = gateway.directory.lock();
        let all = directory.all().filter(|it| MIN_WORK <= it.pending);
        all.map(|it| (it.entry.id.clone(), it.pending)).take(MAX_ENTRIES).collect()
    };
    let is_empty = waiting.is_empty();
    let own = &gateway.settings.node;
    let notice = Notice { node: own.clone(), waiting };
    let bytes = serde_json::to_vec(&notice).expect("a notice can be written as JSON");
    let addrs: Vec<_> = {
        let peers = gateway.peers.lock();
        // In a large fleet each node sends so little to an engine that telling everybody would
        // cost more than it gains: 82 nodes would get 800 notices a second each.
        if !readers::is_small(peers.len()) {
            return true;
        }
        let others = peers.iter().filter(|(name, _)| *name != own);
        others.filter_map(|(_, it)| it.notices).collect()
    };
    for addr in addrs {
        if let Err(e) = socket.send_to(&bytes, addr).await {
            log::debug!("{addr} can't be told: {e}");
        }
    }
    is_empty
}
