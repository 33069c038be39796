//! An answer of the store to a call that waits for changes of the workers' entries is lost, and a
//! worker leaves later.

use std::{
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Answer},
    site::{self, Node, Record, Worker},
    store::Store,
};

/// The time after a disruption of the store from which it is stable, and machines are in touch.
const CONTACT: Duration = Duration::from_millis(3_000);
/// How long after the acknowledged `draining` requests may still reach the worker.
const DRAIN: Duration = Duration::from_millis(2_000);
/// How long after `CONTACT` the worker leaves.
const MARGIN: Duration = Duration::from_millis(1_500);
/// How long the worker serves beyond `DRAIN` before it exits.
const LONGER: Duration = Duration::from_millis(3_000);
/// The time for which a post is worked on.
const WORK: Duration = Duration::from_millis(60);

pub fn run(record: &Path) -> i32 {
    let record = Record::new(record);
    let store = Store::start();
    store.put("op", "config", &site::config(1));
    let worker = |id: &str| Worker::start(id, "crate-ledger", WORK, 800, &record);
    let workers = [worker("i-1"), worker("i-2")];
    for it in &workers {
        store.put("servers", &it.id, &it.entry("ready"));
    }
    let mut node = Node::start("edge-vn-south-a-1", &store, 260);
    if !node.wait_until_ready(Duration::from_secs(15)) {
        record.say(&format!("the node isn't ready: {}", node.log()));
        return 2;
    }
    thread::sleep(Duration::from_secs(4));

    let (is_over, results) = (Arc::new(AtomicBool::new(false)), Arc::default());
    let clients: Vec<_> = (0..4)
        .map(|_| {
            let (callers, record, is_over) = (node.callers, record.clone(), Arc::clone(&is_over));
            let results: Arc<Mutex<Vec<(String, Answer)>>> = Arc::clone(&results);
            thread::spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    let (id, message) = site::request("POST", "/post/weight", 4_000, &[b'p'; 600]);
                    record.line(&format!("client: sends {id}"));
                    let answer = http::call(callers, &message, Duration::from_secs(4));
                    record.line(&format!("client: {id} gets {}", answer.text()));
                    results.lock().unwrap().push((id, answer));
                    thread::sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(1));

    // Another worker registers, which ends the call that waits for changes.
    let third = worker("i-3");
    if site::has_trouble() {
        store.lose_answers("servers", 1);
    }
    store.put("servers", &third.id, &third.entry("ready"));
    thread::sleep(Duration::from_millis(100));
    let disrupted_at = Instant::now();
    record.say(&format!("store: i-3 is listed; answers lost: {}", store.n_lost()));
    if site::has_trouble() && store.n_lost() != 1 {
        record.say("no answer was lost");
        return 2;
    }

    thread::sleep((CONTACT + MARGIN).saturating_sub(disrupted_at.elapsed()));
    store.put("servers", "i-1", &workers[0].entry("draining"));
    let acked_at = Instant::now();
    record.say("store: acknowledges that i-1 is draining");
    thread::sleep(DRAIN + LONGER);
    wait_for_work(&workers[0]);
    workers[0].exit();
    store.remove("servers", "i-1");
    record.say("worker i-1: exits");
    thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::SeqCst);
    for it in clients {
        let _ = it.join();
    }

    let late: Vec<_> = {
        let arrivals = workers[0].arrivals.lock().unwrap();
        arrivals.iter().filter(|it| acked_at + DRAIN < it.at).cloned().collect()
    };
    let results = results.lock().unwrap();
    let is_cut = |id: &str| {
        let unfinished = late.iter().any(|it| it.id == id && it.ended.is_none());
        unfinished && results.iter().any(|(it, answer)| it == id && answer.status() != 200)
    };
    let n_cut = late.iter().filter(|it| is_cut(&it.id)).count();
    let n_served = results.iter().filter(|(_, answer)| answer.status() == 200).count();
    record.say(&format!("{} of {} posts answered with 200", n_served, results.len()));
    record.say(&format!("posts cut off by the exit of i-1: {n_cut}"));
    if let Some(code) = node.exit_code() {
        record.say(&format!("the node ended: {code}"));
        return 2;
    }
    if results.len() < 20 || n_served * 2 < results.len() {
        record.say("too few posts were served");
        return 2;
    }
    let last = late.iter().map(|it| it.at.duration_since(acked_at).as_millis()).max();
    record.say(&format!(
        "posts that reached i-1 later than {} ms after the acknowledgement: {} (the last after {} ms)",
        DRAIN.as_millis(),
        late.len(),
        last.unwrap_or(0)
    ));
    i32::from(!late.is_empty())
}

/// Waits for a moment at which the worker runs a request, if it gets any.
fn wait_for_work(worker: &Worker) {
    let began = Instant::now();
    let is_busy = || worker.arrivals.lock().unwrap().iter().any(|it| it.ended.is_none());
    while !is_busy() && began.elapsed() < Duration::from_millis(500) {
        thread::sleep(Duration::from_millis(1));
    }
}
