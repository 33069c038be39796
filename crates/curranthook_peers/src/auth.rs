//! Authentication of calls: a MAC over the time and the body, with a key that all nodes share.

use std::time::Duration;

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// The largest difference between the time of a call and the receiver's clock, in either direction.
/// Replaying a recorded call within it does no harm, as all methods merge idempotently.
pub const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_secs(30);
/// Length of a MAC in bytes. HMAC-SHA256 is truncated to 128 bits (RFC 4868) because every byte
/// counts against the budget of control traffic.
const MAC_BYTES: usize = 16;

/// Why a call is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The MAC is missing, unreadable or wrong.
    #[error("the MAC is missing or wrong")]
    Mac,
    /// The call was signed too long ago, or by a clock that is far ahead.
    #[error("the call was not signed within {MAX_CLOCK_DIFFERENCE:?} of now")]
    Time,
}

/// The shared key, which signs and verifies calls.
#[derive(Clone)]
pub struct Key(Vec<u8>);

impl std::fmt::Debug for Key {
    // The key must not appear in logs.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key")
    }
}

impl Key {
    /// Creates a key from the shared secret.
    pub fn new(secret: &[u8]) -> Self {
        Self(secret.to_vec())
    }

    /// The MAC over `context` and `body`, in hexadecimal. The context of a call is its time; that
    /// of an answer is the MAC of its call, which binds the answer to one call.
    ///
    /// ```
    /// # use curranthook_peers::auth::Key;
    /// let key = Key::new(b"secret");
    /// let mac = key.sign("1700000000000", b"{}");
    /// assert!(key.verify("1700000000000", b"{}", &mac).is_ok());
    /// assert!(key.verify("1700000000001", b"{}", &mac).is_err());
    /// ```
    pub fn sign(&self, context: &str, body: &[u8]) -> String {
        let tag = self.mac(context, body).finalize().into_bytes();
        hex::encode(&tag[..MAC_BYTES])
    }

    /// Verifies in constant time, so that an attacker learns nothing from the time it takes.
    pub fn verify(&self, context: &str, body: &[u8], mac: &str) -> Result<(), Error> {
        let tag = hex::decode(mac).map_err(|_| Error::Mac)?;
        if tag.len() != MAC_BYTES {
            return Err(Error::Mac);
        }
        self.mac(context, body).verify_truncated_left(&tag).map_err(|_| Error::Mac)
    }

    /// Checks the time of a call, then its MAC.
    pub fn verify_call(
        &self,
        time: &str,
        body: &[u8],
        mac: &str,
        now_millis: u64,
    ) -> Result<(), Error> {
        let signed: u64 = time.parse().map_err(|_| Error::Time)?;
        if MAX_CLOCK_DIFFERENCE < Duration::from_millis(now_millis.abs_diff(signed)) {
            return Err(Error::Time);
        }
        self.verify(time, body, mac)
    }

    fn mac(&self, context: &str, body: &[u8]) -> Hmac<Sha256> {
        let mac = Hmac::<Sha256>::new_from_slice(&self.0);
        let mut mac = mac.expect("HMAC takes a key of any length");
        mac.update(context.as_bytes());
        mac.update(b"\n");
        mac.update(body);
        mac
    }
}
