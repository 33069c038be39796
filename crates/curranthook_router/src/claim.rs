//! Claims: a call that may not be repeated runs at most once.
//!
//! Each such call carries the caller's idempotency key. Before a byte goes out, the router
//! inserts a row under that key into the platform's table, with a random claim id. The insert
//! is conditional, so one router wins, and only the winner sends, once. There is no lease and
//! no time limit on a claim: a router that is frozen between claim and send can't be overtaken,
//! so its late send is still the only one.
//!
//! A claim whose call surely never went out is released, and the next caller may take it over.
//! Release and take-over are compare-and-set writes on the same row, so only one of them wins.

use std::{sync::Arc, time::Duration};

use async_io::Timer;
use bytes::Bytes;
use curranthook_http::{runtime, timeout};
use curranthook_platform::{Error, Row, Table, Tag, Write};
use curranthook_types::{Refusal, account, refusal::Reason, refusal::Run};
use serde::{Deserialize, Serialize};
use serde_with::{base64::Base64, hex::Hex, serde_as};
use sha2::{Digest, Sha256};

/// The table that holds the claims.
pub const TABLE: &str = "claims";
/// How often a lost answer is looked into before the caller is refused.
const MAX_CLAIM_ATTEMPTS: u32 = 3;
/// How long that may take in all.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The pause between two looks.
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(50);
/// How often an outcome or a release is tried again while the platform is out.
const MAX_BACKGROUND_ATTEMPTS: u32 = 600;
/// The pause between two such tries.
const BACKGROUND_RETRY_DELAY: Duration = Duration::from_secs(1);
/// How often an abandoned claim's row is looked for.
const MAX_CLEANUP_ATTEMPTS: u32 = 60;
/// The largest answer that is kept for replays, in bytes.
const MAX_STORED_BYTES: usize = 64 * 1024;
/// When to come back while the platform is out.
const OUTAGE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// What a claim's row says.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The random id of the claim that holds the row.
    pub claim: String,
    /// SHA-256 of the call, to tell a repeat from a reuse of the key.
    #[serde_as(as = "Hex")]
    pub call: [u8; 32],
    /// How far it came.
    pub state: State,
}

/// How far a claimed call came.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Its router may be sending it, or may have died doing so.
    Sending,
    /// It surely wasn't sent; the next caller may take it over.
    Released,
    /// It was answered; repeats get this.
    Done {
        /// The HTTP status.
        status: u16,
        /// The content type.
        content_type: String,
        /// The body, unless it was too large to be kept.
        #[serde_as(as = "Option<Base64>")]
        body: Option<Vec<u8>>,
    },
}

/// A claim that this router won.
#[derive(Debug)]
pub struct Claim {
    table: Arc<dyn Table>,
    key: String,
    tag: Tag,
    record: Record,
}

/// How an attempt to claim ended well.
#[derive(Debug)]
pub enum Outcome {
    /// This router may send the call, once.
    Acquired(Claim),
    /// The call was answered before; here is that answer.
    Replay(State),
}

/// The row's key for a caller's idempotency key.
pub fn key(account: &account::Id, service: &str, idempotency_key: &str) -> String {
    let mut hash = Sha256::new();
    for part in [account.as_str(), service, idempotency_key] {
        // The length keeps ("ab", "c") apart from ("a", "bc").
        hash.update(part.len().to_be_bytes());
        hash.update(part.as_bytes());
    }
    hex::encode(hash.finalize())
}

/// Claims the call under `key`, or gives up after `patience`, so that the caller can go on.
pub async fn acquire(
    table: &Arc<dyn Table>,
    ex: &runtime::Handle,
    key: String,
    call: [u8; 32],
    time_limit: Duration,
) -> Result<Outcome, Refusal> {
    let claim = ulid::Ulid::generate().to_string();
    let record = Record { claim, call, state: State::Sending };
    let attempt = Attempt { table: Arc::clone(table), key, record };
    let cause = match timeout::run(time_limit.min(CLAIM_TIMEOUT), attempt.run()).await {
        Ok(Ok(outcome)) => return outcome,
        Ok(Err(Unconfirmed::NotWritten(cause))) => return Err(unconfirmed(&cause)),
        Ok(Err(Unconfirmed::MaybeWritten(cause))) => cause,
        Err(timeout::Elapsed) => Error::Lost("no answer in time".to_owned()),
    };
    // We never send now, yet one of the inserts may have landed. Left alone, such a row would
    // keep the caller's next try from ever running.
    ex.spawn(attempt.clean_up()).detach();
    Err(unconfirmed(&cause))
}

fn unconfirmed(cause: &Error) -> Refusal {
    let message = format!("the claim can't be confirmed: {cause}");
    Refusal::not_run(Reason::PlatformDown, message).with_retry_after(OUTAGE_RETRY_AFTER)
}

struct Attempt {
    table: Arc<dyn Table>,
    key: String,
    record: Record,
}

/// Why it isn't known who holds the row.
enum Unconfirmed {
    /// Nothing that we sent can have been written.
    NotWritten(Error),
    /// Our claim may be in the row, or may still land there.
    MaybeWritten(Error),
}

