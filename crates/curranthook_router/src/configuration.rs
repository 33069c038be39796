//! Keeps the router on the newest configuration.

use std::sync::Arc;

use curranthook_types::Epoch;

use crate::{Router, snapshot::Snapshot};

/// Takes over each newer document, for as long as the process lives.
pub async fn run(router: Arc<Router>) {
    let mut epoch = Epoch::default();
    loop {
        let document = router.node.next_document(epoch).await;
        epoch = document.epoch;
        match Snapshot::new(document, &router.settings.site) {
            Some(snapshot) => apply(&router, snapshot),
            // Published without our site: going on with the last one that named it would bring
            // back what the operators have taken away, so the node stops serving.
            None => {
                log::warn!("epoch {epoch} doesn't name this site");
                router.current_snapshot.store(None);
            }
        }
    }
}

fn apply(router: &Router, snapshot: Snapshot) {
    let epoch = snapshot.document.epoch;
    let policy = &snapshot.config().policy;
    router.chooser.lock().set_policy(policy.clone());
    router.retry_budget.lock().set_fraction(policy.retry_budget);
    router.dispatchers.update(&snapshot);
    router.current_snapshot.store(Some(Arc::new(snapshot)));
    log::info!("epoch {epoch} is in force");
}
