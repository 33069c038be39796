//! Detects versions that produce bad responses.
//!
//! Each node tests the evidence that it has, its own and that received from other nodes. It
//! immediately stops sending new requests to a suspect version, and the peer exchange spreads the
//! suspicion to the other nodes. Withdrawing the version permanently is up to the steward and the
//! operators.

use std::{collections::HashMap, sync::Arc, time::Duration};

use async_io::Timer;
use curranthook_peers::evidence::Subject;
use curranthook_policy::{
    choice,
    verdict::{Config, Reference, State, Test},
};
use curranthook_types::version;

use crate::Router;

/// How often the evidence is tested.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The [`Test::urgency`], from 0 to 1, at which evidence is exchanged immediately, without waiting
/// for the next periodic exchange.
const EXCHANGE_URGENCY_THRESHOLD: f64 = 1.0;

/// Tests all versions for as long as the process runs.
pub async fn run(router: Arc<Router>) {
    let mut tests: HashMap<version::Id, Test> = HashMap::new();
    loop {
        Timer::after(CHECK_INTERVAL).await;
        merge_peer_ratings(&router);
        let Ok(snapshot) = router.snapshot() else { continue };
        let mut urgency: f64 = 0.0;
        for id in snapshot.config().versions.keys() {
            let test = tests
                .entry(id.clone())
                .or_insert_with(|| Test::new(Config::default(), Reference::Own));
            for (origin, counts) in router.node.evidence().by_origin(id) {
                test.merge_counts(&origin, counts);
            }
            urgency = urgency.max(test.urgency());
            // The version strategy samples responses itself, so only the additional share is
            // stored.
            router.rating_shares.lock().insert(id.clone(), test.sampling_rate(0.0));
            if let State::Suspect(reason) = test.state()
                && !router.node.suspects().contains(id)
                && !snapshot.document.withdrawn.contains(id)
            {
                log::warn!("version {id} is suspect: {}", reason.name());
                router.metrics.count(&format!("suspect.{}", reason.name()));
                router.node.suspects().declare(id);
                urgency = 1.0;
            }
        }
        if EXCHANGE_URGENCY_THRESHOLD <= urgency {
            exchange_now(&router);
        }
    }
}

/// Exchanges evidence with a peer between two periodic exchanges. No node receives enough responses
/// of a bad version by itself, and while the nodes wait for the next exchange, they all keep
/// serving its responses.
fn exchange_now(router: &Arc<Router>) {
    let node = Arc::clone(&router.node);
    router.ex.spawn(async move { node.exchange().await }).detach();
}

/// Passes the ratings from other nodes to the strategy that selects versions.
fn merge_peer_ratings(router: &Router) {
    let mut version_strategy = router.version_strategy.lock();
    for (Subject { version, kind }, counts) in router.node.evidence().peer_totals() {
        let ratings = choice::Counts { n: counts.n, sum: counts.sum };
        version_strategy.merge(&kind, &version, ratings);
    }
}
