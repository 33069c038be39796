//! From a caller's connection to the right stage, and back.

use std::{sync::Arc, time::Duration};

use curranthook_http::{Body, body, server::Handler, timeout};
use futures_lite::future::Boxed;
use http::{Request, Response, header, request::Parts};
use hyper::body::Incoming;

use crate::{
    Gateway,
    ask::Ask,
    document::Denied,
    event::Event,
    gateway::Configuration,
    job::{End, Job, millis},
    refusal::{Ran, Reason, Refusal},
    starting, stream, unary,
};

/// How long callers wait that don't say.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(30);
/// How long a body may take to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// When to come back to a fleet of which this node is leaving: at once, to another node.
const RETRY_STOPPING: Duration = Duration::from_millis(50);

/// Answers callers.
#[derive(Debug)]
pub struct Front {
    /// The node.
    pub gateway: Arc<Gateway>,
    /// Whether it still takes requests; set when the last ones end.
    pub closed: std::sync::atomic::AtomicBool,
}

impl Handler for Front {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> Boxed<Response<Body>> {
        Box::pin(async move {
            let gateway = &self.gateway;
            let (head, body) = req.into_parts();
            let answered = match self.admit(&head, body).await {
                Ok(job) => answer(job).await,
                Err(refusal) => {
                    self.log_refused(&head, &refusal);
                    Err(refusal)
                }
            };
            let mut res = answered.unwrap_or_else(|refusal| refuse(gateway, &refusal));
            if gateway.is_stopping() {
                gateway.dialect.closing(res.headers_mut());
            }
            res
        })
    }
}

impl Front {
    fn log_refused(&self, head: &Parts, refusal: &Refusal) {
        let gateway = &self.gateway;
        let read = gateway.dialect.head(head).ok();
        gateway.log.write(&Event::Refused {
            request: read.as_ref().map_or("", |it| it.id.as_str()),
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
        let refuse = |reason| Refusal::new(reason, Ran::No);
        if self.closed.load(std::sync::atomic::Ordering::Relaxed) {
            return Err(refuse(Reason::Stopping).with_retry_after(RETRY_STOPPING));
        }
        let since = gateway.now();
        let head = gateway.dialect.head(head).map_err(|e| {
            log::debug!("a caller's head can't be read: {e}");
            refuse(Reason::Invalid)
        })?;
        starting::wait(gateway, head.patience).await;
        let Some(current) = gateway.configuration.load_full() else {
            return Err(starting::refusal(gateway));
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
        let patience = head.patience.unwrap_or(DEFAULT_PATIENCE).min(route.timeout);
        let priority = account.as_ref().and_then(|it| it.priority).unwrap_or(route.priority);
        let ask = Ask::new(head, body, since, patience);
        if gateway.poison.lock().is_poison(ask.fingerprint, since) {
            return Err(refuse(Reason::Poison));
        }
        Job::new(gateway, &current, ask, route, account.map(|it| it.id), priority)
    }
}

fn admit(
    current: &Configuration,
    head: &crate::ask::Head,
) -> Result<(Arc<crate::document::Route>, Option<crate::document::Account>), Refusal> {
    let admitted = current.document.admit(&head.host, head.uri.path(), head.key.as_deref());
    let (route, account) = admitted.map_err(|denied| {
        let reason = match denied {
            Denied::NoRoute => Reason::NoRoute,
            Denied::UnknownKey => Reason::UnknownKey,
        };
        Refusal::new(reason, Ran::No)
    })?;
    Ok((Arc::clone(route), account.cloned()))
}

async fn answer(mut job: Job) -> Result<Response<Body>, Refusal> {
    let gateway = Arc::clone(&job.gateway);
    let answered = if job.route.retry_policy.is_stream() {
        open_stream(job).await
    } else {
        match unary::read(&mut job).await {
            Ok((head, bytes)) => {
                let headers = gateway.dialect.passed_on(&head.headers);
                Ok(respond(head.status, headers, body::full(bytes)))
            }
            Err(refusal) => Err((job, refusal)),
        }
    };
    answered.map_err(|(job, refusal)| {
        let (status, outcome) = (refusal.status.as_u16(), refusal.reason.name());
        job.ended(&End { status, outcome, ..End::default() });
        refusal
    })
}

async fn open_stream(mut job: Job) -> Result<Response<Body>, (Job, Refusal)> {
    let open = match job.open().await {
        Ok(open) => open,
        Err(refusal) => return Err((job, refusal)),
    };
    let mut headers = job.gateway.dialect.passed_on(&open.head.headers);
    // Another endpoint may go on with it, so its length isn't known.
    headers.remove(header::CONTENT_LENGTH);
    let status = open.reply.status;
    let took = job.gateway.now().saturating_duration_since(job.ask.since);
    job.gateway.metrics.record_first_byte(took);
    Ok(respond(status, headers, stream::body(job, open)))
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
    gateway.dialect.refused(refusal, res.headers_mut());
    res
}
