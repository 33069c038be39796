//! Helpers to build and read the bodies of HTTP messages.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, Limited, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::{Frame, Incoming};

use crate::timeout;

/// Any error that a body can end with.
pub type Error = Box<dyn std::error::Error + Send + Sync>;

/// The body of a server's response.
pub type Body = UnsyncBoxBody<Bytes, Error>;

/// A body with the given content.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// A body that consists of `chunks`, which may share their memory with other bodies.
///
/// ```
/// # use bytes::Bytes;
/// use http_body_util::BodyExt;
/// # async_io::block_on(async {
/// let body = curranthook_http::body::chunks([Bytes::from("one "), Bytes::from("two")]);
/// assert_eq!(body.collect().await.unwrap().to_bytes(), "one two");
/// # });
/// ```
pub fn chunks<I>(chunks: I) -> Body
where
    I: IntoIterator<Item = Bytes, IntoIter: Send + 'static>,
{
    let frames = chunks.into_iter().map(|it| Ok(Frame::data(it)));
    StreamBody::new(futures_lite::stream::iter(frames)).boxed_unsync()
}

/// A response with a JSON body.
///
/// # Panics
///
/// If `value` cannot be serialized as JSON, for example a map whose keys are not strings.
///
/// ```
/// let res = curranthook_http::body::json(200, &serde_json::json!({"ready": true}));
/// assert_eq!(res.status(), 200);
/// ```
pub fn json(status: u16, value: &impl serde::Serialize) -> http::Response<Body> {
    let text = serde_json::to_vec(value).expect("failed to serialize the value as JSON");
    http::Response::builder()
        .status(status)
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(full(text))
        .expect("status and header are valid")
}

/// Why a body could not be read completely.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The body is longer than the limit.
    #[error("the body is larger than {limit} bytes")]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// The peer ended the body early.
    #[error("the body broke off: {0}")]
    Incomplete(Error),
}

/// Reads a whole body of at most `limit` bytes.
pub async fn read(mut body: Incoming, limit: usize) -> Result<Bytes, ReadError> {
    read_mut(&mut body, limit).await
}

/// Reads a whole body of at most `limit` bytes, which may take any time as long as no pause is longer
/// than `max_pause`.
pub async fn read_steadily(
    mut body: Incoming,
    limit: usize,
    max_pause: Duration,
) -> Result<Result<Bytes, ReadError>, timeout::Elapsed> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = timeout::run(max_pause, body.frame()).await? {
        let frame = match frame {
            Ok(frame) => frame,
            Err(e) => return Ok(Err(ReadError::Incomplete(e.into()))),
        };
        let Ok(data) = frame.into_data() else { continue };
        if limit < bytes.len() + data.len() {
            return Ok(Err(ReadError::TooLarge { limit }));
        }
        bytes.extend_from_slice(&data);
    }
    Ok(Ok(bytes.freeze()))
}

/// Reads the rest of a body, at most `limit` bytes, without consuming the body.
pub async fn read_mut(body: &mut Incoming, limit: usize) -> Result<Bytes, ReadError> {
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => Err(ReadError::TooLarge { limit }),
        Err(e) => Err(ReadError::Incomplete(e)),
    }
}

/// The bytes of a body that count towards no [`Memory`].
const FREE_BYTES: usize = 64 * 1024;

/// The memory that several bodies together may take while they are read, beside a small amount for
/// each.
///
/// Bounds what a process keeps of bodies that do not end, without an effect on small ones.
#[derive(Debug, Clone)]
pub struct Memory {
    free: Arc<AtomicUsize>,
}

/// The part of the memory that one body takes; dropping it returns it.
#[derive(Debug)]
struct Taken<'a> {
    memory: &'a Memory,
    bytes: usize,
}

impl Drop for Taken<'_> {
    fn drop(&mut self) {
        self.memory.free.fetch_add(self.bytes, Ordering::Relaxed);
    }
}

impl Taken<'_> {
    /// Takes more memory, so that the body may have `len` bytes. Returns whether there was enough.
    fn grow_to(&mut self, len: usize) -> bool {
        let more = len.saturating_sub(FREE_BYTES).saturating_sub(self.bytes);
        let (order, free) = (Ordering::Relaxed, &self.memory.free);
        let is_taken = free.try_update(order, order, |it| it.checked_sub(more)).is_ok();
        self.bytes += if is_taken { more } else { 0 };
        is_taken
    }
}

impl Memory {
    /// A memory of `bytes`.
    pub fn new(bytes: usize) -> Self {
        Self { free: Arc::new(AtomicUsize::new(bytes)) }
    }

    /// Reads a whole body of at most `limit` bytes. Fails with [`ReadError::TooLarge`] if it is
    /// larger, or if all bodies together would take more memory than there is.
    pub async fn read(&self, body: &mut Incoming, limit: usize) -> Result<Bytes, ReadError> {
        let (mut bytes, mut taken) = (BytesMut::new(), Taken { memory: self, bytes: 0 });
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|e| ReadError::Incomplete(e.into()))?;
            let Ok(data) = frame.into_data() else { continue };
            let len = bytes.len() + data.len();
            if limit < len || !taken.grow_to(len) {
                return Err(ReadError::TooLarge { limit });
            }
            bytes.extend_from_slice(&data);
        }
        Ok(bytes.freeze())
    }
}