impl Attempt {
    async fn run(&self) -> Result<Result<Outcome, Refusal>, Unconfirmed> {
        let mut cause = Error::Lost("the row is contended".to_owned());
        for n in 0..MAX_CLAIM_ATTEMPTS {
            match self.insert().await {
                Ok(Some(outcome)) => return Ok(outcome),
                // The row can't be seen yet: insert again. The claim id is the same, so if the
                // first insert lands after all we find our own claim there.
                Ok(None) => {}
                // It's no use to keep the caller waiting for an outage. But only at the first
                // try does it mean that nothing was written: an earlier insert whose answer was
                // lost may have landed before the outage began.
                Err(e @ Error::Down(_)) if n == 0 => return Err(Unconfirmed::NotWritten(e)),
                Err(e @ Error::Down(_)) => return Err(Unconfirmed::MaybeWritten(e)),
                Err(e) => cause = e,
            }
            Timer::after(CLAIM_RETRY_DELAY).await;
        }
        Err(Unconfirmed::MaybeWritten(cause))
    }

    async fn insert(&self) -> Result<Option<Result<Outcome, Refusal>>, Error> {
        match self.table.insert(TABLE, &self.key, encode(&self.record)).await {
            Ok(Write::Done(tag)) => Ok(Some(Ok(self.acquired(tag)))),
            // The insert may have taken effect though its answer was lost: the row then carries
            // our claim id. Reading it back tells the two cases apart; without that we would
            // refuse a call that is ours to run.
            Ok(Write::Conflict) | Err(Error::Lost(_)) => {
                self.resolve_conflict().await.map_err(|e| Error::Lost(e.to_string()))
            }
            Err(e) => Err(e),
        }
    }

    async fn resolve_conflict(&self) -> Result<Option<Result<Outcome, Refusal>>, Error> {
        let Some(row) = self.table.get(TABLE, &self.key).await? else { return Ok(None) };
        let found = decode(&row)?;
        if found.claim == self.record.claim && found.state == State::Sending {
            return Ok(Some(Ok(self.acquired(row.tag))));
        }
        if found.call != self.record.call {
            let refusal = Refusal::not_run(Reason::KeyReused, "this key was used for another call");
            return Ok(Some(Err(refusal)));
        }
        match found.state {
            State::Done { .. } => Ok(Some(Ok(Outcome::Replay(found.state)))),
            State::Released => self.take_over(&row.tag).await,
            State::Sending => Ok(Some(Err(already_claimed()))),
        }
    }

    async fn take_over(&self, tag: &Tag) -> Result<Option<Result<Outcome, Refusal>>, Error> {
        match self.table.replace(TABLE, &self.key, tag, encode(&self.record)).await? {
            Write::Done(tag) => Ok(Some(Ok(self.acquired(tag)))),
            // Somebody else took it over first; look at the row again.
            Write::Conflict => Ok(None),
        }
    }

    fn acquired(&self, tag: Tag) -> Outcome {
        Outcome::Acquired(Claim {
            table: Arc::clone(&self.table),
            key: self.key.clone(),
            tag,
            record: self.record.clone(),
        })
    }

    async fn clean_up(self) {
        for _ in 0..MAX_CLEANUP_ATTEMPTS {
            if let Ok(Some(row)) = self.table.get(TABLE, &self.key).await {
                match decode(&row) {
                    Ok(it) if it == self.record => return self.release(row.tag).await,
                    // Our own take-over of this row may still be on its way.
                    Ok(it) if it.state == State::Released => {}
                    _ => return,
                }
            }
            Timer::after(BACKGROUND_RETRY_DELAY).await;
        }
    }

    async fn release(self, tag: Tag) {
        let Self { table, key, record } = self;
        Claim { table, key, tag, record }.release().await;
    }
}

fn already_claimed() -> Refusal {
    // This request wasn't run, but the call that it repeats may have been.
    Refusal {
        not_run: Run::Unknown,
        ..Refusal::not_run(Reason::KeyClaimed, "a call with this key is running or was lost")
    }
}

impl Claim {
    /// Stores the answer, so that repeats get it. Goes on trying while the platform is out.
    pub async fn finish(self, status: u16, content_type: &str, body: &[u8]) {
        let body = (body.len() <= MAX_STORED_BYTES).then(|| body.to_vec());
        let state = State::Done { status, content_type: content_type.to_owned(), body };
        self.store(state).await;
    }

    /// Gives the claim up; only for a call that surely wasn't sent.
    pub async fn release(self) {
        self.store(State::Released).await;
    }

    async fn store(self, state: State) {
        let record = Record { state, ..self.record };
        for _ in 0..MAX_BACKGROUND_ATTEMPTS {
            match self.table.replace(TABLE, &self.key, &self.tag, encode(&record)).await {
                // A conflict means that an earlier try took effect: nobody else writes to a row
                // that is being sent.
                Ok(Write::Done(_) | Write::Conflict) => return,
                Err(_) => Timer::after(BACKGROUND_RETRY_DELAY).await,
            };
        }
    }
}

fn encode(record: &Record) -> Bytes {
    serde_json::to_vec(record).expect("a record has only plain fields").into()
}

fn decode(row: &Row) -> Result<Record, Error> {
    serde_json::from_slice(&row.value).map_err(|e| Error::Garbled(e.to_string()))
}
