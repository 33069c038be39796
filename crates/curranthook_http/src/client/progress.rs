//! What has become of a connection: how many bytes were written to it, whether it has ended, and how many
//! bytes the head of a response takes.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use async_channel::{Receiver, Sender};
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, future};
use parking_lot::Mutex;

use super::Observer;
use crate::timeout;

/// The most bytes that are read until a response's head is complete, those of interim responses included.
const MAX_HEAD_BYTES: u64 = 64 * 1024;
/// The number of reads in a row that may find bytes before other tasks get a turn.
const MAX_READY_READS: u32 = 16;
/// How each response starts.
const RESPONSE_START: &[u8] = b"HTTP/";

/// The view of a connection's user.
#[derive(Debug, Clone)]
pub(super) struct Progress {
    state: Arc<State>,
    /// Closed when the stream is dropped.
    ended: Receiver<()>,
}

/// What both sides know of a connection.
#[derive(Debug, Default)]
struct State {
    n_written: AtomicU64,
    /// Whether a request waits for the head of its response.
    awaits_head: AtomicBool,
    /// The bytes read since that request was passed to the connection.
    n_head_bytes: AtomicU64,
    /// Closed when nobody waits any more for the peer to close the connection; none before the first
    /// request.
    close_abandoned: Mutex<Option<Receiver<()>>>,
    /// Whether bytes were left over at the end that begin no response.
    has_surplus: AtomicBool,
    /// Notified of such bytes while the connection is idle.
    observer: Mutex<Option<Box<dyn Observer>>>,
}

/// A stream that counts the bytes written to it, and bounds what is read.
#[derive(Debug)]
pub(super) struct Stream<S> {
    inner: S,
    state: Arc<State>,
    /// The number of reads in a row that found bytes.
    n_ready_reads: u32,
    _ended: Sender<()>,
}

/// Keeps a connection open after its last response until the peer closes it or sends more. Dropping it
/// closes the connection at once.
#[derive(Debug)]
pub(super) struct AwaitedClose {
    _abandon: Sender<()>,
}

impl Progress {
    /// Tracks a stream that was just opened.
    pub fn track<S>(inner: S) -> (Self, Stream<S>) {
        let (state, (sender, ended)) = (Arc::<State>::default(), async_channel::bounded(1));
        let stream = Stream { inner, state: Arc::clone(&state), n_ready_reads: 0, _ended: sender };
        (Self { state, ended }, stream)
    }

    /// The number of bytes that the operating system has taken.
    pub fn n_written(&self) -> u64 {
        self.state.n_written.load(Ordering::SeqCst)
    }

    /// Records that a request is passed to the connection.
    pub fn begin_head(&self) {
        self.state.observer.lock().take();
        self.state.n_head_bytes.store(0, Ordering::SeqCst);
        self.state.awaits_head.store(true, Ordering::SeqCst);
    }

    /// Records that the head of the response is complete.
    pub fn end_head(&self) {
        self.state.awaits_head.store(false, Ordering::SeqCst);
    }

    /// Keeps the connection open for what the peer sends after the current response.
    pub fn await_close(&self) -> AwaitedClose {
        let (abandon, abandoned) = async_channel::bounded(1);
        *self.state.close_abandoned.lock() = Some(abandoned);
        AwaitedClose { _abandon: abandon }
    }

    /// Waits until nothing can be written any more.
    pub async fn ended(&self) {
        let _closed = self.ended.recv().await;
    }

    /// Notifies `observer` of bytes that begin no response, until the next request.
    pub fn observe(&self, observer: Box<dyn Observer>) {
        *self.state.observer.lock() = Some(observer);
        // They may have arrived before.
        if self.has_surplus() {
            self.state.notify_observer();
        }
    }

    /// Whether the connection has ended with bytes left over that begin no response.
    pub fn has_surplus(&self) -> bool {
        self.state.has_surplus.load(Ordering::SeqCst)
    }
}

impl State {
    fn notify_observer(&self) {
        let observer = self.observer.lock().take();
        if let Some(observer) = observer {
            observer.on_surplus();
        }
    }
}

impl<S> Stream<S> {
    /// Whether bytes have been read so often in a row that other tasks have to get a turn. A reader may
    /// go on as long as it finds bytes, so that no time limit takes effect meanwhile.
    fn must_yield(&mut self, cx: &Context<'_>) -> bool {
        if self.n_ready_reads < MAX_READY_READS {
            return false;
        }
        self.n_ready_reads = 0;
        cx.waker().wake_by_ref();
        true
    }

    fn check_head(&self, n_read: usize) -> io::Result<()> {
        if !self.state.awaits_head.load(Ordering::SeqCst) {
            return Ok(());
        }
        let n_read = n_read as u64;
        let n_bytes = n_read + self.state.n_head_bytes.fetch_add(n_read, Ordering::SeqCst);
        match n_bytes <= MAX_HEAD_BYTES {
            true => Ok(()),
            false => Err(io::Error::new(io::ErrorKind::InvalidData, "the head is too large")),
        }
    }
}

impl<S: AsyncRead + Unpin> Stream<S> {
    /// Closes the stream, of which `unread` was read and belongs to no response. Waits up to `max_wait`
    /// for more as long as there is an [`AwaitedClose`].
    pub async fn close(mut self, unread: &[u8], max_wait: Duration) {
        let mut late = [0; RESPONSE_START.len()];
        let mut surplus = unread;
        let close_abandoned = self.state.close_abandoned.lock().take();
        if let (true, Some(abandoned)) = (surplus.is_empty(), close_abandoned) {
            // A connection that fails brings nothing more.
            let read = timeout::run(max_wait, self.inner.read(&mut late));
            let read = async { read.await.map_or(0, |it| it.unwrap_or(0)) };
            let abandoned = async {
                let _closed = abandoned.recv().await;
                0
            };
            let n_read = future::or(read, abandoned).await;
            surplus = &late[..n_read];
        }
        let has_surplus = !surplus.is_empty() && !surplus.starts_with(RESPONSE_START);
        self.state.has_surplus.store(has_surplus, Ordering::SeqCst);
        if has_surplus {
            self.state.notify_observer();
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Stream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.must_yield(cx) {
            return Poll::Pending;
        }
        let result = Pin::new(&mut self.inner).poll_read(cx, buf);
        self.n_ready_reads = if result.is_ready() { self.n_ready_reads + 1 } else { 0 };
        match result {
            Poll::Ready(Ok(n)) => Poll::Ready(self.check_head(n).map(|()| n)),
            other => other,
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Stream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write(cx, buf);
        if let Poll::Ready(Ok(n)) = &result {
            self.state.n_written.fetch_add(*n as u64, Ordering::SeqCst);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
