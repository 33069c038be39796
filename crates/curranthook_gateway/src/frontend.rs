//! The HTTP handler for callers: admits requests, runs them and writes the responses.

use std::{future::Future, sync::Arc, time::Duration};

use curranthook_http::{
    Body, body, intake,
    server::{Connection, Handler},
    timeout,
};
use curranthook_policy::rank::Rank;
use futures_lite::future::{self, Boxed};
use http::{Request, Response, header, request::Parts};
use hyper::body::{Body as _, Incoming};

use crate::{
    Gateway,
    document::Denied,
    event::Event,
    gateway::Configuration,
    job::{Job, Origin, Summary, millis},
    poison,
    refusal::{Reason, Refusal, Started},
    request, startup, stream, unary,
};

/// The timeout of a request whose caller sets none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// The time limit for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// The `Retry-After` of a node that is shutting down: short, since another node of the fleet can
/// take the request at once.
const RETRY_AFTER_STOPPING: Duration = Duration::from_millis(50);

/// The handler of callers' connections.
#[derive(Debug)]
pub struct Frontend {
    /// The node's shared state.
    pub gateway: Arc<Gateway>,
}

impl Handler for Frontend {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> Boxed<Response<Body>> {
        Box::pin(async move {
            let gateway = &self.gateway;
            let (head, body) = req.into_parts();
            let result = self.respond(&head, body, Origin::Caller).await;
            let mut res = result.unwrap_or_else(|refusal| self.refuse(&refusal));
            if gateway.is_stopping() {
                gateway.dialect.add_closing_headers(res.headers_mut());
            }
            res
        })
    }
}

impl Frontend {
    /// Admits and runs a request.
    pub async fn respond(
        &self,
        head: &Parts,
        body: Incoming,
        origin: Origin,
    ) -> Result<Response<Body>, Refusal> {
        let admitted = self.until_shutdown(self.admit(head, body, origin), || Started::No).await;
        let result = match admitted {
            Ok(job) => {
                let passed_on = job.passed_on();
                let started = || if passed_on.is_set() { Started::Maybe } else { Started::No };
                match self.until_shutdown(async { Ok(run_job(job).await) }, started).await {
                    Ok(result) => return result,
                    Err(refusal) => Err(refusal),
                }
            }
            Err(refusal) => Err(refusal),
        };
        result.inspect_err(|refusal| self.log_refusal(head, refusal))
    }

    /// Runs `future`, but refuses the request when the node has to send its last answers. `started` is
    /// whether an endpoint may have started the request by then.
    async fn until_shutdown<T>(
        &self,
        future: impl Future<Output = Result<T, Refusal>>,
        started: impl Fn() -> Started,
    ) -> Result<T, Refusal> {
        future::or(future, async {
            self.gateway.shutdown.wait_for_deadline(&*self.gateway.clock).await;
            Err(stopping(started()))
        })
        .await
    }

    /// The response to a refused request, which states the reason.
    pub fn refuse(&self, refusal: &Refusal) -> Response<Body> {
        self.gateway.metrics.record_refusal(refusal.reason);
        let text = serde_json::json!({ "error": refusal.reason.name() });
        let mut res = body::json(refusal.status.as_u16(), &text);
        self.gateway.dialect.add_refusal_headers(refusal, res.headers_mut());
        res
    }

