//! The body of a response.

use std::{
    fmt,
    pin::Pin,
    sync::Weak,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use futures_lite::future;
use http_body::{Frame, SizeHint};
use hyper::body::Incoming;

use super::{
    READY_TIMEOUT, Sender, chunks,
    progress::{AwaitedClose, Progress},
};
use crate::timeout;

/// Why a body is not complete.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection failed, or the body's framing is malformed.
    #[error(transparent)]
    Incoming(#[from] hyper::Error),
    /// Bytes follow that do not begin another response, so the body is longer than stated.
    #[error("bytes follow after the stated end")]
    Surplus,
    /// The body consists of chunks, and the head does not state that coding.
    #[error("chunks without their transfer coding")]
    LostCoding,
}

/// The body of a response. Fails if what it holds, or what follows, shows that it is not the body that
/// the peer meant.
pub struct Body {
    check: Check,
    incoming: Incoming,
}

/// What may show that a body is wrong although its framing is in order.
enum Check {
    /// Nothing.
    None,
    /// Bytes that follow after the stated end.
    Surplus(future::Boxed<bool>),
    /// Chunks, in a body that ends with its connection.
    LostCoding { chunks: chunks::Scan, content: Content },
}

/// What a body is read as.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Content {
    /// Any bytes.
    Bytes,
    /// Server-sent events. None of their lines is the size of a chunk.
    Events,
}

impl Body {
    /// A body whose end is marked by the last chunk.
    pub(super) fn chunked(incoming: Incoming) -> Self {
        Self { incoming, check: Check::None }
    }

    /// A body that ends with its connection.
    pub(super) fn until_close(incoming: Incoming) -> Self {
        let (chunks, content) = (chunks::Scan::default(), Content::Bytes);
        Self { incoming, check: Check::LostCoding { chunks, content } }
    }

    /// A body whose end only the head states. If it announces that the peer closes the
    /// connection, `close` waits for that; an idle connection is watched for `grace`.
    pub(super) fn with_length(
        incoming: Incoming,
        sender: Weak<Sender>,
        progress: Progress,
        close: Option<AwaitedClose>,
        grace: Duration,
    ) -> Self {
        let follows = Box::pin(has_surplus(sender, progress, close, grace));
        Self { check: Check::Surplus(follows), incoming }
    }

    /// The same body, to be read as server-sent events. Chunks that have lost their coding are noticed at
    /// the first of them, before an event is complete.
    pub fn into_events(mut self) -> Self {
        if let Check::LostCoding { content, .. } = &mut self.check {
            *content = Content::Events;
        }
        self
    }
}

/// Whether a connection has received surplus bytes after a body.
async fn has_surplus(
    sender: Weak<Sender>,
    progress: Progress,
    _close: Option<AwaitedClose>,
    grace: Duration,
) -> bool {
    // The connection becomes idle, or ends because of surplus bytes or the peer. It does neither while
    // it closes and the request is still being written.
    let is_idle = future::poll_fn(|cx| match sender.upgrade() {
        Some(sender) => sender.lock().poll_ready(cx).map(|it| it.is_ok()),
        None => Poll::Ready(false),
    });
    let ended = async {
        let wait = if is_idle.await { grace } else { READY_TIMEOUT };
        !wait.is_zero() && timeout::run(wait, progress.ended()).await.is_ok()
    };
    let has_ended = timeout::run(READY_TIMEOUT + grace, ended).await;
    has_ended.is_ok_and(|it| it) && progress.has_surplus()
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let body = &mut *self;
        let frame = ready!(Pin::new(&mut body.incoming).poll_frame(cx)).transpose()?;
        let error = match (&mut body.check, &frame) {
            (Check::LostCoding { chunks, content }, Some(frame)) => {
                chunks.push(frame.data_ref().map_or(&[], |it| &it[..]));
                let is_wrong = *content == Content::Events && chunks.starts_with_size();
                is_wrong.then_some(Error::LostCoding)
            }
            (Check::LostCoding { chunks, .. }, None) => {
                chunks.is_complete().then_some(Error::LostCoding)
            }
            (Check::Surplus(follows), None) => {
                ready!(follows.as_mut().poll(cx)).then_some(Error::Surplus)
            }
            (Check::None | Check::Surplus(_), _) => None,
        };
        if frame.is_none() || error.is_some() {
            body.check = Check::None;
        }
        Poll::Ready(error.map(Err).or(frame.map(Ok)))
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.check, Check::None) && self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

impl fmt::Debug for Body {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Body").field("incoming", &self.incoming).finish_non_exhaustive()
    }
}
