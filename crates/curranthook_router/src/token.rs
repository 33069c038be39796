//! Session tokens: pins that any node can verify by itself.
//!
//! A token is `claims.signature`, both in base64. The claims are JSON with the session, its account
//! and version, the time of signing and the id of the signing key; the signature is HMAC-SHA256
//! over the claims.

use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD};
use curranthook_settings::config::Key;
use curranthook_types::{account, session, version};
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// How long a token is valid after it was signed, in milliseconds.
pub const LIFETIME_MILLIS: u64 = 24 * 60 * 60 * 1_000;

/// The claims in a token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    /// The session.
    pub session: session::Id,
    /// The account that the session belongs to.
    pub account: account::Id,
    /// The version that the session is pinned to.
    pub version: version::Id,
    /// When the token was signed, in milliseconds since the Unix epoch.
    pub signed_millis: u64,
    /// The id of the key that signed the token.
    pub key: String,
}

/// Why a token is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The token does not have the form `claims.signature`.
    #[error("the session token can't be read")]
    Unreadable,
    /// Signed with an unknown key, or modified after signing.
    #[error("the session token's signature is wrong")]
    Forged,
    /// The token has expired.
    #[error("the session token expired")]
    Expired,
}

/// Signs `claims` with `key`, whose id the claims must name.
///
/// # Panics
///
/// Never: HMAC takes keys of any length, and claims have only plain fields.
pub fn sign(claims: &Claims, key: &Key) -> String {
    let json = serde_json::to_vec(claims).expect("claims have only plain fields");
    let claims = URL_SAFE_NO_PAD.encode(json);
    let signature = URL_SAFE_NO_PAD.encode(mac(&claims, key).finalize().into_bytes());
    format!("{claims}.{signature}")
}

/// Verifies `token` against `keys` and returns its claims.
pub fn verify(token: &str, keys: &[Key], now_millis: u64) -> Result<Claims, Error> {
    let (encoded_claims, signature) = token.split_once('.').ok_or(Error::Unreadable)?;
    let json = URL_SAFE_NO_PAD.decode(encoded_claims).map_err(|_| Error::Unreadable)?;
    let signature = URL_SAFE_NO_PAD.decode(signature).map_err(|_| Error::Unreadable)?;
    let claims: Claims = serde_json::from_slice(&json).map_err(|_| Error::Unreadable)?;
    let key = keys.iter().find(|it| it.id == claims.key).ok_or(Error::Forged)?;
    mac(encoded_claims, key).verify_slice(&signature).map_err(|_| Error::Forged)?;
    if claims.signed_millis + LIFETIME_MILLIS < now_millis {
        return Err(Error::Expired);
    }
    Ok(claims)
}

fn mac(encoded_claims: &str, key: &Key) -> Hmac<Sha256> {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(&key.secret).expect("HMAC accepts keys of any length");
    mac.update(encoded_claims.as_bytes());
    mac
}