    fn log_refusal(&self, head: &Parts, refusal: &Refusal) {
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

    /// Parses and admits a request, and reads its body.
    async fn admit(&self, head: &Parts, body: Incoming, origin: Origin) -> Result<Job, Refusal> {
        let gateway = &self.gateway;
        let refusal = |reason| Refusal::new(reason, Started::No);
        if gateway.shutdown.is_closed() {
            return Err(stopping(Started::No));
        }
        let received_at = gateway.now();
        let connection = head.extensions.get::<Arc<Connection>>();
        let head = gateway.dialect.parse_request_head(head).map_err(|e| {
            log::debug!("cannot parse a caller's request head: {e}");
            refusal(Reason::Invalid)
        })?;
        startup::wait(gateway, head.timeout).await;
        let Some(configuration) = gateway.configuration.load_full() else {
            return Err(startup::refusal(gateway));
        };
        // Checked before the body is read, so that a caller without access cannot make the node
        // read a body.
        let (_route, account) = admit(&configuration, &head)?;
        // Callers without an account share one part of the memory.
        let client = account.as_ref().map_or("", |it| it.id.as_str());
        let max_body = configuration.document.limits.max_body;
        let intake::Received { bytes: body, claim } =
            self.receive(body, client, max_body, connection).await?;
        // Checked again, since the body may have taken until then.
        if gateway.shutdown.is_closed() {
            return Err(stopping(Started::No));
        }
        // Checked again, since the configuration may have changed while the body was received.
        let configuration = gateway.configuration.load_full().unwrap_or(configuration);
        let (route, account) = admit(&configuration, &head)?;
        let timeout = head.timeout.unwrap_or(DEFAULT_TIMEOUT).min(route.timeout);
        let account_priority = account.as_ref().and_then(|it| it.priority);
        let rank = Rank { account: account_priority, route: route.priority };
        let request = request::Request::new(head, body, received_at, timeout).with_claim(claim);
        if poison::is_refused(gateway, &request) {
            return Err(refusal(Reason::Poison));
        }
        let account = account.map(|it| it.id);
        let job = Job::new(gateway, &configuration, request, route, account, rank, origin)?;
        job.check_parts()?;
        Ok(job)
    }

    /// Receives the body of a request of `client`. Meanwhile, its connection may be closed.
    async fn receive(
        &self,
        body: Incoming,
        client: &str,
        limit: usize,
        connection: Option<&Arc<Connection>>,
    ) -> Result<intake::Received, Refusal> {
        let refusal = |reason| Refusal::new(reason, Started::No);
        // The announced length; zero for a body in chunks.
        if (limit as u64) < body.size_hint().lower() {
            return Err(refusal(Reason::TooLarge));
        }
        if let Some(it) = connection {
            it.begin_body();
        }
        let read = self.gateway.request_memory.read(client, body, limit);
        let received = timeout::run(BODY_TIMEOUT, read).await;
        let has_connection = connection.is_none_or(|it| it.end_body());
        let no_memory = || refusal(Reason::NoMemory).with_retry_after(intake::SECURE_TIME);
        match received {
            Ok(Ok(received)) if has_connection => Ok(received),
            Ok(Ok(_) | Err(intake::Error::NoMemory)) => Err(no_memory()),
            Ok(Err(intake::Error::TooLarge { .. })) => Err(refusal(Reason::TooLarge)),
            Ok(Err(intake::Error::Incomplete(_))) | Err(timeout::Elapsed) => {
                Err(refusal(Reason::Invalid))
            }
        }
    }
}

/// The refusal of a request that the node cannot complete, as it is shutting down.
pub fn stopping(started: Started) -> Refusal {
    Refusal::new(Reason::Stopping, started).with_retry_after(RETRY_AFTER_STOPPING)
}

fn admit(
    configuration: &Configuration,
    head: &request::Head,
) -> Result<(Arc<crate::document::Route>, Option<crate::document::Account>), Refusal> {
    let admitted =
        configuration.document.admit(&head.host, head.uri.path(), head.api_key.as_deref());
    let (route, account) = admitted.map_err(|denied| {
        let reason = match denied {
            Denied::NoRoute => Reason::NoRoute,
            Denied::UnknownKey => Reason::UnknownKey,
        };
        Refusal::new(reason, Started::No)
    })?;
    if !route.accepts(&head.model) {
        return Err(Refusal::new(Reason::UnknownModel, Started::No));
    }
    Ok((Arc::clone(route), account.cloned()))
}

async fn run_job(mut job: Job) -> Result<Response<Body>, Refusal> {
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
    let result = match result {
        Err((job, refusal)) if job.is_forwarded(refusal.reason) => job.forward().await,
        other => other,
    };
    result.map_err(|(job, refusal)| {
        let (status, outcome) = (refusal.status.as_u16(), refusal.reason.name());
        job.record_end(&Summary { status, outcome, ..Summary::default() });
        refusal
    })
}

async fn open_stream(mut job: Job) -> Result<Response<Body>, (Job, Refusal)> {
    let exchange = match job.execute().await {
        Ok(exchange) => exchange,
        Err(refusal) => return Err((job, refusal)),
    };
    let mut headers = job.gateway.dialect.response_headers(&exchange.head.headers);
    // If this endpoint fails, another one continues the stream, so the total length is unknown.
    headers.remove(header::CONTENT_LENGTH);
    let status = exchange.reply.status;
    let elapsed = job.gateway.now().saturating_duration_since(job.request.received_at);
    job.gateway.metrics.record_first_byte(elapsed);
    Ok(respond(status, headers, stream::body(job, exchange)))
}

fn respond(status: http::StatusCode, headers: http::HeaderMap, body: Body) -> Response<Body> {
    let mut res = Response::new(body);
    *res.status_mut() = status;
    *res.headers_mut() = headers;
    res
}
