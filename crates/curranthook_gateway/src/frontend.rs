//! From a caller's connection to the right stage, and back.

use std::{sync::Arc, time::Duration};

use curranthook_http::{Body, body, server::Handler, timeout};
use futures_lite::future::Boxed;
use http::{Request, Response, header, request::Parts};
use hyper::body::Incoming;

use crate::{
    Gateway,
    document::Denied,
    event::Event,
    gateway::Configuration,
    job::{End, Job, millis},
    refusal::{Reason, Refusal, Started},
    request, startup, stream, unary,
};

/// How long callers wait that don't say.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a body may take to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// When to come back to a fleet of which this node is leaving: at once, to another node.
const RETRY_AFTER_STOPPING: Duration = Duration::from_millis(50);

/// Answers callers.
#[derive(Debug)]
pub struct Frontend {
    /// The node.
    pub gateway: Arc<Gateway>,
    /// Whether it still takes requests; set when the last ones end.
    pub closed: std::sync::atomic::AtomicBool,
}

impl Handler for Frontend {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> Boxed<Response<Body>> {
        Box::pin(async move {
            let gateway = &self.gateway;
            let (head, body) = req.into_parts();
            let result = match self.admit(&head, body).await {
                Ok(job) => answer(job).await,
                Err(refusal) => {
                    self.log_refused(&head, &refusal);
                    Err(refusal)
                }
            };
            let mut res = result.unwrap_or_else(|refusal| refuse(gateway, &refusal));
            if gateway.is_stopping() {
                gateway.dialect.add_closing_headers(res.headers_mut());
            }
            res
        })
    }
}

impl Frontend {
    fn log_refused(&self, head: &Parts, refusal: &Refusal) {
        let gateway = &self.gateway;
        let parsed = gateway.dialect.parse_request_head(head).ok();
        gateway.log.write(&Event::Refused {
            request: parsed.as_ref().map_or("", |it| it.id.as_str()),
            path: head.uri.path(),
            status: refusal.status.as_u16(),
            reason: refusal.reason.name(),
            retry_after_ms: refusal.retry_after.map(millis),
            configuration: gateway.configuration.load().as_ref().map(|it| it.document.version),
            in_flight: gateway.in_flight(),
        });
    }

    /// Reads a request and lets it in.
    async fn admit(&self, head: &Parts, body: Incoming) -> Result<Job, Refusal> {
        let gateway = &self.gateway;
        let refuse = |reason| Refusal::new(reason, Started::No);
        if self.closed.load(std::sync::atomic::Ordering::Relaxed) {
            return Err(refuse(Reason::Stopping).with_retry_after(RETRY_AFTER_STOPPING));
        }
        let received_at = gateway.now();
        let head = gateway.dialect.parse_request_head(head).map_err(|e| {
            log::debug!("a caller's head can't be read: {e}");
            refuse(Reason::Invalid)
        })?;
        startup::wait(gateway, head.timeout).await;
        let Some(current) = gateway.configuration.load_full() else {
            return Err(startup::refusal(gateway));
        };
        // Before the body: whoever may not call at all isn't read any further.
        admit(&current, &head)?;
        let read = body::read(body, current.document.limits.max_body);
        let body = match timeout::run(BODY_TIMEOUT, read).await {
            Ok(Ok(body)) => body,
            Ok(Err(body::ReadError::TooLarge { .. })) => return Err(refuse(Reason::TooLarge)),
            Ok(Err(body::ReadError::Broken(_))) | Err(timeout::Elapsed) => {
                return Err(refuse(Reason::Invalid));
            }
        };
        // Once more: a body may take its time, and the configuration may change meanwhile.
        let current = gateway.configuration.load_full().unwrap_or(current);
        let (route, account) = admit(&current, &head)?;
        let timeout = head.timeout.unwrap_or(DEFAULT_TIMEOUT).min(route.timeout);
        let priority = account.as_ref().and_then(|it| it.priority).unwrap_or(route.priority);
        let request = request::Request::new(head, body, received_at, timeout);
        if gateway.poison.lock().is_poison(request.fingerprint, received_at) {
            return Err(refuse(Reason::Poison));
        }
        Job::new(gateway, &current, request, route, account.map(|it| it.id), priority)
    }
}

fn admit(
    current: &Configuration,
    head: &request::Head,
) -> Result<(Arc<crate::document::Route>, Option<crate::document::Account>), Refusal> {
    let admitted = current.document.admit(&head.host, head.uri.path(), head.api_key.as_deref());
    let (route, account) = admitted.map_err(|denied| {
        let reason = match denied {
            Denied::NoRoute => Reason::NoRoute,
            Denied::UnknownKey => Reason::UnknownKey,
        };
        Refusal::new(reason, Started::No)
    })?;
    Ok((Arc::clone(route), account.cloned()))
}

async fn answer(mut job: Job) -> Result<Response<Body>, Refusal> {
    let gateway = Arc::clone(&job.gateway);
    let result = if job.route.retry_policy.is_stream() {
        open_stream(job).await
    } else {
        match unary::read(&mut job).await {
            Ok((head, bytes)) => {
                let headers = gateway.dialect.response_headers(&head.headers);
                Ok(respond(head.status, headers, body::full(bytes)))
            }
            Err(refusal) => Err((job, refusal)),
        }
    };
    result.map_err(|(job, refusal)| {
        let (status, outcome) = (refusal.status.as_u16(), refusal.reason.name());
        job.record_end(&End { status, outcome, ..End::default() });
        refusal
    })
}

async fn open_stream(mut job: Job) -> Result<Response<Body>, (Job, Refusal)> {
    let exchange = match job.execute().await {
        Ok(exchange) => exchange,
        Err(refusal) => return Err((job, refusal)),
    };
    let mut headers = job.gateway.dialect.response_headers(&exchange.head.headers);
    // Another endpoint may go on with it, so its length isn't known.
    headers.remove(header::CONTENT_LENGTH);
    let status = exchange.reply.status;
    let took = job.gateway.now().saturating_duration_since(job.request.received_at);
    job.gateway.metrics.record_first_byte(took);
    Ok(respond(status, headers, stream::body(job, exchange)))
}

fn respond(status: http::StatusCode, headers: http::HeaderMap, body: Body) -> Response<Body> {
    let mut res = Response::new(body);
    *res.status_mut() = status;
    *res.headers_mut() = headers;
    res
}

/// The answer that says why there is none.
fn refuse(gateway: &Gateway, refusal: &Refusal) -> Response<Body> {
    gateway.metrics.record_refusal(refusal.reason);
    let text = serde_json::json!({ "error": refusal.reason.name() });
    let mut res = body::json(refusal.status.as_u16(), &text);
    gateway.dialect.add_refusal_headers(refusal, res.headers_mut());
    res
}
