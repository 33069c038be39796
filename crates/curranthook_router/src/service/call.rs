//! What is asked of a plain service.

use bytes::Bytes;
use curranthook_types::{Refusal, refusal::Reason};
use http::{Method, header::CONTENT_TYPE};
use sha2::{Digest, Sha256};

use super::PREFIX;
use crate::parse::Metadata;

/// A call to a plain service.
#[derive(Debug, Clone)]
pub struct Call {
    /// What every request has.
    pub metadata: Metadata,
    /// The service.
    pub service: String,
    /// The method.
    pub method: Method,
    /// Path and query, as the service sees them.
    pub path: String,
    /// The body's type.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
}

impl Call {
    /// Reads a call from the parts of a request.
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

    /// Tells a repeat of this call from another call under the same key.
    pub(super) fn digest(&self) -> [u8; 32] {
        let mut hash = Sha256::new();
        for part in [self.method.as_str().as_bytes(), self.path.as_bytes(), &self.body] {
            hash.update(part.len().to_be_bytes());
            hash.update(part);
        }
        hash.finalize().into()
    }

    /// Tells whether endpoints died under this call before. The body alone wouldn't do: all
    /// calls without one would look the same.
    pub(super) fn fingerprint(&self) -> [u8; 16] {
        let mut hash = Sha256::new();
        hash.update(self.digest());
        hash.update(&self.service);
        let mut fingerprint = [0; 16];
        fingerprint.copy_from_slice(&hash.finalize()[..16]);
        fingerprint
    }
}
