//! Helpers to build and read the bodies of HTTP messages.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body::Frame;
use http_body_util::{BodyExt, Full, Limited, StreamBody, combinators::UnsyncBoxBody};
use parking_lot::Mutex;

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

/// A body that is received from a peer.
pub trait Received: http_body::Body<Data = Bytes, Error: Into<Error>> + Unpin {}

impl<T: http_body::Body<Data = Bytes, Error: Into<Error>> + Unpin> Received for T {}

/// Reads a whole body of at most `limit` bytes.
pub async fn read(mut body: impl Received, limit: usize) -> Result<Bytes, ReadError> {
    read_mut(&mut body, limit).await
}

/// Reads a whole body of at most `limit` bytes, which may take any time as long as no pause is longer
/// than `max_pause`.
pub async fn read_steadily(
    mut body: impl Received,
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
pub async fn read_mut(body: &mut impl Received, limit: usize) -> Result<Bytes, ReadError> {
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => Err(ReadError::TooLarge { limit }),
        Err(e) => Err(ReadError::Incomplete(e)),
    }
}

/// The bytes of a body that count towards no [`Memory`].
pub(crate) const FREE_BYTES: usize = 8 * 1024;
/// How much one sender's bodies may take of a memory, as a multiple of what is left for others.
pub(crate) const MAX_SHARE: usize = 2;

/// The memory that several bodies together may take while they are read, beside a small amount for
/// each.
///
/// Bounds what a process keeps of bodies that do not end, without an effect on small ones. A sender that
/// takes much leaves a part for others, however many of its bodies are read.
#[derive(Debug, Clone)]
pub struct Memory(Arc<Mutex<Usage>>);

#[derive(Debug)]
struct Usage {
    free: usize,
    /// What is taken, by sender.
    taken: HashMap<SocketAddr, usize>,
}

/// The part of the memory that one body takes; dropping it returns it.
#[derive(Debug)]
pub struct Taken {
    memory: Memory,
    sender: SocketAddr,
    bytes: usize,
}

impl Drop for Taken {
    fn drop(&mut self) {
        self.resize(0);
    }
}

impl Taken {
    /// Takes memory so that there is enough for a buffer of `capacity` bytes, or returns what is more.
    /// Returns whether there was enough; otherwise nothing is changed.
    ///
    /// ```
    /// # use curranthook_http::body::Memory;
    /// let memory = Memory::new(3 * 1024 * 1024);
    /// let [faulty, sound] = ["127.0.0.1:1", "127.0.0.1:2"].map(|it| it.parse().unwrap());
    /// let mut large = memory.take(faulty);
    /// assert!(large.resize(1024 * 1024));
    /// assert!(!memory.take(faulty).resize(2 * 1024 * 1024));
    /// assert!(memory.take(sound).resize(512 * 1024));
    /// ```
    pub fn resize(&mut self, capacity: usize) -> bool {
        let bytes = if capacity <= FREE_BYTES { 0 } else { capacity };
        if bytes == self.bytes {
            return true;
        }
        let mut usage = self.memory.0.lock();
        let Some(free) = (usage.free + self.bytes).checked_sub(bytes) else { return false };
        let others = usage.taken.get(&self.sender).map_or(0, |it| it - self.bytes);
        if self.bytes < bytes && MAX_SHARE * free < others + bytes {
            return false;
        }
        usage.free = free;
        match others + bytes {
            0 => usage.taken.remove(&self.sender),
            taken => usage.taken.insert(self.sender, taken),
        };
        self.bytes = bytes;
        true
    }
}

impl Memory {
    /// A memory of `bytes`.
    pub fn new(bytes: usize) -> Self {
        Self(Arc::new(Mutex::new(Usage { free: bytes, taken: HashMap::new() })))
    }

    /// The part of a body from `sender` that is read piece by piece; it takes nothing yet.
    pub fn take(&self, sender: SocketAddr) -> Taken {
        Taken { memory: self.clone(), sender, bytes: 0 }
    }

    /// Reads a whole body of at most `limit` bytes from `sender`. Fails with [`ReadError::TooLarge`] if
    /// it is larger, or if there isn't enough memory for the bodies of this sender.
    pub async fn read(
        &self,
        sender: SocketAddr,
        body: &mut impl Received,
        limit: usize,
    ) -> Result<Bytes, ReadError> {
        let (mut blocks, mut taken) = (Blocks::default(), self.take(sender));
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|e| ReadError::Incomplete(e.into()))?;
            let Ok(data) = frame.into_data() else { continue };
            let is_too_large = limit < blocks.len() + data.len();
            if is_too_large || !taken.resize(blocks.capacity_with(data.len())) {
                return Err(ReadError::TooLarge { limit });
            }
            blocks.push(&data);
        }
        Ok(blocks.into_bytes())
    }
}

/// The size of the blocks that a body is kept in while it is read.
const BLOCK_BYTES: usize = 16 * 1024;

/// A body that is being read, in blocks of equal size. A buffer that grows would be copied again and
/// again, and many of them together would take several times the memory of what they hold.
#[derive(Debug, Default)]
pub(crate) struct Blocks(Vec<BytesMut>);

impl Blocks {
    fn len(&self) -> usize {
        // All but the last one are full.
        self.0.last().map_or(0, |last| (self.0.len() - 1) * BLOCK_BYTES + last.len())
    }

    /// The memory that the blocks take after `n` more bytes.
    pub(crate) fn capacity_with(&self, n: usize) -> usize {
        match self.len() + n {
            len if len <= FREE_BYTES => len,
            len => len.next_multiple_of(BLOCK_BYTES),
        }
    }

    pub(crate) fn push(&mut self, mut data: &[u8]) {
        while !data.is_empty() {
            let room = self.0.last().map_or(0, |it| BLOCK_BYTES - it.len());
            if room == 0 {
                self.0.push(BytesMut::new());
                continue;
            }
            let (now, later) = data.split_at(room.min(data.len()));
            let block = self.0.last_mut().expect("a block has room");
            if FREE_BYTES < block.len() + now.len() {
                block.reserve(BLOCK_BYTES - block.len());
            }
            block.extend_from_slice(now);
            data = later;
        }
    }

    pub(crate) fn into_bytes(mut self) -> Bytes {
        if self.0.len() <= 1 {
            return self.0.pop().unwrap_or_default().freeze();
        }
        let mut bytes = BytesMut::with_capacity(self.len());
        self.0.iter().for_each(|it| bytes.extend_from_slice(it));
        bytes.freeze()
    }
}
