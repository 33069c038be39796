//! `curranthook accounts`

use std::io::Read;

use curranthook_settings::config::{Account, Limit};
use curranthook_types::{account, site, version};
use serde::Serialize;
use sha2::{Digest, Sha256};

use crate::{
    Context, Error,
    output::{Show, join, table},
    store,
};

/// The published client accounts.
#[derive(Debug, Serialize)]
pub struct List {
    /// Ordered by site and name.
    pub accounts: Vec<Entry>,
}

/// A client account. Its key hashes stay out of terminals and logs.
#[derive(Debug, Serialize)]
pub struct Entry {
    /// The site.
    pub site: site::Id,
    /// The account.
    pub account: account::Id,
    /// The versions it may use.
    pub versions: Vec<version::Id>,
    /// The plain services it may use.
    pub services: Vec<String>,
    /// How many keys it has.
    pub n_keys: usize,
    /// How much it may ask for.
    pub limit: Limit,
}

/// The hash of a key.
#[derive(Debug, Serialize)]
pub struct Hash {
    /// SHA-256 in hexadecimal, for an account's `key_hashes`.
    pub key_hash: String,
}

/// Lists the published accounts.
///
/// ```
/// # use curranthook_cli::{Context, Error, command::accounts};
/// # use curranthook_types::clock;
/// let ctx = Context::new(std::sync::Arc::new(clock::System), "lan");
/// let result = async_io::block_on(accounts::list(&ctx));
/// assert!(matches!(result, Err(Error::NoPlatform)));
/// ```
pub async fn list(ctx: &Context) -> Result<List, Error> {
    let document = store::read(ctx.table()?).await?.ok_or(Error::NotPublished)?.document;
    let sites = document.sites.values();
    let accounts = sites.flat_map(|config| {
        config.accounts.iter().map(|(account, it)| entry(&config.site, account, it))
    });
    Ok(List { accounts: accounts.collect() })
}

fn entry(site: &site::Id, account: &account::Id, it: &Account) -> Entry {
    Entry {
        site: site.clone(),
        account: account.clone(),
        versions: it.versions.iter().cloned().collect(),
        services: it.services.iter().cloned().collect(),
        n_keys: it.key_hashes.len(),
        limit: it.limit.clone(),
    }
}

/// Hashes the key that stands on `input`. The end of the line isn't part of the key.
///
/// ```
/// # use curranthook_cli::command::accounts;
/// let hash = accounts::hash_key(&mut "abc\n".as_bytes()).unwrap();
/// assert!(hash.key_hash.starts_with("ba7816bf"));
/// ```
pub fn hash_key(input: &mut dyn Read) -> Result<Hash, Error> {
    let mut key = String::new();
    input.read_to_string(&mut key)?;
    let key = key.trim_end_matches(['\r', '\n']);
    if key.is_empty() {
        return Err(Error::NoKey);
    }
    Ok(Hash { key_hash: hex::encode(Sha256::digest(key)) })
}

impl Show for List {
    fn show(&self) -> String {
        let row = |it: &Entry| {
            [
                it.site.to_string(),
                it.account.to_string(),
                join(&it.versions),
                join(&it.services),
                it.n_keys.to_string(),
                format!("{}/s", it.limit.requests),
                it.limit.weight.to_string(),
            ]
        };
        let heading = ["SITE", "ACCOUNT", "VERSIONS", "SERVICES", "KEYS", "LIMIT", "WEIGHT"];
        table(heading, self.accounts.iter().map(row))
    }
}

impl Show for Hash {
    fn show(&self) -> String {
        self.key_hash.clone()
    }
}
