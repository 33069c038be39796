//! One epoch of the configuration, indexed for serving.

use std::{collections::HashMap, sync::Arc};

use curranthook_settings::{Config, Document, config};
use curranthook_types::{account, endpoint, site, version};
use subtle::ConstantTimeEq;

/// SHA-256 of an API key.
type KeyHash = [u8; 32];

/// One epoch of the configuration, as it applies to this site. A request reads its account's
/// settings from the snapshot that was current when it was accepted; before anything is sent to an
/// endpoint, permissions are checked against the newest one.
#[derive(Debug)]
pub struct Snapshot {
    /// The whole published configuration document.
    pub document: Arc<Document>,
    site: site::Id,
    accounts_by_key_hash: HashMap<KeyHash, account::Id>,
}

impl Snapshot {
    /// Indexes `document` for `site`; `None` if the document does not contain the site.
    pub fn new(document: Arc<Document>, site: &site::Id) -> Option<Self> {
        let config = document.sites.get(site)?;
        let accounts_by_key_hash = config
            .accounts
            .iter()
            .flat_map(|(id, account)| account.key_hashes.iter().map(move |it| (*it, id.clone())))
            .collect();
        Some(Self { site: site.clone(), accounts_by_key_hash, document })
    }

    /// The configuration of this site.
    pub fn config(&self) -> &Config {
        &self.document.sites[&self.site]
    }

    /// The account whose API key has this hash.
    ///
    /// The time of the map lookup depends only on the hash, and a caller cannot steer the hash of a
    /// guessed key towards that of a real one. The final comparison is in constant time
    /// nevertheless, so that security does not depend on how the map works internally.
    pub fn account_by_key_hash(&self, hash: &KeyHash) -> Option<&account::Id> {
        let (stored_hash, id) = self.accounts_by_key_hash.get_key_value(hash)?;
        bool::from(stored_hash.ct_eq(hash)).then_some(id)
    }

    /// The settings of an account.
    pub fn account_settings(&self, id: &account::Id) -> Option<&config::Account> {
        self.config().accounts.get(id)
    }

    /// Whether requests from `account` may be sent to `version` now.
    pub fn allows(&self, account: &account::Id, version: &version::Id) -> bool {
        let settings = self.account_settings(account);
        settings.is_some_and(|it| it.versions.contains(version))
            && !self.document.withdrawn.contains(version)
    }

    /// Whether new requests may be sent to `endpoint` now.
    pub fn is_in_service(&self, endpoint: &endpoint::Id) -> bool {
        self.config().endpoints.contains_key(endpoint) && !self.document.drained.contains(endpoint)
    }
}
