//! The body of a response.

use std::{
    fmt,
    pin::Pin,
    sync::Weak,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use futures_lite::future;
use http_body::{Frame, SizeHint};
use hyper::body::Incoming;

use super::{READY_TIMEOUT, Sender, progress::Progress};
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
}

/// The body of a response. Fails at its end if bytes follow which show that it is not the whole body.
pub struct Body {
    incoming: Incoming,
    /// Whether surplus bytes follow; none if the end of the body is marked.
    has_surplus: Option<future::Boxed<bool>>,
}

impl Body {
    /// A body whose end is marked by chunks or by the end of the connection.
    pub(super) fn delimited(incoming: Incoming) -> Self {
        Self { incoming, has_surplus: None }
    }

    /// A body whose end only the head states.
    pub(super) fn with_length(
        incoming: Incoming,
        sender: Weak<Sender>,
        progress: Progress,
    ) -> Self {
        Self { incoming, has_surplus: Some(Box::pin(has_surplus(sender, progress))) }
    }
}

/// Whether a connection has received surplus bytes after a body.
async fn has_surplus(sender: Weak<Sender>, progress: Progress) -> bool {
    // The connection becomes idle, or ends because of surplus bytes or the peer. It does neither while
    // it closes and the request is still being written.
    let is_idle = future::poll_fn(|cx| match sender.upgrade() {
        Some(sender) => sender.lock().poll_ready(cx).map(|it| it.is_ok()),
        None => Poll::Ready(false),
    });
    let ended = async {
        if !is_idle.await {
            progress.ended().await;
        }
    };
    timeout::run(READY_TIMEOUT, ended).await.is_ok() && progress.has_surplus()
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        if let Some(frame) = ready!(Pin::new(&mut self.incoming).poll_frame(cx)) {
            return Poll::Ready(Some(frame.map_err(Error::from)));
        }
        let Some(has_surplus) = &mut self.has_surplus else { return Poll::Ready(None) };
        let has_surplus = ready!(has_surplus.as_mut().poll(cx));
        self.has_surplus = None;
        Poll::Ready(has_surplus.then_some(Err(Error::Surplus)))
    }

    fn is_end_stream(&self) -> bool {
        self.has_surplus.is_none() && self.incoming.is_end_stream()
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
