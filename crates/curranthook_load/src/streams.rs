//! Many open streams at one address, to measure what each costs a router.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use async_io::Timer;
use bytes::Bytes;
use curranthook_http::{
    client::{Freshness, Pool},
    runtime, timeout,
};
use curranthook_types::{chat, clock};
use http_body_util::BodyExt as _;
use hyper::body::Frame;
use serde::Serialize;

use crate::{
    direct::Question,
    sse,
    timing::{Recorder, Summary},
};

/// How long the last stream may take to begin.
const OPEN_LIMIT: Duration = Duration::from_secs(30);

/// What to hold open.
#[derive(Debug, Clone)]
pub struct Load {
    /// Where to.
    pub target: SocketAddr,
    /// How many streams.
    pub n_streams: usize,
    /// How many are begun a second.
    pub rate: f64,
    /// How long they are held once all have begun.
    pub hold: Duration,
    /// What each asks.
    pub question: Question,
    /// The process whose memory is read while all are open.
    pub pid: Option<u32>,
}

/// What was measured.
#[derive(Debug, Clone, Serialize)]
pub struct Outcomes {
    /// Streams asked for.
    pub asked: usize,
    /// Streams that gave a first chunk.
    pub begun: u64,
    /// Streams still open when memory was read.
    pub open: usize,
    /// Streams that ended with the marker before that.
    pub ended: usize,
    /// Streams that couldn't be opened, or ended without the marker.
    pub failed: usize,
    /// To the first chunk.
    pub first_chunk: Summary,
    /// Resident memory of the process, in kilobytes, where one was named.
    pub resident_kb: Option<u64>,
}

#[derive(Debug, Default)]
struct Counts {
    open: AtomicUsize,
    ended: AtomicUsize,
    failed: AtomicUsize,
}

/// Opens the streams, holds them, and closes them.
pub async fn run(ex: &runtime::Handle, load: Load) -> Outcomes {
    let pool = Arc::new(Pool::new(Arc::clone(ex), Arc::new(clock::System)));
    let counts = Arc::new(Counts::default());
    let (tx, rx) = async_channel::unbounded();
    let start = Instant::now();
    let body = load.question.body();
    let mut streams = Vec::with_capacity(load.n_streams);
    for index in 0..load.n_streams {
        Timer::at(start + Duration::from_secs_f64(index as f64 / load.rate)).await;
        let id = format!("stream-{index}");
        let req = load.question.request(load.target, &id, body.clone());
        let (pool, counts, tx) = (Arc::clone(&pool), Arc::clone(&counts), tx.clone());
        let target = load.target;
        streams.push(ex.spawn(async move {
            let end = match hold(&pool, target, req, &counts, tx).await {
                Some(()) => &counts.ended,
                None => &counts.failed,
            };
            end.fetch_add(1, Ordering::Relaxed);
        }));
    }
    drop(tx);
    let first_chunks = first_chunks(&rx, load.n_streams).await;
    Timer::after(load.hold).await;
    let outcomes = Outcomes {
        asked: load.n_streams,
        begun: first_chunks.summary().n,
        open: counts.open.load(Ordering::Relaxed),
        ended: counts.ended.load(Ordering::Relaxed),
        failed: counts.failed.load(Ordering::Relaxed),
        first_chunk: first_chunks.summary(),
        resident_kb: load.pid.and_then(resident_kb),
    };
    drop(streams);
    outcomes
}

/// Reads a stream to its end marker; `None` if it didn't come to one.
async fn hold(
    pool: &Pool,
    target: SocketAddr,
    req: http::Request<Bytes>,
    counts: &Counts,
    tx: async_channel::Sender<Duration>,
) -> Option<()> {
    let begun = Instant::now();
    let mut conn = pool.take(target, Freshness::New).await.ok()?;
    let res = conn.send(req).await.ok()?;
    if !res.status().is_success() {
        return None;
    }
    let mut body = res.into_body();
    let mut reader = sse::Reader::default();
    let mut has_ended = read(&mut reader, body.frame().await?.ok()?);
    counts.open.fetch_add(1, Ordering::Relaxed);
    // Nobody may be waiting any more.
    let _late = tx.try_send(begun.elapsed());
    drop(tx);
    while let Some(Ok(frame)) = body.frame().await {
        has_ended |= read(&mut reader, frame);
    }
    counts.open.fetch_sub(1, Ordering::Relaxed);
    has_ended.then_some(())
}

/// Whether the marker is in `frame`.
fn read(reader: &mut sse::Reader, frame: Frame<Bytes>) -> bool {
    let Ok(chunk) = frame.into_data() else { return false };
    reader.push(&chunk).iter().any(|it| it == chat::END_MARKER)
}

async fn first_chunks(rx: &async_channel::Receiver<Duration>, n_streams: usize) -> Recorder {
    let mut recorder = Recorder::default();
    let mut receive = async || {
        for _ in 0..n_streams {
            let Ok(latency) = rx.recv().await else { break };
            recorder.record(latency);
        }
    };
    // What began by then is counted; the figures show how many didn't.
    let _late = timeout::run(OPEN_LIMIT, receive()).await;
    recorder
}

fn resident_kb(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"))?;
    line.split_whitespace().next()?.parse().ok()
}
