//! Sessions: a session keeps the version it started on.
//!
//! The pin travels with the caller, as a signed token on each answer, so any node honours it,
//! whatever else is down. A caller that can only repeat a session id gets a row for its pin in
//! the platform's table instead; that row is inserted conditionally, so two first requests that
//! race to different nodes end up on one version.

use std::{collections::HashMap, sync::Arc, time::Duration};

use bytes::Bytes;
use curranthook_platform::{Error, Row, Table, Write};
use curranthook_settings::config::Key;
use curranthook_types::{Refusal, account, refusal::Reason, session, version};
use parking_lot::Mutex;

use crate::{claim, parse::Metadata, token};

/// The table that holds pins of callers without tokens.
pub const TABLE: &str = "sessions";
/// The session id by which a caller asks for a new session.
pub const NEW: &str = "new";
/// How many pins a node remembers.
const MAX_REMEMBERED: usize = 10_000;
/// When to come back while the platform is out.
const OUTAGE_RETRY: Duration = Duration::from_secs(2);

/// What is known of a request's session before a version is chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Pin {
    /// It belongs to none.
    None,
    /// It begins one that nobody else can know.
    New(session::Id),
    /// It may begin one; the row decides.
    Unclaimed(session::Id),
    /// It belongs to one that is on this version.
    Held(session::Id, version::Id),
}

/// Pins kept in the platform's table, with those that this node has seen.
#[derive(Debug)]
pub struct Rows {
    table: Arc<dyn Table>,
    seen: Mutex<HashMap<String, version::Id>>,
}

impl Rows {
    /// No pin seen yet.
    pub fn new(table: Arc<dyn Table>) -> Self {
        Self { table, seen: Mutex::default() }
    }

    /// What is known of the session that `ask` belongs to.
    pub async fn find(
        &self,
        metadata: &Metadata,
        keys: &[Key],
        now_millis: u64,
    ) -> Result<Pin, Refusal> {
        if let Some(text) = &metadata.token {
            return held(metadata, text, keys, now_millis);
        }
        let Some(session) = &metadata.session else { return Ok(Pin::None) };
        if session.as_str() == NEW {
            return Ok(Pin::New(session::Id::new(ulid::Ulid::generate().to_string())));
        }
        let key = key(&metadata.account, session);
        if let Some(version) = self.seen.lock().get(&key) {
            return Ok(Pin::Held(session.clone(), version.clone()));
        }
        match self.table.get(TABLE, &key).await.map_err(|e| down(&e))? {
            Some(row) => Ok(Pin::Held(session.clone(), self.remember(key, &row.value))),
            None => Ok(Pin::Unclaimed(session.clone())),
        }
    }

    /// Pins an unclaimed session to `version`, or to the one that another node was first with.
    pub async fn insert(
        &self,
        account: &account::Id,
        session: &session::Id,
        version: &version::Id,
    ) -> Result<version::Id, Refusal> {
        let key = key(account, session);
        let value = Bytes::copy_from_slice(version.as_str().as_bytes());
        match self.table.insert(TABLE, &key, value.clone()).await {
            Ok(Write::Done(_)) => Ok(self.remember(key, &value)),
            // Whether another node was first or our own answer was lost, the row has the pin.
            Ok(Write::Conflict) | Err(Error::Lost(_)) => {
                let row = self.row(&key).await?;
                Ok(self.remember(key, &row.value))
            }
            Err(e) => Err(down(&e)),
        }
    }

    /// Moves a session from a version that was withdrawn to `to`, or to the one that another
    /// node moved it to first.
    ///
    /// If the row went on naming the old version, each later request would choose anew, and the
    /// caller would get answers of one version and then of another.
    pub async fn replace(
        &self,
        account: &account::Id,
        session: &session::Id,
        from: &version::Id,
        to: &version::Id,
    ) -> Result<version::Id, Refusal> {
        let key = key(account, session);
        let row = self.row(&key).await?;
        if row.value != from.as_str() {
            return Ok(self.remember(key, &row.value));
        }
        let value = Bytes::copy_from_slice(to.as_str().as_bytes());
        match self.table.replace(TABLE, &key, &row.tag, value.clone()).await {
            Ok(Write::Done(_)) => Ok(self.remember(key, &value)),
            Ok(Write::Conflict) | Err(Error::Lost(_)) => {
                let row = self.row(&key).await?;
                Ok(self.remember(key, &row.value))
            }
            Err(e) => Err(down(&e)),
        }
    }

    async fn row(&self, key: &str) -> Result<Row, Refusal> {
        let row = self.table.get(TABLE, key).await.map_err(|e| down(&e))?;
        row.ok_or_else(|| down(&Error::Lost("no row".to_owned())))
    }

    fn remember(&self, key: String, value: &[u8]) -> version::Id {
        let version = version::Id::new(String::from_utf8_lossy(value));
        let mut seen = self.seen.lock();
        if MAX_REMEMBERED <= seen.len() {
            // The rows still have them all.
            seen.clear();
        }
        seen.insert(key, version.clone());
        version
    }
}

fn held(metadata: &Metadata, text: &str, keys: &[Key], now_millis: u64) -> Result<Pin, Refusal> {
    let refused = |why: &str| Refusal::not_run(Reason::BadToken, why);
    let claims = token::verify(text, keys, now_millis).map_err(|e| refused(&e.to_string()))?;
    if claims.account != metadata.account {
        return Err(refused("the session token belongs to another account"));
    }
    match &metadata.session {
        Some(session) if *session != claims.session => {
            Err(refused("the session token belongs to another session"))
        }
        _ => Ok(Pin::Held(claims.session, claims.version)),
    }
}

fn key(account: &account::Id, session: &session::Id) -> String {
    claim::key(account, "session", session.as_str())
}

fn down(e: &Error) -> Refusal {
    let message = format!(
        "the session's version can't be looked up: {e}; send the session token, or start a \
         session with the id \"new\""
    );
    Refusal::not_run(Reason::PlatformDown, message).with_retry_after(OUTAGE_RETRY)
}
