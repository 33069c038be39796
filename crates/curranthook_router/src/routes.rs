//! Maps requests to their handlers, and refusals to HTTP responses.

use std::sync::Arc;

use curranthook_http::{Body, body, server};
use curranthook_types::{Refusal, header, refusal::Reason, request};
use futures_lite::future::Boxed;
use http::{Method, Response};
use hyper::body::Incoming;
use serde_json::json;

use crate::{Router, authenticate, chat, parse, response, service, status};

impl server::Handler for Router {
    fn handle(self: Arc<Self>, req: http::Request<Incoming>) -> Boxed<Response<Body>> {
        Box::pin(async move {
            let id = req.headers().get(header::REQUEST_ID).and_then(|it| it.to_str().ok());
            let id = id.map(request::Id::new);
            match route(&self, req).await {
                Ok(res) => res,
                Err(refusal) => {
                    self.metrics.count_refusal(refusal.code);
                    response::from_refusal(&refusal, id.as_ref())
                }
            }
        })
    }
}

async fn route(
    router: &Arc<Router>,
    req: http::Request<Incoming>,
) -> Result<Response<Body>, Refusal> {
    let (parts, incoming) = req.into_parts();
    let path = parts.uri.path();
    match (&parts.method, path) {
        (&Method::GET, "/healthz") => Ok(body::json(200, &json!({"healthy": true}))),
        (&Method::GET, "/readyz") => Ok(status::ready(router)),
        (&Method::GET, "/status") => Ok(status::report(router)),
        (&Method::GET, "/v1/models") => status::models(router, &parts.headers),
        (&Method::POST, "/v1/chat/completions") => serve(router, parts, incoming).await,
        _ if path.starts_with(service::PREFIX) => serve(router, parts, incoming).await,
        _ => Err(Refusal::not_run(Reason::NotFound, "no such path or method")),
    }
}

async fn serve(
    router: &Arc<Router>,
    parts: http::request::Parts,
    incoming: Incoming,
) -> Result<Response<Body>, Refusal> {
    let arrived = router.clock.now();
    let in_flight = router.track_request();
    let snapshot = router.snapshot()?;
    let account = authenticate::run(&snapshot, &parts.headers)?;
    router.check_rate_limit(&snapshot, &account)?;
    if router.node.journal().is_full() {
        // Bill lines are waiting for a platform that has been down for long. Another response would
        // need room for another line, and no line may be dropped.
        let refusal = Refusal::not_run(Reason::Overloaded, "too many bill lines wait to be stored");
        return Err(refusal);
    }
    let policy = &snapshot.config().policy;
    let (metadata, bytes) = parse::run(&parts, incoming, account, policy, arrived).await?;
    if parts.uri.path().starts_with(service::PREFIX) {
        let call = service::Call::new(&parts, metadata, bytes)?;
        return service::run(router, &snapshot, call, &parts.headers, in_flight).await;
    }
    let chat = parse::chat(metadata, &bytes)?;
    chat::run(router, &snapshot, chat, in_flight).await
}
