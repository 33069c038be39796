//! Generates synthetic configurations of a given size.

use std::{collections::BTreeMap, net::SocketAddr};

use curranthook_settings::{Config, Document, config};
use curranthook_types::{Epoch, price};
use sha2::{Digest as _, Sha256};

/// Model versions in use, assigned to the endpoints round-robin.
pub const VERSIONS: [&str; 7] =
    ["draft@1", "draft@2", "tally@1", "tally@2", "tally@3", "large@1", "large@2"];
/// Prefix of each API key; the account's name follows it.
const KEY_PREFIX: &str = "key-";
/// Secret that signs session tokens; a fixed value, as measurements protect no data.
const SESSION_SECRET: [u8; 32] = [7; 32];

/// Dimensions of a generated configuration.
#[derive(Debug, Clone, Copy)]
pub struct Shape {
    /// Number of sites; endpoints are distributed over them.
    pub n_sites: usize,
    /// Number of failure domains, distributed over the sites.
    pub n_domains: usize,
    /// Total number of endpoints over all sites.
    pub n_endpoints: usize,
    /// Number of client accounts per site.
    pub n_accounts: usize,
    /// Address of every endpoint.
    pub address: SocketAddr,
}

impl Shape {
    /// Generates the document of epoch 1.
    pub fn document(&self) -> Document {
        let site = |n: usize| (site_name(n).as_str().into(), self.config(n));
        Document {
            epoch: Epoch(1),
            by: "curranthook-capacity".to_owned(),
            sites: (0..self.n_sites).map(site).collect(),
            ..Document::default()
        }
    }

    /// Returns this shape with enough endpoints for a document of about `bytes` bytes.
    pub fn with_document_size(self, bytes: usize) -> Self {
        let mut shape = Self { n_endpoints: 0, ..self };
        while json_size(&shape.document()) < bytes {
            shape.n_endpoints += 1 + shape.n_endpoints / 8;
        }
        shape
    }

    fn config(&self, site: usize) -> Config {
        let versions = VERSIONS.iter().map(|&it| (it.into(), version())).collect();
        let site_endpoints =
            (0..self.n_endpoints).filter(|it| self.domain_of(*it) % self.n_sites == site);
        let endpoint = |n: usize| (format!("worker-{n:05}").as_str().into(), self.endpoint(n));
        let account = |n: usize| {
            let name = format!("account-{n}");
            (name.as_str().into(), account(&name))
        };
        Config {
            site: site_name(site).as_str().into(),
            versions,
            services: BTreeMap::new(),
            endpoints: site_endpoints.map(endpoint).collect(),
            accounts: (0..self.n_accounts).map(account).collect(),
            kinds: [("summary".into(), config::Kind { quality: 0.9, priority: 0 })].into(),
            policy: config::Policy { rating_sample: 0.0, ..config::Policy::default() },
            rater: None,
            session_keys: vec![config::Key { id: "1".to_owned(), secret: SESSION_SECRET.into() }],
        }
    }

    fn domain_of(&self, n: usize) -> usize {
        n % self.n_domains
    }

    fn endpoint(&self, n: usize) -> config::Endpoint {
        /// Large enough that the number of slots never limits the load.
        const SLOTS: usize = 100_000;
        config::Endpoint {
            // In most measurements nothing listens at this address; a router does not connect to an
            // endpoint that no request is routed to.
            address: self.address,
            failure_domain: domain_name(self.domain_of(n)).as_str().into(),
            versions: [VERSIONS[(n / self.n_domains) % VERSIONS.len()].into()].into(),
            service: None,
            checks_fencing: true,
            slots: SLOTS,
        }
    }
}

/// Returns the document of the next epoch with one small change, as is typical of changes.
pub fn next_epoch(document: &Document) -> Document {
    let mut changed = document.clone();
    changed.epoch = Epoch(document.epoch.0 + 1);
    changed.publication = format!("publication-{}", changed.epoch);
    let endpoints = changed.sites.values_mut().flat_map(|it| it.endpoints.values_mut());
    if let Some(endpoint) = endpoints.into_iter().next() {
        endpoint.slots += 1;
    }
    changed
}

/// Size of the published JSON document in bytes.
pub fn json_size(document: &Document) -> usize {
    serde_json::to_vec(document).expect("a document can be written as JSON").len()
}

/// The API key of an account.
pub fn api_key(account: &str) -> String {
    format!("{KEY_PREFIX}{account}")
}

/// The name of the `n`th site.
pub fn site_name(n: usize) -> String {
    format!("site-{n}")
}

/// The name of the `n`th failure domain.
pub fn domain_name(n: usize) -> String {
    format!("domain-{n}")
}

fn version() -> config::Version {
    const PRICE: price::Micros = price::Micros(1);
    config::Version {
        price: price::Rate { prompt: PRICE, completion: PRICE },
        quality: [("summary".into(), 0.95)].into(),
    }
}

fn account(name: &str) -> config::Account {
    const EFFECTIVELY_UNLIMITED: f64 = 1_000_000.0;
    config::Account {
        key_hashes: vec![Sha256::digest(api_key(name)).into()],
        versions: VERSIONS.iter().map(|&it| it.into()).collect(),
        limit: config::Limit {
            requests: EFFECTIVELY_UNLIMITED,
            burst: EFFECTIVELY_UNLIMITED,
            weight: 1.0,
        },
        ..config::Account::default()
    }
}
