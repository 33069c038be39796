//! Tests of owners that answer late or not at all, about endpoints that bear few rejections.

#[path = "support/owner.rs"]
#[allow(dead_code, reason = "each test uses a part")]
mod owner;

use curranthook_gateway::{load::reports, settings::Contention};
use curranthook_http::runtime;
use serde_json::json;

use self::owner::{ask, id, node, owner_socket, query};

/// Guards against taking an owner's silence for an answer, after which nobody is asked again.
#[test]
fn owner_that_does_not_answer_counts_no_requests() {
    runtime::run(1, |ex| async move {
        let (socket, owner) = owner_socket();
        let node = node(&ex, Contention::ByRank, owner).await;
        let unanswered = reports::query(&node, query(vec![id(1), id(2)])).await;
        assert!(unanswered.counted.is_empty(), "{:?}", unanswered.counted);
        let mut answered = ask(&node, &socket, Some(json!({}))).await.counted;
        answered.sort_unstable();
        assert_eq!(answered, [id(1), id(2)]);
    });
}
