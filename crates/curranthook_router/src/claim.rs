//! Claims: a call that must not be repeated is executed at most once.
//!
//! Each such call carries the caller's idempotency key. Before any byte is sent, the router inserts
//! a row with a random claim id under that key into the platform's table. The insert is
//! conditional, so only one router succeeds, and only that router sends the call, once. A claim has
//! no lease and does not expire: no other router can take over while a router is paused between
//! claiming and sending, so its late send is still the only one.
//!
//! A claim whose call was certainly not sent is released, and the next caller may take it over.
//! Release and takeover are compare-and-set writes on the same row, so only one of them succeeds.

use std::{sync::Arc, time::Duration};

use async_io::Timer;
use bytes::Bytes;
use curranthook_http::{runtime, timeout};
use curranthook_platform::{Error, Row, Table, Tag, Write};
use curranthook_types::{Refusal, account, refusal::Reason, refusal::Run};
use serde::{Deserialize, Serialize};
use serde_with::{base64::Base64, hex::Hex, serde_as};
use sha2::{Digest, Sha256};

/// The name of the platform's table of claims.
pub const TABLE: &str = "claims";
/// The maximum number of attempts to insert a claim's row when responses of the platform are lost.
/// After that the caller is refused.
const MAX_CLAIM_ATTEMPTS: u32 = 3;
/// The time limit for all attempts to insert a claim's row together.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The delay between two attempts to insert a claim's row.
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The maximum number of attempts to store an outcome or a release while the platform is down.
const MAX_BACKGROUND_ATTEMPTS: u32 = 600;
/// The delay between two background attempts.
const BACKGROUND_RETRY_DELAY: Duration = Duration::from_secs(1);
/// The maximum number of lookups of an unconfirmed claim's row in order to release it.
const MAX_CLEANUP_ATTEMPTS: u32 = 60;
/// The largest response body that is stored for replays, in bytes.
const MAX_STORED_BYTES: usize = 64 * 1024;
/// The `Retry-After` of a refusal while the platform is down.
const OUTAGE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// The content of a claim's row.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The random id that the router generated for its claim.
    pub claim: String,
    /// SHA-256 of the call, to tell a repeat of the call from another call with the same key.
    #[serde_as(as = "Hex")]
    pub call: [u8; 32],
    /// The state of the call.
    pub state: State,
}

/// The state of a claimed call.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The router may be sending the call, or may have crashed while sending it.
    Sending,
    /// The call was certainly not sent; the next caller may take the claim over.
    Released,
    /// The call was answered; repeats get this response.
    Done {
        /// The HTTP status.
        status: u16,
        /// The content type of the body.
        content_type: String,
        /// The body, unless it was too large to store.
        #[serde_as(as = "Option<Base64>")]
        body: Option<Vec<u8>>,
    },
}

/// A claim that this router acquired.
#[derive(Debug)]
pub struct Claim {
    table: Arc<dyn Table>,
    key: String,
    tag: Tag,
    record: Record,
}

/// The result of a successful attempt to claim.
#[derive(Debug)]
pub enum Outcome {
    /// This router may send the call, once.
    Acquired(Claim),
    /// The call was answered before; this is the stored response.
    Replay(State),
}

/// The key of the row for a caller's idempotency key.
pub fn key(account: &account::Id, service: &str, idempotency_key: &str) -> String {
    let mut hash = Sha256::new();
    for part in [account.as_str(), service, idempotency_key] {
        // The length prefix distinguishes ("ab", "c") from ("a", "bc").
        hash.update(part.len().to_be_bytes());
        hash.update(part.as_bytes());
    }
    hex::encode(hash.finalize())
}

/// Claims the call under `key`, or gives up after `time_limit`, so that the caller can continue.
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
    // The call will not be sent now, but one of the inserts may have been written. If such a row
    // stayed, the caller's next attempt could never run.
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

/// Why it is unknown which router's claim is in the row.
enum Unconfirmed {
    /// Nothing that this router sent can have been written.
    NotWritten(Error),
    /// This router's claim may be in the row, or may still be written.
    MaybeWritten(Error),
}

impl Attempt {
    async fn run(&self) -> Result<Result<Outcome, Refusal>, Unconfirmed> {
        let mut cause = Error::Lost("the row is contended".to_owned());
        for n in 0..MAX_CLAIM_ATTEMPTS {
            match self.insert().await {
                Ok(Some(outcome)) => return Ok(outcome),
                // The row is not visible yet: insert again. The claim id is the same, so if the
                // first insert is written after all, the next attempt finds this router's own
                // claim.
                Ok(None) => {}
                // There is no point in keeping the caller waiting during an outage. But only on the
                // first attempt does it mean that nothing was written: an earlier insert whose
                // response was lost may have been written before the outage began.
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
            // The insert may have succeeded although its response was lost; the row then has this
            // router's claim id. Reading it back distinguishes the two cases; otherwise a call that
            // this router may execute would be refused.
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
            // Another router took it over first; read the row again.
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
                    // This router's own takeover of the row may still be in progress.
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
    // This request was not executed, but the call that it repeats may have been.
    Refusal {
        not_run: Run::Unknown,
        ..Refusal::not_run(Reason::KeyClaimed, "a call with this key is running or was lost")
    }
}

impl Claim {
    /// Stores the response, so that repeats get it. Keeps trying while the platform is down.
    pub async fn finish(self, status: u16, content_type: &str, body: &[u8]) {
        let body = (body.len() <= MAX_STORED_BYTES).then(|| body.to_vec());
        let state = State::Done { status, content_type: content_type.to_owned(), body };
        self.store(state).await;
    }

    /// Releases the claim; only for a call that was certainly not sent.
    pub async fn release(self) {
        self.store(State::Released).await;
    }

    async fn store(self, state: State) {
        let record = Record { state, ..self.record };
        for _ in 0..MAX_BACKGROUND_ATTEMPTS {
            match self.table.replace(TABLE, &self.key, &self.tag, encode(&record)).await {
                // A conflict means that an earlier attempt succeeded: no other router writes to a
                // row in state `Sending`.
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
    serde_json::from_slice(&row.value).map_err(|e| Error::Malformed(e.to_string()))
}
