//! Leases on shards of control work.
//!
//! A lease is a row in the platform's table. Its holder rewrites the row within the lease term. A
//! row that a candidate has seen unchanged for long enough, by the candidate's own clock, has no
//! holder any more, so clocks of different machines are never compared.
//!
//! A holder can be frozen past the end of its lease and resume without noticing. Therefore each
//! change of holder increments the fencing token, which is sent with every order. Engines that
//! check it refuse orders of the old holder. For engines that don't, a holder sends an order only
//! while its lease has more time left than the order may take, and a successor waits that much
//! longer. The remaining case is a holder that is frozen between that check and the send; the next
//! check of the engine detects the effect, and the order is sent again (see [`crate::order`]).

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use curranthook_platform::{Error, Row, Table, Tag, Write};
use curranthook_types::{Clock, vm};
use serde::{Deserialize, Serialize};

/// The table that holds the leases.
pub const TABLE: &str = "leases";
/// How long a lease is valid after its row was written.
pub const TERM: Duration = Duration::from_secs(6);
/// The timeout of an order, or of any other action that needs the lease.
pub const EFFECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a candidate must have seen a row unchanged before it takes over the lease: [`TERM`]
/// plus [`EFFECT_TIMEOUT`].
pub const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(8);

/// The content of a lease's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The current or last holder.
    pub holder: Holder,
    /// The fencing token: the number of changes of holder.
    pub fencing: u64,
    /// The number of renewals, so that each renewal changes the row.
    pub renewal: u64,
    /// Whether the holder released the lease.
    pub released: bool,
}

/// A steward process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The VM it runs on.
    pub vm: vm::Id,
    /// Distinguishes successive processes on the same VM.
    pub incarnation: vm::Incarnation,
}

/// The lease of one shard, as seen by this process.
#[derive(Debug)]
pub struct Lease {
    table: Arc<dyn Table>,
    clock: Arc<dyn Clock>,
    shard: String,
    own_holder: Holder,
    held: Option<Held>,
    last_seen: Option<(Tag, Instant)>,
}

#[derive(Debug)]
struct Held {
    tag: Tag,
    record: Record,
    expires: Instant,
}

impl Lease {
    /// Creates the lease of `shard`, which is not held until it is acquired.
    pub fn new(
        table: Arc<dyn Table>,
        clock: Arc<dyn Clock>,
        shard: &str,
        own_holder: Holder,
    ) -> Self {
        Self { table, clock, shard: shard.to_owned(), own_holder, held: None, last_seen: None }
    }

    /// The fencing token, if the lease is held for more than `min_remaining` from now.
    pub fn fencing_token(&self, min_remaining: Duration) -> Option<u64> {
        let held = self.held.as_ref()?;
        (self.clock.now() + min_remaining < held.expires).then_some(held.record.fencing)
    }

    /// Renews the lease if it is held, or acquires it if it is free.
    pub async fn renew_or_acquire(&mut self) -> Result<(), Error> {
        match self.held.take() {
            Some(held) => self.renew(held).await,
            None => self.try_acquire().await,
        }
    }

    /// Releases the lease, so that another steward needn't wait for its expiry.
    pub async fn release(mut self) {
        let Some(held) = self.held.take() else { return };
        let record = Record { released: true, ..held.record };
        // If this write is lost, the lease expires on its own.
        let _written = self.table.replace(TABLE, &self.shard, &held.tag, encode(&record)).await;
    }

    async fn renew(&mut self, held: Held) -> Result<(), Error> {
        let record = Record { renewal: held.record.renewal + 1, ..held.record.clone() };
        // The term counts from before the write, since the time the write took to arrive is
        // unknown.
        let sent_at = self.clock.now();
        match self.table.replace(TABLE, &self.shard, &held.tag, encode(&record)).await {
            Ok(Write::Done(tag)) => {
                self.set_held(tag, record, sent_at);
                Ok(())
            }
            Ok(Write::Conflict) => self.try_acquire().await,
            // Whether the renewal took effect is unknown, so the old expiry still applies. Reading
            // the row shows which of its states the next renewal has to replace.
            Err(e) => {
                self.recover_after_error(held, &record, sent_at).await;
                Err(e)
            }
        }
    }

    async fn recover_after_error(&mut self, held: Held, sent: &Record, sent_at: Instant) {
        match self.table.get(TABLE, &self.shard).await {
            Ok(Some(row)) if decode(&row).as_ref() == Ok(sent) => {
                self.set_held(row.tag, sent.clone(), sent_at);
            }
            Ok(Some(row)) if row.tag != held.tag => self.observe(row.tag),
            _ => self.held = Some(held),
        }
    }

    async fn try_acquire(&mut self) -> Result<(), Error> {
        let sent_at = self.clock.now();
        let Some(row) = self.table.get(TABLE, &self.shard).await? else {
            let record = self.new_record(1);
            let written = self.table.insert(TABLE, &self.shard, encode(&record)).await;
            return self.finish_acquire(written, record, sent_at).await;
        };
        let found = decode(&row)?;
        self.observe(row.tag.clone());
        if !found.released && !self.is_expired(sent_at) {
            return Ok(());
        }
        let record = self.new_record(found.fencing + 1);
        let written = self.table.replace(TABLE, &self.shard, &row.tag, encode(&record)).await;
        self.finish_acquire(written, record, sent_at).await
    }

    async fn finish_acquire(
        &mut self,
        written: Result<Write, Error>,
        record: Record,
        sent_at: Instant,
    ) -> Result<(), Error> {
        match written {
            Ok(Write::Done(tag)) => self.set_held(tag, record, sent_at),
            Ok(Write::Conflict) => {}
            // The response was lost, so it is unknown whether the write took effect. It did if the
            // row has this process as holder and this fencing token.
            Err(Error::Lost(_)) => {
                let row = self.table.get(TABLE, &self.shard).await?;
                if let Some(row) = row.filter(|it| decode(it).as_ref() == Ok(&record)) {
                    self.set_held(row.tag, record, sent_at);
                }
            }
            Err(e) => return Err(e),
        }
        Ok(())
    }

    fn set_held(&mut self, tag: Tag, record: Record, sent_at: Instant) {
        self.last_seen = None;
        self.held = Some(Held { tag, record, expires: sent_at + TERM });
    }

    fn observe(&mut self, tag: Tag) {
        let is_unchanged = self.last_seen.as_ref().is_some_and(|(last_seen, _)| *last_seen == tag);
        if !is_unchanged {
            self.last_seen = Some((tag, self.clock.now()));
        }
    }

    fn is_expired(&self, now: Instant) -> bool {
        self.last_seen
            .as_ref()
            .is_some_and(|(_, since)| TAKEOVER_TIMEOUT <= now.duration_since(*since))
    }

    fn new_record(&self, fencing: u64) -> Record {
        Record { holder: self.own_holder.clone(), fencing, renewal: 0, released: false }
    }
}

fn encode(record: &Record) -> Bytes {
    serde_json::to_vec(record).expect("a lease record is always serializable").into()
}

fn decode(row: &Row) -> Result<Record, Error> {
    serde_json::from_slice(&row.value).map_err(|e| Error::Malformed(e.to_string()))
}
