//! Opens many concurrent streams at one address, to measure the cost of each to a router.

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
    direct::Template,
    sse,
    timing::{Recorder, Summary},
};

/// Maximum time to wait for the first chunk of the last stream.
const FIRST_CHUNK_TIMEOUT: Duration = Duration::from_secs(30);

/// Parameters of the stream load.
#[derive(Debug, Clone)]
pub struct Load {
    /// Address that receives the requests.
    pub target: SocketAddr,
    /// Number of streams.
    pub n_streams: usize,
    /// Streams opened per second.
    pub rate: f64,
    /// Time to keep streams open after all have begun.
    pub hold_duration: Duration,
    /// Content of each request.
    pub template: Template,
    /// Process whose memory is measured while all streams are open.
    pub pid: Option<u32>,
}

/// Results of the stream load.
#[derive(Debug, Clone, Serialize)]
pub struct Outcomes {
    /// Streams requested.
    pub asked: usize,
    /// Streams that received a first chunk.
    pub begun: u64,
    /// Streams still open when memory was measured.
    pub open: usize,
    /// Streams that had ended with the end marker by then.
    pub ended: usize,
    /// Streams that couldn't be opened, or ended without the end marker.
    pub failed: usize,
    /// Time to the first chunk.
    pub first_chunk: Summary,
    /// Resident memory of the process in kilobytes, if a process was given.
    pub resident_kb: Option<u64>,
}

#[derive(Debug, Default)]
struct Counts {
    open: AtomicUsize,
    ended: AtomicUsize,
    failed: AtomicUsize,
}

/// Opens the streams, keeps them open, and closes them.
pub async fn run(ex: &runtime::Handle, load: Load) -> Outcomes {
    let pool = Arc::new(Pool::new(Arc::clone(ex), Arc::new(clock::System)));
    let counts = Arc::new(Counts::default());
    let (tx, rx) = async_channel::unbounded();
    let start = Instant::now();
    let body = load.template.body();
    let mut streams = Vec::with_capacity(load.n_streams);
    for index in 0..load.n_streams {
        Timer::at(start + Duration::from_secs_f64(index as f64 / load.rate)).await;
        let id = format!("stream-{index}");
        let req = load.template.request(load.target, &id, body.clone());
        let (pool, counts, tx) = (Arc::clone(&pool), Arc::clone(&counts), tx.clone());
        let target = load.target;
        streams.push(ex.spawn(async move {
            let end = match run_stream(&pool, target, req, &counts, tx).await {
                Some(()) => &counts.ended,
                None => &counts.failed,
            };
            end.fetch_add(1, Ordering::Relaxed);
        }));
    }
    drop(tx);
    let first_chunks = collect_first_chunk_latencies(&rx, load.n_streams).await;
    Timer::after(load.hold_duration).await;
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

/// Reads a stream up to its end marker; returns `None` if the marker is missing.
async fn run_stream(
    pool: &Pool,
    target: SocketAddr,
    req: http::Request<Bytes>,
    counts: &Counts,
    tx: async_channel::Sender<Duration>,
) -> Option<()> {
    let start = Instant::now();
    let mut conn = pool.take(target, Freshness::New).await.ok()?;
    let res = conn.send(req).await.ok()?;
    if !res.status().is_success() {
        return None;
    }
    let mut body = res.into_body();
    let mut reader = sse::Reader::default();
    let mut has_ended = contains_end_marker(&mut reader, body.frame().await?.ok()?);
    counts.open.fetch_add(1, Ordering::Relaxed);
    // The receiver may have timed out already.
    let _send_result = tx.try_send(start.elapsed());
    drop(tx);
    while let Some(Ok(frame)) = body.frame().await {
        has_ended |= contains_end_marker(&mut reader, frame);
    }
    counts.open.fetch_sub(1, Ordering::Relaxed);
    has_ended.then_some(())
}

/// Whether `frame` completes an event with the end marker.
fn contains_end_marker(reader: &mut sse::Reader, frame: Frame<Bytes>) -> bool {
    let Ok(chunk) = frame.into_data() else { return false };
    reader.push(&chunk).iter().any(|it| it == chat::END_MARKER)
}

async fn collect_first_chunk_latencies(
    rx: &async_channel::Receiver<Duration>,
    n_streams: usize,
) -> Recorder {
    let mut recorder = Recorder::default();
    let mut receive = async || {
        for _ in 0..n_streams {
            let Ok(latency) = rx.recv().await else { break };
            recorder.record(latency);
        }
    };
    // On time-out, the streams begun so far are counted; the results show how many weren't.
    let _timeout_result = timeout::run(FIRST_CHUNK_TIMEOUT, receive()).await;
    recorder
}

fn resident_kb(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"))?;
    line.split_whitespace().next()?.parse().ok()
}
