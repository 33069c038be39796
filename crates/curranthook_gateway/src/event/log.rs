//! Writes the lines of the log.
//!
//! A separate thread writes them from a bounded queue. If the reader of the log is too slow, lines are
//! dropped and counted. Requests never wait for the log.

use std::{
    io::Write,
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

use super::Event;

/// The maximum number of queued lines. A busy node logs about that many in a second.
const QUEUE_CAPACITY: usize = 2_048;
/// How long lines are collected, so that a busy node writes many of them with one system call.
const GATHER_TIME: Duration = Duration::from_millis(50);

/// A queued line: the event serialized as JSON.
#[derive(Debug)]
struct Line(String);

/// The handle through which events are logged.
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
    /// Starts a log that writes to `out`.
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

    /// Queues an event, or drops it if the queue is full.
    pub fn write(&self, event: &Event<'_>) {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if 0 < dropped && !self.push(&Event::LinesDropped { count: dropped }) {
            self.dropped.fetch_add(dropped, Ordering::Relaxed);
        }
        if !self.push(event) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// The number of dropped lines that have not been reported yet.
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
    while let Ok(Line(first)) = queue.recv() {
        thread::sleep(GATHER_TIME);
        let mut text = first;
        text.push('\n');
        for Line(more) in queue.try_iter().take(QUEUE_CAPACITY) {
            text.push_str(&more);
            text.push('\n');
        }
        // An error is ignored: a log that cannot be written cannot report that either.
        let _ignored = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    }
}
