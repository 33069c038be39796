//! Builds the initial configuration of a scenario's site.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use curranthook_settings::{Config, Document, config};
use curranthook_types::{Epoch, account, endpoint, kind, version};
use sha2::{Digest as _, Sha256};

use crate::scenario::{Kind, Scenario};

/// Secret that signs session tokens; fixed, as a scenario's site protects no real data.
const SESSION_SECRET: [u8; 32] = [7; 32];

/// Listening addresses of the scenario's endpoints, by ID.
pub type Addresses = BTreeMap<String, SocketAddr>;

/// Builds the configuration document that is published before any process reads it.
pub fn initial(scenario: &Scenario, addrs: &Addresses, rater: Option<SocketAddr>) -> Document {
    let config = Config {
        site: scenario.site.clone(),
        versions: versions(scenario),
        services: services(scenario),
        endpoints: endpoints(scenario, addrs),
        accounts: accounts(scenario),
        kinds: scenario.kinds.iter().map(|(id, it)| (id.clone(), kind(it))).collect(),
        policy: scenario.policy.clone(),
        rater,
        session_keys: vec![config::Key { id: "1".to_owned(), secret: SESSION_SECRET.to_vec() }],
    };
    Document {
        epoch: Epoch(1),
        by: "curranthook-load".to_owned(),
        sites: [(scenario.site.clone(), config)].into(),
        ..Document::default()
    }
}

fn versions(scenario: &Scenario) -> BTreeMap<version::Id, config::Version> {
    let claims = |claimed: Option<f64>| -> BTreeMap<kind::Id, f64> {
        let Some(claimed) = claimed else { return BTreeMap::new() };
        scenario.kinds.keys().map(|kind| (kind.clone(), claimed)).collect()
    };
    let version = |(id, it): (&version::Id, &crate::scenario::Version)| {
        (id.clone(), config::Version { price: it.price, quality: claims(it.claimed) })
    };
    scenario.versions.iter().map(version).collect()
}

fn services(scenario: &Scenario) -> BTreeMap<String, config::Service> {
    let service = |it: &crate::scenario::Service| config::Service {
        repeatable: ["GET".to_owned()].into(),
        price: it.price,
    };
    scenario.services.iter().map(|it| (it.name.clone(), service(it))).collect()
}

fn endpoints(scenario: &Scenario, addrs: &Addresses) -> BTreeMap<endpoint::Id, config::Endpoint> {
    let mut all = BTreeMap::new();
    for engines in &scenario.engines {
        for id in engines.ids() {
            let endpoint = config::Endpoint {
                versions: engines.versions.clone(),
                service: None,
                checks_fencing: true,
                slots: engines.slots,
                ..base_endpoint(scenario, addrs, &id, all.len())
            };
            all.insert(endpoint::Id::new(&id), endpoint);
        }
    }
    for service in &scenario.services {
        for id in service.ids() {
            let endpoint = config::Endpoint {
                service: Some(service.name.clone()),
                ..base_endpoint(scenario, addrs, &id, all.len())
            };
            all.insert(endpoint::Id::new(&id), endpoint);
        }
    }
    all
}

fn base_endpoint(
    scenario: &Scenario,
    addrs: &Addresses,
    id: &str,
    index: usize,
) -> config::Endpoint {
    const SERVICE_SLOTS: usize = 64;
    config::Endpoint {
        address: addrs[id],
        failure_domain: failure_domain(scenario, index),
        versions: BTreeSet::new(),
        service: None,
        checks_fencing: false,
        slots: SERVICE_SLOTS,
    }
}

/// Assigns failure domains round-robin.
pub fn failure_domain(scenario: &Scenario, index: usize) -> curranthook_types::domain::Id {
    scenario.failure_domains[index % scenario.failure_domains.len()].clone()
}

fn accounts(scenario: &Scenario) -> BTreeMap<account::Id, config::Account> {
    let services: BTreeSet<String> = scenario.services.iter().map(|it| it.name.clone()).collect();
    let account = |(id, it): (&account::Id, &crate::scenario::Account)| {
        let account = config::Account {
            key_hashes: vec![Sha256::digest(format!("key-{id}")).into()],
            versions: scenario.allowed(id),
            services: services.clone(),
            quality: BTreeMap::new(),
            limit: it.limit.clone(),
            sessions_may_move: it.sessions_may_move,
        };
        (id.clone(), account)
    };
    scenario.accounts.iter().map(account).collect()
}

fn kind(kind: &Kind) -> config::Kind {
    config::Kind { quality: kind.quality, priority: kind.priority }
}
