//! What has become of a connection: how many bytes were written to it, and whether it has ended.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

use async_channel::{Receiver, Sender};
use futures_lite::{AsyncRead, AsyncWrite};

/// The view of a connection's user.
#[derive(Debug, Clone)]
pub(super) struct Progress {
    n_written: Arc<AtomicU64>,
    /// Closed when the stream is dropped.
    ended: Receiver<()>,
}

/// A stream that counts the bytes written to it.
#[derive(Debug)]
pub(super) struct Stream<S> {
    inner: S,
    n_written: Arc<AtomicU64>,
    _ended: Sender<()>,
}

impl Progress {
    /// Tracks a stream that was just opened.
    pub fn track<S>(inner: S) -> (Self, Stream<S>) {
        let (n_written, (sender, ended)) = (Arc::default(), async_channel::bounded(1));
        let stream = Stream { inner, n_written: Arc::clone(&n_written), _ended: sender };
        (Self { n_written, ended }, stream)
    }

    /// The number of bytes that the operating system has taken.
    pub fn n_written(&self) -> u64 {
        self.n_written.load(Ordering::SeqCst)
    }

    /// Waits until nothing can be written any more.
    pub async fn ended(&self) {
        let _closed = self.ended.recv().await;
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Stream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
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
            self.n_written.fetch_add(*n as u64, Ordering::SeqCst);
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
