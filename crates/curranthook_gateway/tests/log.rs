//! The log never holds a request back.

use std::{
    io::{self, Write},
    sync::{
        Arc, Mutex,
        mpsc::{Receiver, channel},
    },
    time::{Duration, Instant},
};

use curranthook_gateway::event::{Event, Log};
use curranthook_types::clock;

/// A reader that stops reading until it's told to go on.
struct Stalled {
    go: Receiver<()>,
    text: Arc<Mutex<Vec<u8>>>,
    has_waited: bool,
}

impl Write for Stalled {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.has_waited {
            let _told = self.go.recv();
            self.has_waited = true;
        }
        self.text.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Whoever gathers the logs stops reading. Requests go on as fast as before; the lines that don't
/// fit are dropped, and the next line that does says how many.
#[test]
fn a_reader_that_stalls_costs_lines_and_no_time() {
    let (tx, go) = channel();
    let text: Arc<Mutex<Vec<u8>>> = Arc::default();
    let out = Stalled { go, text: Arc::clone(&text), has_waited: false };
    let log = Log::start("n-1", Arc::new(clock::System), Box::new(out)).unwrap();
    let start = Instant::now();
    for _ in 0..20_000 {
        log.write(&Event::NotRepeated { request: "r-1", why: "budget" });
    }
    let each = start.elapsed() / 20_000;
    assert!(each < Duration::from_micros(200), "{each:?} a line");
    assert!(0 < log.dropped());
    tx.send(()).unwrap();
    let has_said = || String::from_utf8_lossy(&text.lock().unwrap()).contains("lines_dropped");
    let start = Instant::now();
    while !has_said() && start.elapsed() < Duration::from_secs(5) {
        std::thread::sleep(Duration::from_millis(20));
        log.write(&Event::Reloaded { changed: "" });
    }
    assert!(has_said(), "what was dropped is said");
    let lines = text.lock().unwrap().iter().filter(|it| **it == b'\n').count();
    assert!(lines < 5_000, "the queue is bounded: {lines} lines of 20,000 were kept");
}

/// Each line is one JSON object with time, node and event, whatever stands in its fields.
#[test]
fn a_line_is_one_json_object() {
    let text: Arc<Mutex<Vec<u8>>> = Arc::default();
    let (tx, go) = channel();
    tx.send(()).unwrap();
    let out = Stalled { go, text: Arc::clone(&text), has_waited: false };
    let log = Log::start("n-1", Arc::new(clock::System), Box::new(out)).unwrap();
    log.write(&Event::RowRejected { table: "operator", why: "a \"line\"\nin a line" });
    std::thread::sleep(Duration::from_millis(200));
    let text = String::from_utf8(text.lock().unwrap().clone()).unwrap();
    assert_eq!(text.lines().count(), 1);
    let value: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(
        (value["node"].as_str(), value["event"].as_str()),
        (Some("n-1"), Some("row_rejected"))
    );
    assert!(value["at_ms"].is_u64());
}
