//! The memory for the bodies of requests, from their first byte until nobody needs them any more.
//!
//! Clients may send as many large bodies at once as they like, stop short of the end of each and wait.
//! What they take together is bounded, and so is what one of them takes, as a multiple of what is left
//! for others. Where there is no room for more, the body that has been received for longest gives way,
//! of the client that takes most. Small bodies always have room.

use std::{
    collections::{BTreeMap, HashMap},
    convert::Infallible,
    sync::Arc,
    time::{Duration, Instant},
};

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use curranthook_types::Clock;
use futures_lite::future;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use parking_lot::Mutex;

use crate::body::{self, Blocks, FREE_BYTES, MAX_SHARE};

/// The time that a client has for a body before others that need its memory may take it.
pub const SECURE_TIME: Duration = Duration::from_secs(1);

/// Why a body was not received.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The body is longer than the limit.
    #[error("the body is larger than {limit} bytes")]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// The client ended the body early.
    #[error("the body broke off: {0}")]
    Incomplete(body::Error),
    /// There is no memory for the body, or others needed what it had.
    #[error("no memory for the body")]
    NoMemory,
}

/// The memory for the bodies of all requests.
#[derive(Debug, Clone)]
pub struct Memory {
    usage: Arc<Mutex<Usage>>,
    clock: Arc<dyn Clock>,
}

#[derive(Debug)]
struct Usage {
    free: usize,
    /// What is taken, by client.
    taken: HashMap<Arc<str>, usize>,
    /// The bodies that are being received, the oldest first.
    receiving: BTreeMap<u64, Receiving>,
    next_id: u64,
}

/// A body that is being received.
#[derive(Debug)]
struct Receiving {
    client: Arc<str>,
    since: Instant,
    blocks: Blocks,
    /// What the body takes of the memory.
    bytes: usize,
    /// Closed when the body has given way.
    _kept: Sender<Infallible>,
}

/// A whole body. What it takes of the memory is returned when its claim is dropped.
#[derive(Debug)]
pub struct Received {
    /// The body.
    pub bytes: Bytes,
    /// The memory that it takes.
    pub claim: Claim,
}

/// The memory that a whole body takes.
#[derive(Debug)]
pub struct Claim {
    memory: Memory,
    client: Arc<str>,
    bytes: usize,
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.memory.usage.lock().release(&self.client, self.bytes);
    }
}

impl Memory {
    /// A memory of `bytes`.
    pub fn new(bytes: usize, clock: Arc<dyn Clock>) -> Self {
        let usage =
            Usage { free: bytes, taken: HashMap::new(), receiving: BTreeMap::new(), next_id: 0 };
        Self { usage: Arc::new(Mutex::new(usage)), clock }
    }

    /// Begins a body of `client`, which takes nothing yet.
    ///
    /// ```
    /// # use std::{sync::Arc, time::Duration};
    /// # use curranthook_http::intake::Memory;
    /// # use curranthook_types::clock::Manual;
    /// let clock = Arc::new(Manual::default());
    /// let memory = Memory::new(3 * 1024 * 1024, clock.clone());
    /// let chunk = vec![0; 1024 * 1024];
    /// let [first, second] = ["crowd", "crowd"].map(|it| memory.begin(it));
    /// assert!(first.push(&chunk).is_ok());
    /// assert!(second.push(&chunk).is_ok());
    /// let other = memory.begin("other");
    /// assert!(other.push(&chunk[..1024]).is_ok(), "small bodies always have room");
    /// assert!(other.push(&chunk).is_err());
    /// clock.advance(Duration::from_secs(1));
    /// let other = memory.begin("other");
    /// assert!(other.push(&chunk).is_ok());
    /// assert!(first.finish().is_err(), "the oldest has given way");
    /// assert_eq!(second.finish().unwrap().bytes.len(), chunk.len());
    /// ```
    pub fn begin(&self, client: &str) -> Body {
        let (kept, given_way) = async_channel::bounded(1);
        let mut usage = self.usage.lock();
        let id = usage.next_id;
        usage.next_id += 1;
        let receiving = Receiving {
            client: client.into(),
            since: self.clock.now(),
            blocks: Blocks::default(),
            bytes: 0,
            _kept: kept,
        };
        usage.receiving.insert(id, receiving);
        Body { memory: self.clone(), id, given_way }
    }

