//! One epoch of the configuration, indexed for serving.

use std::{collections::HashMap, sync::Arc};

use curranthook_settings::{Config, Document, config};
use curranthook_types::{account, endpoint, site, version};
use subtle::ConstantTimeEq;

/// SHA-256 of an API key.
type KeyHash = [u8; 32];

/// One epoch, as this site sees it. A request holds the snapshot that it was admitted under for
/// its account's settings, and takes the newest one whenever it is about to send something.
#[derive(Debug)]
pub struct Snapshot {
    /// The whole published document.
    pub document: Arc<Document>,
    site: site::Id,
    accounts_by_key_hash: HashMap<KeyHash, account::Id>,
}

impl Snapshot {
    /// Indexes `document` for `site`; `None` if the document doesn't name the site.
    pub fn new(document: Arc<Document>, site: &site::Id) -> Option<Self> {
        let config = document.sites.get(site)?;
        let accounts_by_key_hash = config
            .accounts
            .iter()
            .flat_map(|(id, account)| account.key_hashes.iter().map(move |it| (*it, id.clone())))
            .collect();
        Some(Self { site: site.clone(), accounts_by_key_hash, document })
    }

    /// This site's configuration.
    pub fn config(&self) -> &Config {
        &self.document.sites[&self.site]
    }

    /// The account whose key has this hash.
    ///
    /// What the map's lookup takes depends on the hash alone, and a caller can't steer the hash
    /// of a guess towards that of a real key. The last comparison is in constant time all the
    /// same, so that nothing rests on the map's inner workings.
    pub fn account_by_key_hash(&self, hash: &KeyHash) -> Option<&account::Id> {
        let (known, id) = self.accounts_by_key_hash.get_key_value(hash)?;
        bool::from(known.ct_eq(hash)).then_some(id)
    }

    /// The settings of an account.
    pub fn account_settings(&self, id: &account::Id) -> Option<&config::Account> {
        self.config().accounts.get(id)
    }

    /// Whether `version` may get new work from `account` now.
    pub fn allows(&self, account: &account::Id, version: &version::Id) -> bool {
        let settings = self.account_settings(account);
        settings.is_some_and(|it| it.versions.contains(version))
            && !self.document.withdrawn.contains(version)
    }

    /// Whether `endpoint` may get new work now.
    pub fn is_in_service(&self, endpoint: &endpoint::Id) -> bool {
        self.config().endpoints.contains_key(endpoint) && !self.document.drained.contains(endpoint)
    }
}
