//! Applies new configurations.

use std::sync::Arc;

use curranthook_types::Epoch;

use crate::{Router, snapshot::Snapshot};

/// Applies each newer configuration document for as long as the process runs.
pub async fn run(router: Arc<Router>) {
    let mut epoch = Epoch::default();
    loop {
        let document = router.node.next_document(epoch).await;
        epoch = document.epoch;
        match Snapshot::new(document, &router.settings.site) {
            Some(snapshot) => apply(&router, snapshot),
            // The document was published without this site. Continuing with the last one that
            // contained the site would restore what the operators have removed, so the node stops
            // serving.
            None => {
                log::warn!("configuration epoch {epoch} does not contain this site; not serving");
                router.current_snapshot.store(None);
            }
        }
    }
}

fn apply(router: &Router, snapshot: Snapshot) {
    let epoch = snapshot.document.epoch;
    let policy = &snapshot.config().policy;
    router.version_strategy.lock().set_policy(policy.clone());
    router.retry_budget.lock().set_fraction(policy.retry_budget);
    router.dispatchers.update(&snapshot);
    router.current_snapshot.store(Some(Arc::new(snapshot)));
    log::info!("configuration epoch {epoch} applied");
}
