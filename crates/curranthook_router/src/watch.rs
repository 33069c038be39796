//! Looks for versions that turned bad.
//!
//! Each node tests the evidence it knows of, its own and what other nodes have told. A suspect
//! gets no new requests from this node at once, and the other nodes hear of it; withdrawing it
//! for good is the steward's and the operators' business.

use std::{collections::HashMap, sync::Arc, time::Duration};

use async_io::Timer;
use curranthook_peers::evidence::Subject;
use curranthook_policy::{
    choice,
    verdict::{Config, Reference, State, Test},
};
use curranthook_types::version;

use crate::Router;

/// How often the evidence is looked at.
const PERIOD: Duration = Duration::from_millis(250);
/// From this urgency on, evidence isn't held until the next round of exchanges.
const URGENT: f64 = 1.0;

/// Tests all versions, for as long as the process lives.
pub async fn run(router: Arc<Router>) {
    let mut tests: HashMap<version::Id, Test> = HashMap::new();
    loop {
        Timer::after(PERIOD).await;
        share(&router);
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
            // The policy's own samples come on top, so only what goes beyond them counts here.
            router.sampling.lock().insert(id.clone(), test.sampling_rate(0.0));
            if let State::Suspect(reason) = test.state()
                && !router.node.suspects().contains(id)
                && !snapshot.document.withdrawn.contains(id)
            {
                log::warn!("{id} is suspect: {}", reason.name());
                router.metrics.count(&format!("suspect.{}", reason.name()));
                router.node.suspects().declare(id);
                urgency = 1.0;
            }
        }
        if URGENT <= urgency {
            hurry(&router);
        }
    }
}

/// Meets a peer between two rounds. No node sees enough answers of a bad version by itself, and
/// while each waits for its round, all of them go on giving out what it answers.
fn hurry(router: &Arc<Router>) {
    let node = Arc::clone(&router.node);
    router.ex.spawn(async move { node.exchange().await }).detach();
}

/// Lets the choice of versions profit from what other nodes have seen.
fn share(router: &Router) {
    let mut chooser = router.chooser.lock();
    for (Subject { version, kind }, counts) in router.node.evidence().of_others() {
        let ratings = choice::Counts { n: counts.n, sum: counts.sum };
        chooser.merge(&kind, &version, ratings);
    }
}
