//! A call to a plain service, and its hashes.

use bytes::Bytes;
use curranthook_types::{Refusal, refusal::Reason};
use http::{Method, header::CONTENT_TYPE};
use sha2::{Digest, Sha256};

use super::PREFIX;
use crate::parse::Metadata;

/// A call to a plain service.
#[derive(Debug, Clone)]
pub struct Call {
    /// The metadata that every request has.
    pub metadata: Metadata,
    /// The name of the service.
    pub service: String,
    /// The HTTP method.
    pub method: Method,
    /// The path and query that are sent to the service.
    pub path: String,
    /// The content type of the body.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
}

impl Call {
    /// Parses a call from the parts of a request.
    pub fn new(
        parts: &http::request::Parts,
        metadata: Metadata,
        body: Bytes,
    ) -> Result<Self, Refusal> {
        let not_found = || Refusal::not_run(Reason::NotFound, "no such path");
        let path = parts.uri.path_and_query().map_or("/", |it| it.as_str());
        let rest = path.strip_prefix(PREFIX).ok_or_else(not_found)?;
        let end = rest.find(['/', '?']).unwrap_or(rest.len());
        let (service, path) = rest.split_at(end);
        let path = if path.starts_with('/') { path.to_owned() } else { format!("/{path}") };
        let content_type = parts.headers.get(CONTENT_TYPE).and_then(|it| it.to_str().ok());
        Ok(Self {
            metadata,
            service: service.to_owned(),
            method: parts.method.clone(),
            path,
            content_type: content_type.map(str::to_owned),
            body,
        })
    }

    /// A hash that tells a repeat of this call from another call with the same idempotency key.
    pub(super) fn digest(&self) -> [u8; 32] {
        let mut hash = Sha256::new();
        for part in [self.method.as_str().as_bytes(), self.path.as_bytes(), &self.body] {
            hash.update(part.len().to_be_bytes());
            hash.update(part);
        }
        hash.finalize().into()
    }

    /// Identifies this call in the records of endpoint deaths. A hash of the body alone would not
    /// do: all calls without a body would have the same one.
    pub(super) fn fingerprint(&self) -> [u8; 16] {
        let mut hash = Sha256::new();
        hash.update(self.digest());
        hash.update(&self.service);
        let mut fingerprint = [0; 16];
        fingerprint.copy_from_slice(&hash.finalize()[..16]);
        fingerprint
    }
}
