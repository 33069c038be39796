//! A stand-in for the platform's store: rows, conditional writes, and calls that wait for changes.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Request},
    json::{Json, base64, from_base64},
};

/// Table and key.
type Key = (String, String);
/// The revision and the value; none once removed.
type Value = (u64, Option<Vec<u8>>);

#[derive(Default)]
struct State {
    rows: BTreeMap<Key, Value>,
    rev: u64,
    /// A table, and the number of answers to calls waiting for its changes that are lost from now on.
    lose: Option<(String, usize)>,
    n_lost: usize,
}

#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    started: Instant,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let store = Self {
            addr: listener.local_addr().unwrap(),
            state: Arc::default(),
            started: Instant::now(),
        };
        let server = store.clone();
        http::serve(listener, Arc::new(move |request, stream| server.handle(&request, stream)));
        store
    }

    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.rev += 1;
        let rev = state.rev;
        let value = Some(value.as_bytes().to_vec());
        state.rows.insert((table.to_owned(), key.to_owned()), (rev, value));
        self.state.1.notify_all();
    }

    pub fn remove(&self, table: &str, key: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.rev += 1;
        let rev = state.rev;
        state.rows.insert((table.to_owned(), key.to_owned()), (rev, None));
        self.state.1.notify_all();
    }

    /// Loses the next `n` answers to calls that wait for changes of `table`: nothing more arrives on
    /// their connections, which stay open.
    pub fn lose_answers(&self, table: &str, n: usize) {
        self.state.0.lock().unwrap().lose = Some((table.to_owned(), n));
    }

    pub fn n_lost(&self) -> usize {
        self.state.0.lock().unwrap().n_lost
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let path = request.path.split('?').next().unwrap_or_default();
        match path {
            "/v1/rows-get" => {
                let start = request.query("startKey");
                let limit = request.query("limit").parse().unwrap_or(500).min(500);
                let body = self.rows(&request.query("table"), 0, false, &start, limit);
                json(stream, 200, &body.1)
            }
            "/v1/rows-feed" => self.feed(request, stream),
            "/v1/rows-tx" => {
                thread::sleep(Duration::from_millis(4));
                let (status, body) = self.transact(&request.body);
                json(stream, status, &body)
            }
            _ => json(stream, 404, "{}"),
        }
    }

    fn rows(
        &self,
        table: &str,
        since: u64,
        removed: bool,
        start: &str,
        limit: usize,
    ) -> (usize, String) {
        let state = self.state.0.lock().unwrap();
        let matching = |((it, key), (rev, value)): &(&Key, &Value)| {
            it == table && since < *rev && (removed || value.is_some()) && start <= key.as_str()
        };
        let mut found: Vec<_> = state.rows.iter().filter(matching).collect();
        if removed {
            found.sort_by_key(|(_, (rev, _))| *rev);
        }
        let has_more = limit < found.len();
        let text: Vec<String> = found
            .iter()
            .take(limit)
            .map(|((_, key), (rev, value))| {
                let head = format!(
                    "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"schemaRev\":{rev}"
                );
                match value {
                    Some(value) => format!("{head},\"value\":\"{}\"}}", base64(value)),
                    None => format!("{head},\"removed\":true}}"),
                }
            })
            .collect();
        let now = self.started.elapsed().as_millis();
        let body = format!(
            "{{\"rows\":[{}],\"hasMore\":{has_more},\"schemaRev\":{},\"serverTimeMs\":{now}}}",
            text.join(","),
            state.rev
        );
        (text.len(), body)
    }

    fn feed(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let table = request.query("table");
        let since = request.query("sinceRev").parse().unwrap_or(0);
        let wait = request.query("waitMs").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        loop {
            let (n, body) = self.rows(&table, since, true, "", 500);
            if 0 < n || end <= Instant::now() {
                let is_lost = {
                    let mut state = self.state.0.lock().unwrap();
                    match &mut state.lose {
                        Some((it, n)) if *it == table && 0 < *n => {
                            *n -= 1;
                            state.n_lost += 1;
                            true
                        }
                        _ => false,
                    }
                };
                if is_lost {
                    // The connection delivers nothing further, and stays open until its client
                    // closes it.
                    use std::io::Read;
                    let mut bytes = [0; 4096];
                    while stream.read(&mut bytes).is_ok_and(|it| 0 < it) {}
                    return false;
                }
                return json(stream, 200, &body);
            }
            let state = self.state.0.lock().unwrap();
            let pause = end.saturating_duration_since(Instant::now());
            let _woken = self.state.1.wait_timeout(state, pause.min(Duration::from_millis(20)));
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(request) = Json::parse(&String::from_utf8_lossy(body)) else {
            return (400, "{}".to_owned());
        };
        let mut state = self.state.0.lock().unwrap();
        let now = self.started.elapsed().as_millis();
        for row in request.list("expectedRev") {
            let key = (row.text("table"), row.text("key"));
            let current = state.rows.get(&key).filter(|(_, value)| value.is_some());
            if row.number("schemaRev") != Some(current.map_or(0, |(rev, _)| *rev)) {
                let rev = state.rev;
                let text = format!("{{\"rows\":[],\"schemaRev\":{rev},\"serverTimeMs\":{now}}}");
                return (412, text);
            }
        }
        state.rev += 1;
        let rev = state.rev;
        for row in request.list("writes") {
            let key = (row.text("table"), row.text("key"));
            state.rows.insert(key, (rev, Some(from_base64(&row.text("value")))));
        }
        for row in request.list("remove") {
            state.rows.insert((row.text("table"), row.text("key")), (rev, None));
        }
        self.state.1.notify_all();
        (200, format!("{{\"schemaRev\":{rev},\"serverTimeMs\":{now}}}"))
    }
}

fn json(stream: &mut TcpStream, status: u16, body: &str) -> bool {
    http::respond(stream, status, "Content-Type: application/json\r\n", body.as_bytes())
}
