//! Identifies the client account by its API key.

use curranthook_types::{Refusal, account, refusal::Reason};
use http::{HeaderMap, header};
use sha2::{Digest, Sha256};

use crate::snapshot::Snapshot;

/// Finds the account whose API key is in the header `Authorization: Bearer <key>`.
pub fn run(snapshot: &Snapshot, headers: &HeaderMap) -> Result<account::Id, Refusal> {
    let refused = || Refusal::not_run(Reason::Unauthenticated, "no API key of a client account");
    let value = headers.get(header::AUTHORIZATION).and_then(|it| it.to_str().ok());
    let key = value.and_then(|it| it.strip_prefix("Bearer ")).ok_or_else(refused)?;
    let hash: [u8; 32] = Sha256::digest(key.as_bytes()).into();
    snapshot.account_by_key_hash(&hash).cloned().ok_or_else(refused)
}
