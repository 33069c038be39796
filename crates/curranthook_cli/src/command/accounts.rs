//! The `curranthook accounts` subcommand.

use std::io::Read;

use curranthook_settings::config::{Account, Limit};
use curranthook_types::{account, site, version};
use serde::Serialize;
use sha2::{Digest, Sha256};

use crate::{
    Context, Error,
    output::{Render, comma_separated, table},
    store,
};

/// The published client accounts.
#[derive(Debug, Serialize)]
pub struct List {
    /// The accounts, sorted by site and account id.
    pub accounts: Vec<Entry>,
}

/// A client account, without its key hashes, so that they do not reach terminals and logs.
#[derive(Debug, Serialize)]
pub struct Entry {
    /// The site that serves the account.
    pub site: site::Id,
    /// The account's id.
    pub account: account::Id,
    /// The versions that the account may use.
    pub versions: Vec<version::Id>,
    /// Names of the services under `/services/` that the account may use.
    pub services: Vec<String>,
    /// Number of API keys with which the account can authenticate.
    pub n_keys: usize,
    /// The account's rate limit and its weight.
    pub limit: Limit,
}

/// The hash of a key.
#[derive(Debug, Serialize)]
pub struct Hash {
    /// The SHA-256 hash in hexadecimal, for an account's `key_hashes`.
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
        config.accounts.iter().map(|(id, account)| to_entry(&config.site, id, account))
    });
    Ok(List { accounts: accounts.collect() })
}

fn to_entry(site: &site::Id, id: &account::Id, account: &Account) -> Entry {
    Entry {
        site: site.clone(),
        account: id.clone(),
        versions: account.versions.iter().cloned().collect(),
        services: account.services.iter().cloned().collect(),
        n_keys: account.key_hashes.len(),
        limit: account.limit.clone(),
    }
}

/// Hashes the key read from `input`. A trailing line break is not part of the key.
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

impl Render for List {
    fn render(&self) -> String {
        let row = |it: &Entry| {
            [
                it.site.to_string(),
                it.account.to_string(),
                comma_separated(&it.versions),
                comma_separated(&it.services),
                it.n_keys.to_string(),
                format!("{}/s", it.limit.requests),
                it.limit.weight.to_string(),
            ]
        };
        let header = ["SITE", "ACCOUNT", "VERSIONS", "SERVICES", "KEYS", "LIMIT", "WEIGHT"];
        table(header, self.accounts.iter().map(row))
    }
}

impl Render for Hash {
    fn render(&self) -> String {
        self.key_hash.clone()
    }
}
