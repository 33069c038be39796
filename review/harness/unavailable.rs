//! A worker fails some of the requests that it has run, with a 503 of its own that doesn't say that
//! they haven't run.

use std::{
    collections::HashMap,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    http,
    site::{self, Node, Record, Worker},
    store::Store,
};

/// The part in 100 of its requests that one of three workers fails.
const FAILED: u64 = 40;
/// The time for which the clients send posts.
const TIME: Duration = Duration::from_secs(15);
/// The statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

pub fn run(record: &Path) -> i32 {
    let record = Record::new(record);
    let store = Store::start();
    store.put("op", "config", &site::config(1));
    let work = Duration::from_millis(60);
    let workers: Vec<_> = (1..=3)
        .map(|n| Worker::start(&format!("i-{n}"), "crate-ledger", work, 800, &record))
        .collect();
    for it in &workers {
        store.put("servers", &it.id, &it.entry("ready"));
    }
    let mut node = Node::start("edge-vn-south-a-1", &store, 260);
    if !node.wait_until_ready(Duration::from_secs(15)) {
        record.say(&format!("the node isn't ready: {}", node.log()));
        return 2;
    }
    thread::sleep(Duration::from_secs(4));
    if site::has_trouble() {
        workers[0].fails.store(FAILED, Ordering::SeqCst);
    }

    let (is_over, next) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(1)));
    let answers: Arc<Mutex<HashMap<String, u16>>> = Arc::default();
    let clients: Vec<_> = (0..4)
        .map(|_| {
            let (callers, record) = (node.callers, record.clone());
            let (is_over, next, answers) =
                (Arc::clone(&is_over), Arc::clone(&next), Arc::clone(&answers));
            thread::spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    let subject = format!("posting-{:08}", next.fetch_add(1, Ordering::SeqCst));
                    // One retry, and only after a promise that the request hasn't run.
                    for _ in 0..2 {
                        let body = format!("{subject}{}", "p".repeat(584));
                        let (id, message) =
                            site::request("POST", "/post/weight", 4_000, body.as_bytes());
                        record.line(&format!("client: sends {subject} as {id}"));
                        let answer = http::call(callers, &message, Duration::from_secs(4));
                        record.line(&format!("client: {id} gets {}", answer.text()));
                        answers.lock().unwrap().insert(id, answer.status());
                        if !PROMISES.contains(&answer.status()) {
                            break;
                        }
                        thread::sleep(Duration::from_millis(50));
                    }
                    thread::sleep(Duration::from_millis(50));
                }
            })
        })
        .collect();
    thread::sleep(TIME);
    is_over.store(true, Ordering::SeqCst);
    for it in clients {
        let _ = it.join();
    }
    if let Some(code) = node.exit_code() {
        record.say(&format!("the node ended: {code}"));
        return 2;
    }

    let answers = answers.lock().unwrap();
    let arrivals = workers.iter().flat_map(|it| it.arrivals.lock().unwrap().clone());
    let arrivals: Vec<_> = arrivals.collect();
    let is_refused = |id: &str| answers.get(id).is_some_and(|it| PROMISES.contains(it));
    let n_refused = arrivals.iter().filter(|it| is_refused(&it.id)).count();
    let mut runs: HashMap<&str, usize> = HashMap::new();
    arrivals.iter().for_each(|it| *runs.entry(&it.subject).or_default() += 1);
    let n_twice = runs.values().filter(|it| 1 < **it).count();
    let n_served = answers.values().filter(|it| **it == 200).count();
    record.say(&format!("{} requests, {n_served} answered with 200", answers.len()));
    record.say(&format!(
        "requests that have run and whose client was told that they haven't: {n_refused}"
    ));
    record
        .say(&format!("postings that have run twice, as their clients sent them again: {n_twice}"));
    if n_served < 50 {
        record.say("too few posts were served");
        return 2;
    }
    i32::from(0 < n_refused)
}
