//! The open connections of a server. Those without a request that is under way give way to new ones.

use std::{
    collections::BTreeMap,
    convert::Infallible,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use curranthook_types::Clock;
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use parking_lot::Mutex;

use crate::{Body, body};

/// The time that a client has to send the body of a request, or to read the end of a response, before its
/// connection may be closed in favor of others.
const SECURE_TIME: Duration = Duration::from_secs(1);

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Activity {
    /// It has had no request yet, or a part of its head.
    New,
    /// The last response was handed over for sending, and there is no further request.
    Idle,
    /// It receives the body of a request, which has not been passed on.
    Receiving,
    /// It has a request that is under way, or a response that is being sent.
    Busy,
}

/// The open connections of a server, at most a given number.
///
/// ```
/// # use std::{sync::Arc, time::Duration};
/// # use curranthook_http::server::Connections;
/// # use curranthook_types::clock::Manual;
/// # async_io::block_on(async {
/// let connections = Arc::new(Connections::new(2, Arc::new(Manual::default())));
/// let [idle, busy] = [connections.admit().await.unwrap(), connections.admit().await.unwrap()];
/// assert!(busy.begin_request());
/// // The owner of a connection that has to give way drops it.
/// let next = futures_lite::future::zip(connections.admit(), async move {
///     idle.wait_to_give_way().await;
///     drop(idle);
/// });
/// assert!(next.await.0.is_some_and(|it| it.begin_request()));
/// # });
/// ```
#[derive(Debug)]
pub struct Connections {
    max: usize,
    clock: Arc<dyn Clock>,
    open: Mutex<Open>,
    /// Receives a message when a connection was closed.
    closed: (Sender<()>, Receiver<()>),
}

#[derive(Debug, Default)]
struct Open {
    /// Those that do not have to give way, the oldest first.
    kept: BTreeMap<u64, Kept>,
    /// The number of all that are open.
    n_open: usize,
    next_id: u64,
}

#[derive(Debug)]
struct Kept {
    activity: Activity,
    /// Since when the activity lasts.
    since: Instant,
    /// Closed when the connection has to give way.
    _kept: Sender<Infallible>,
}

/// An open connection; dropping it makes room for another one.
#[derive(Debug)]
pub struct Connection {
    connections: Arc<Connections>,
    id: u64,
    gives_way: Receiver<Infallible>,
}

impl Connections {
    /// At most `max` connections.
    pub fn new(max: usize, clock: Arc<dyn Clock>) -> Self {
        Self { max, clock, open: Mutex::default(), closed: async_channel::bounded(1) }
    }

    /// Adds a connection, if need be in place of one that waits for its client;
    /// none if all have requests under way.
    pub async fn admit(self: &Arc<Self>) -> Option<Connection> {
        loop {
            let now = self.clock.now();
            {
                let mut open = self.open.lock();
                if open.n_open < self.max {
                    let (id, gives_way) = open.add(now);
                    return Some(Connection { connections: Arc::clone(self), id, gives_way });
                }
                let is_closing = open.kept.len() < open.n_open;
                if !is_closing && !open.evict(now) {
                    return None;
                }
            }
            // The sender lives as long as these connections.
            let _closed = self.closed.1.recv().await;
        }
    }

    /// The number of open connections.
    pub fn n_open(&self) -> usize {
        self.open.lock().n_open
    }
}

impl Open {
    fn add(&mut self, now: Instant) -> (u64, Receiver<Infallible>) {
        let (kept, gives_way) = async_channel::bounded(1);
        let id = self.next_id;
        self.next_id += 1;
        self.n_open += 1;
        self.kept.insert(id, Kept { activity: Activity::New, since: now, _kept: kept });
        (id, gives_way)
    }

    /// Makes the connection give way that has waited for its client for longest. Returns whether there was
    /// one.
    fn evict(&mut self, now: Instant) -> bool {
        let is_evictable = |it: &Kept| match it.activity {
            Activity::New => true,
            Activity::Idle | Activity::Receiving => it.since + SECURE_TIME <= now,
            Activity::Busy => false,
        };
        let evictable = self.kept.iter().filter(|(_, it)| is_evictable(it));
        let victim = evictable.min_by_key(|(_, it)| it.since).map(|(id, _)| *id);
        victim.is_some_and(|it| self.kept.remove(&it).is_some())
    }
}

impl Connection {
    /// Waits until the connection has to give way.
    pub async fn wait_to_give_way(&self) {
        let _closed = self.gives_way.recv().await;
    }

    /// Records that a request was received. Returns whether it may be handled; otherwise the connection
    /// has to give way.
    pub fn begin_request(&self) -> bool {
        self.set(Activity::Busy)
    }

    /// Records that the response has been handed over for sending.
    pub fn end_request(&self) {
        self.set(Activity::Idle);
    }

    /// Records that the body of the request is awaited.
    pub fn begin_body(&self) {
        self.set(Activity::Receiving);
    }

    /// Records that the body was received. Returns whether the request may be handled.
    pub fn end_body(&self) -> bool {
        self.set(Activity::Busy)
    }

    fn set(&self, activity: Activity) -> bool {
        let now = self.connections.clock.now();
        let mut open = self.connections.open.lock();
        let Some(it) = open.kept.get_mut(&self.id) else { return false };
        (it.activity, it.since) = (activity, now);
        true
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut open = self.connections.open.lock();
        open.kept.remove(&self.id);
        open.n_open -= 1;
        drop(open);
        // If the channel is full, a message wakes the waiting task already.
        let _full = self.connections.closed.0.try_send(());
    }
}

/// The body of a response, after which `connection` waits for its client again.
pub(super) fn until_sent(body: Body, connection: Option<Arc<Connection>>) -> Body {
    match connection {
        Some(connection) => Sending { body, connection }.boxed_unsync(),
        None => body,
    }
}

/// A response body that is being sent.
#[derive(Debug)]
struct Sending {
    body: Body,
    connection: Arc<Connection>,
}

impl http_body::Body for Sending {
    type Data = Bytes;
    type Error = body::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, body::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for Sending {
    fn drop(&mut self) {
        self.connection.end_request();
    }
}
