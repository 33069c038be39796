//! Session pinning: a session keeps the version it started on.
//!
//! The pin is sent to the caller as a signed token with each response, so any node can verify it
//! even if the platform and all other nodes are down. For a caller that can only repeat a session
//! id, the pin is a row in the platform's table; the row is inserted conditionally, so if the first
//! two requests of a session race on different nodes, both end up on one version.

use std::{collections::HashMap, sync::Arc, time::Duration};

use bytes::Bytes;
use curranthook_platform::{Error, Row, Table, Write};
use curranthook_settings::config::Key;
use curranthook_types::{Refusal, account, refusal::Reason, session, version};
use parking_lot::Mutex;

use crate::{claim, parse::Metadata, token};

/// The name of the platform's table of pins, for callers without tokens.
pub const TABLE: &str = "sessions";
/// The session id with which a caller requests a new session.
pub const NEW_SESSION: &str = "new";
/// The maximum number of pins in a node's cache.
const MAX_CACHED_PINS: usize = 10_000;
/// The `Retry-After` of a refusal while the platform is down.
const OUTAGE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// What is known about a request's session before a version is selected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Pin {
    /// The request does not belong to a session.
    None,
    /// The request starts a session whose id was generated just now, so no other node knows it.
    New(session::Id),
    /// The request may start a session; the conditional insert of its row decides.
    Unclaimed(session::Id),
    /// The request belongs to a session that is pinned to this version.
    Pinned(session::Id, version::Id),
}

/// The pins in the platform's table, with a cache of those that this node has seen.
#[derive(Debug)]
pub struct Store {
    table: Arc<dyn Table>,
    cache: Mutex<HashMap<String, version::Id>>,
}

impl Store {
    /// A store with an empty cache.
    pub fn new(table: Arc<dyn Table>) -> Self {
        Self { table, cache: Mutex::default() }
    }

    /// Finds what is known about the session of a request.
    pub async fn find(
        &self,
        metadata: &Metadata,
        keys: &[Key],
        now_millis: u64,
    ) -> Result<Pin, Refusal> {
        if let Some(text) = &metadata.token {
            return from_token(metadata, text, keys, now_millis);
        }
        let Some(session) = &metadata.session else { return Ok(Pin::None) };
        if session.as_str() == NEW_SESSION {
            return Ok(Pin::New(session::Id::new(ulid::Ulid::generate().to_string())));
        }
        let row_key = row_key(&metadata.account, session);
        if let Some(version) = self.cache.lock().get(&row_key) {
            return Ok(Pin::Pinned(session.clone(), version.clone()));
        }
        match self.table.get(TABLE, &row_key).await.map_err(|e| lookup_failed(&e))? {
            Some(row) => Ok(Pin::Pinned(session.clone(), self.add_to_cache(row_key, &row.value))),
            None => Ok(Pin::Unclaimed(session.clone())),
        }
    }

    /// Pins an unclaimed session to `version`, or to the version that another node pinned it to
    /// first.
    pub async fn insert(
        &self,
        account: &account::Id,
        session: &session::Id,
        version: &version::Id,
    ) -> Result<version::Id, Refusal> {
        let row_key = row_key(account, session);
        let value = Bytes::copy_from_slice(version.as_str().as_bytes());
        match self.table.insert(TABLE, &row_key, value.clone()).await {
            Ok(Write::Done(_)) => Ok(self.add_to_cache(row_key, &value)),
            // Whether another node was first or the response to our insert was lost, the row has
            // the pin.
            Ok(Write::Conflict) | Err(Error::Lost(_)) => {
                let row = self.row(&row_key).await?;
                Ok(self.add_to_cache(row_key, &row.value))
            }
            Err(e) => Err(lookup_failed(&e)),
        }
    }

    /// Moves a session from a withdrawn version to `to`, or to the version that another node moved
    /// it to first.
    ///
    /// If the row still named the old version, each later request would select a version anew, and
    /// the caller would get responses from different versions.
    pub async fn replace(
        &self,
        account: &account::Id,
        session: &session::Id,
        from: &version::Id,
        to: &version::Id,
    ) -> Result<version::Id, Refusal> {
        let row_key = row_key(account, session);
        let row = self.row(&row_key).await?;
        if row.value != from.as_str() {
            return Ok(self.add_to_cache(row_key, &row.value));
        }
        let value = Bytes::copy_from_slice(to.as_str().as_bytes());
        match self.table.replace(TABLE, &row_key, &row.tag, value.clone()).await {
            Ok(Write::Done(_)) => Ok(self.add_to_cache(row_key, &value)),
            Ok(Write::Conflict) | Err(Error::Lost(_)) => {
                let row = self.row(&row_key).await?;
                Ok(self.add_to_cache(row_key, &row.value))
            }
            Err(e) => Err(lookup_failed(&e)),
        }
    }

    async fn row(&self, row_key: &str) -> Result<Row, Refusal> {
        let row = self.table.get(TABLE, row_key).await.map_err(|e| lookup_failed(&e))?;
        row.ok_or_else(|| lookup_failed(&Error::Lost("no row".to_owned())))
    }

    fn add_to_cache(&self, row_key: String, value: &[u8]) -> version::Id {
        let version = version::Id::new(String::from_utf8_lossy(value));
        let mut cache = self.cache.lock();
        if MAX_CACHED_PINS <= cache.len() {
            // No pin is lost: all of them are stored in the platform's table.
            cache.clear();
        }
        cache.insert(row_key, version.clone());
        version
    }
}

fn from_token(
    metadata: &Metadata,
    token: &str,
    keys: &[Key],
    now_millis: u64,
) -> Result<Pin, Refusal> {
    let refused = |reason: &str| Refusal::not_run(Reason::BadToken, reason);
    let claims = token::verify(token, keys, now_millis).map_err(|e| refused(&e.to_string()))?;
    if claims.account != metadata.account {
        return Err(refused("the session token belongs to another account"));
    }
    match &metadata.session {
        Some(session) if *session != claims.session => {
            Err(refused("the session token belongs to another session"))
        }
        _ => Ok(Pin::Pinned(claims.session, claims.version)),
    }
}

fn row_key(account: &account::Id, session: &session::Id) -> String {
    claim::key(account, "session", session.as_str())
}

fn lookup_failed(e: &Error) -> Refusal {
    let message = format!(
        "the session's version can't be looked up: {e}; send the session token, or start a \
         session with the id \"new\""
    );
    Refusal::not_run(Reason::PlatformDown, message).with_retry_after(OUTAGE_RETRY_AFTER)
}
