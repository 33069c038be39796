//! The configuration that tests start from.

use std::collections::{BTreeMap, BTreeSet};

use curranthook_settings::{
    Config,
    config::{Account, Key, Kind, Version},
};
use curranthook_types::{
    domain,
    price::{Micros, Rate},
};
use sha2::{Digest, Sha256};

use super::NAME;
use crate::call;

/// The secret between peers.
pub(super) const PEER_KEY: [u8; 32] = [7; 32];
/// The secret that signs session tokens.
const SESSION_KEY: [u8; 32] = [9; 32];
/// How many failure domains a site has.
const N_DOMAINS: usize = 3;

/// An empty configuration with a kind of work and a key for session tokens.
pub(super) fn empty() -> Config {
    let summary = Kind { quality: 0.5, priority: 0 };
    Config {
        site: NAME.into(),
        versions: BTreeMap::new(),
        services: BTreeMap::new(),
        endpoints: BTreeMap::new(),
        accounts: BTreeMap::new(),
        kinds: BTreeMap::from([("summary".into(), summary)]),
        policy: curranthook_settings::config::Policy::default(),
        rater: None,
        session_keys: vec![Key { id: "k1".to_owned(), secret: SESSION_KEY.to_vec() }],
    }
}

/// A version at a middling price.
pub(super) fn version() -> Version {
    let price = Rate { prompt: Micros(100), completion: Micros(400) };
    Version { price, quality: BTreeMap::new() }
}

/// An account that may use whatever `config` holds by now.
pub(super) fn account(name: &str, config: &Config) -> Account {
    Account {
        key_hashes: vec![Sha256::digest(call::key(name)).into()],
        versions: config.versions.keys().cloned().collect(),
        services: config.services.keys().cloned().collect::<BTreeSet<_>>(),
        ..Account::default()
    }
}

/// The failure domain of a process, told by the number at the end of its name.
pub(super) fn failure_domain(name: &str) -> domain::Id {
    let digits = name.trim_start_matches(|c: char| !c.is_ascii_digit());
    let n: usize = digits.parse().unwrap_or_default();
    domain::Id::new(format!("domain-{}", n % N_DOMAINS))
}