    /// Receives a whole body of at most `limit` bytes from `client`.
    pub async fn read(
        &self,
        client: &str,
        mut incoming: Incoming,
        limit: usize,
    ) -> Result<Received, Error> {
        let body = self.begin(client);
        let mut n_bytes = 0;
        loop {
            let gave_way = async {
                let _closed = body.given_way.recv().await;
                Err(Error::NoMemory)
            };
            let frame = future::or(gave_way, async { Ok(incoming.frame().await) }).await?;
            let Some(frame) = frame else { return body.finish() };
            let frame = frame.map_err(|e| Error::Incomplete(e.into()))?;
            let Ok(data) = frame.into_data() else { continue };
            n_bytes += data.len();
            if limit < n_bytes {
                return Err(Error::TooLarge { limit });
            }
            body.push(&data)?;
        }
    }

    /// What is not taken, in bytes.
    pub fn free(&self) -> usize {
        self.usage.lock().free
    }
}

/// A body that is being received; dropping it returns what it takes.
#[derive(Debug)]
pub struct Body {
    memory: Memory,
    id: u64,
    given_way: Receiver<Infallible>,
}

impl Body {
    /// Adds bytes. Fails if there is no room for them, or if the body has given way.
    pub fn push(&self, data: &[u8]) -> Result<(), Error> {
        let now = self.memory.clock.now();
        let mut usage = self.memory.usage.lock();
        let Some(it) = usage.receiving.get(&self.id) else { return Err(Error::NoMemory) };
        let capacity = it.blocks.capacity_with(data.len());
        let wanted = if capacity <= FREE_BYTES { 0 } else { capacity };
        let (client, more) = (Arc::clone(&it.client), wanted.saturating_sub(it.bytes));
        while !usage.has_room(&client, more) {
            if !usage.evict(self.id, now) {
                return Err(Error::NoMemory);
            }
        }
        usage.take(&client, more);
        let it = usage.receiving.get_mut(&self.id).expect("the body has not given way");
        it.bytes += more;
        it.blocks.push(data);
        Ok(())
    }

    /// The whole body. Fails if it has given way.
    pub fn finish(self) -> Result<Received, Error> {
        let receiving = self.memory.usage.lock().receiving.remove(&self.id);
        let Some(Receiving { client, blocks, bytes, .. }) = receiving else {
            return Err(Error::NoMemory);
        };
        let claim = Claim { memory: self.memory.clone(), client, bytes };
        Ok(Received { bytes: blocks.into_bytes(), claim })
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        self.memory.usage.lock().remove(self.id);
    }
}

impl Usage {
    /// Whether `client` may take `more` bytes.
    fn has_room(&self, client: &Arc<str>, more: usize) -> bool {
        let taken = self.taken.get(client).copied().unwrap_or_default();
        let Some(free) = self.free.checked_sub(more) else { return more == 0 };
        more == 0 || taken + more <= MAX_SHARE * free
    }

    fn take(&mut self, client: &Arc<str>, bytes: usize) {
        if 0 < bytes {
            self.free -= bytes;
            *self.taken.entry(Arc::clone(client)).or_default() += bytes;
        }
    }

    fn release(&mut self, client: &Arc<str>, bytes: usize) {
        self.free += bytes;
        if let Some(taken) = self.taken.get_mut(client) {
            *taken -= bytes;
            if *taken == 0 {
                self.taken.remove(client);
            }
        }
    }

    fn remove(&mut self, id: u64) -> bool {
        let Some(it) = self.receiving.remove(&id) else { return false };
        self.release(&it.client, it.bytes);
        true
    }

    /// Takes the memory from the body that has been received for longest, of the client that takes most
    /// of those with a body that is not secure any more, but for the body `kept`. Returns whether there
    /// was one.
    fn evict(&mut self, kept: u64, now: Instant) -> bool {
        let is_insecure = |(id, it): &(&u64, &Receiving)| {
            **id != kept && 0 < it.bytes && it.since + SECURE_TIME <= now
        };
        let taken = |it: &Receiving| self.taken.get(&it.client).copied().unwrap_or_default();
        let insecure = self.receiving.iter().filter(is_insecure);
        // The first of equals: the oldest.
        let victim = insecure.rev().max_by_key(|(_, it)| taken(it)).map(|(id, _)| *id);
        victim.is_some_and(|it| self.remove(it))
    }
}
