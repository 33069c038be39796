//! What a node says of its decisions: one line of JSON each.
//!
//! Lines are written by a thread of their own from a bounded queue. When nobody reads them, they
//! are dropped and counted; a request never waits for its log.

use std::{
    io::Write,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::Duration,
};

use curranthook_types::Clock;
use serde::Serialize;

/// How many lines may wait; about a second of a busy node.
const QUEUE_CAPACITY: usize = 2_048;

/// A decision that touched a request or changed what the node believes.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
#[expect(missing_docs, reason = "the fields are listed in docs/OPERATIONS.md")]
pub enum Event<'a> {
    /// The process started.
    Started {
        version: &'a str,
        callers: SocketAddr,
        readiness: SocketAddr,
        peers: Option<SocketAddr>,
        metrics: Option<SocketAddr>,
    },
    /// The process was told to stop.
    Stopping { in_flight: usize },
    /// The process ends.
    Stopped { in_flight: usize },
    /// The settings were read again.
    Reloaded { changed: &'a str },
    /// A configuration is in force.
    Configuration { version: u64, before: u64, routes: usize, rev: u64, from: &'a str },
    /// A row can't be understood.
    RowRejected { table: &'a str, why: &'a str },
    /// The store, or a peer in its place, was lost or came back.
    Dependency { name: &'a str, state: &'a str, why: &'a str },
    /// An endpoint appeared, changed or went.
    Endpoint {
        endpoint: &'a str,
        service: &'a str,
        state: &'a str,
        version: &'a str,
        /// Which start of it, in milliseconds of the wall clock.
        born: Option<u64>,
        rev: u64,
    },
    /// An endpoint names a limit in requests a second, another one, or none any more.
    RateLimit { endpoint: &'a str, rate: Option<f64>, from: &'a str },
    /// An endpoint says that it's leaving.
    Leaving { endpoint: &'a str, from: &'a str },
    /// An endpoint that turned a request away wants none of this node for a while.
    Paused { endpoint: &'a str, length_ms: u64 },
    /// The evacuation of a failure domain was ordered or ended.
    Evacuation { domain: &'a str, state: &'a str, rev: u64, from: &'a str },
    /// A request wasn't let in.
    Refused {
        request: &'a str,
        path: &'a str,
        status: u16,
        reason: &'a str,
        retry_after_ms: Option<u64>,
        configuration: Option<u64>,
        in_flight: usize,
    },
    /// A request was sent to an endpoint.
    Sent {
        request: &'a str,
        route: &'a str,
        endpoint: &'a str,
        version: &'a str,
        model: &'a str,
        attempt: u32,
        busy: u32,
        expected_ms: Option<u64>,
        resumed_after: Option<u64>,
        left_ms: u64,
        configuration: u64,
    },
    /// An endpoint sends a header that no decoder reads.
    HeaderUnknown { endpoint: &'a str, name: &'a str, value: &'a str },
    /// An attempt failed.
    AttemptFailed {
        request: &'a str,
        endpoint: &'a str,
        why: &'a str,
        execution: &'a str,
        took_ms: u64,
    },
    /// A small model's answer was dropped for a larger model's.
    Escalated { request: &'a str, model: &'a str, confidence: u8, first_ms: u64, last_ms: u64 },
    /// A repeat wasn't made.
    NotRepeated { request: &'a str, why: &'a str },
    /// A request ended.
    Ended {
        request: &'a str,
        route: &'a str,
        status: u16,
        outcome: &'a str,
        endpoint: &'a str,
        attempts: u32,
        first_byte_ms: u64,
        /// Events of a stream that were passed on, and when the last of them was.
        events: u32,
        last_event_ms: u64,
        took_ms: u64,
    },
    /// A roll-out took a step.
    RollOut {
        service: &'a str,
        target: &'a str,
        phase: &'a str,
        new_answers: u64,
        new_bad: u64,
        old_answers: u64,
        old_bad: u64,
        /// How many times longer than the old version's the new one's first events and pauses are.
        slower_first: f64,
        slower_rest: f64,
        outcome: &'a str,
    },
    /// A request was charged with the end of an endpoint.
    PoisonCharged { request: &'a str, endpoint: &'a str },
    /// Lines were dropped since the last one.
    LinesDropped { count: u64 },
}

/// A line on its way: the event, already as text.
#[derive(Debug)]
struct Line(String);

/// Where events go.
#[derive(Debug, Clone)]
pub struct Log {
    node: Arc<str>,
    clock: Arc<dyn Clock>,
    lines: SyncSender<Line>,
    dropped: Arc<AtomicU64>,
}

#[derive(Serialize)]
struct Record<'a> {
    at_ms: u64,
    node: &'a str,
    #[serde(flatten)]
    event: &'a Event<'a>,
}

impl Log {
    /// A log that is written to `out`.
    pub fn start(
        node: &str,
        clock: Arc<dyn Clock>,
        out: Box<dyn Write + Send>,
    ) -> std::io::Result<Self> {
        let (lines, queue) = sync_channel(QUEUE_CAPACITY);
        let dropped = Arc::new(AtomicU64::new(0));
        let log = Self { node: node.into(), clock, lines, dropped };
        let writer = thread::Builder::new().name("log".to_owned());
        writer.spawn(move || write_lines(&queue, out))?;
        Ok(log)
    }

    /// Writes an event, or drops it if the reader of the log is too slow.
    pub fn write(&self, event: &Event<'_>) {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if 0 < dropped && !self.push(&Event::LinesDropped { count: dropped }) {
            self.dropped.fetch_add(dropped, Ordering::Relaxed);
        }
        if !self.push(event) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// How many lines were dropped and not yet reported.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    fn push(&self, event: &Event<'_>) -> bool {
        let line = Record { at_ms: self.clock.unix_millis(), node: &self.node, event };
        let text = serde_json::to_string(&line).expect("an event can be written as JSON");
        self.lines.try_send(Line(text)).is_ok()
    }
}

fn write_lines(queue: &Receiver<Line>, mut out: Box<dyn Write + Send>) {
    /// How long lines are gathered, so that a busy node makes one call for many.
    const GATHER_TIME: Duration = Duration::from_millis(50);
    while let Ok(Line(first)) = queue.recv() {
        thread::sleep(GATHER_TIME);
        let mut text = first;
        text.push('\n');
        for Line(more) in queue.try_iter().take(QUEUE_CAPACITY) {
            text.push_str(&more);
            text.push('\n');
        }
        // Nobody reads the log; there is nowhere left to say so.
        let _lost = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    }
}
