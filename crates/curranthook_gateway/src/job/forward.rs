//! Forwards a request to another node, as this one is cut off from the service.

use std::time::Duration;

use bytes::Bytes;
use curranthook_http::{
    Body, body,
    client::{self, Connection, Freshness, response},
    timeout,
};
use futures_lite::{future, stream};
use http::{HeaderMap, Response, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

use super::{Job, Summary, millis};
use crate::{
    event::Event,
    forwarding::{
        candidates::Chosen,
        head::{Forward, Source},
    },
    refusal::{Reason, Refusal, Started},
};

/// The number of nodes to which a request is forwarded, one after the other.
const MAX_NODES: usize = 3;
/// The longest idle time after which a connection to a node is reused for a retryable request.
const MAX_IDLE_AGE: Duration = Duration::from_secs(3);
/// The size limit of a response that is read completely.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// The `Retry-After` if no node takes the request: about the time until one may be asked again.
const RETRY_AFTER: Duration = Duration::from_millis(700);
/// The outcome of a request that another node has answered.
const OUTCOME: &str = "forwarded";

/// A node that a request was forwarded to, and the response that has begun.
struct Hop {
    node: Chosen,
    conn: Connection,
    source: Source,
    status: http::StatusCode,
    headers: HeaderMap,
    body: response::Body,
}

/// Why a node has not answered.
enum Failure {
    /// It has not sent the request to an endpoint.
    NotRun(&'static str),
    /// It may have done so.
    MayHaveRun,
    /// The deadline has passed.
    Timeout,
}

impl Failure {
    fn name(&self) -> &'static str {
        match self {
            Self::NotRun(why) => why,
            Self::MayHaveRun => "cut",
            Self::Timeout => "timeout",
        }
    }
}

impl Job {
    /// Forwards the request to a few nodes, one after the other, until one answers it.
    pub async fn forward(mut self) -> Result<Response<Body>, (Self, Refusal)> {
        let mut tried = Vec::new();
        while tried.len() < MAX_NODES {
            let now = self.gateway.now();
            let chosen = self.gateway.forwarding.candidates.lock().choose(&tried, now);
            let Some(chosen) = chosen else { break };
            let name = chosen.name.clone();
            tried.push(name.clone());
            self.passed_on.set(true);
            let result = self.send_to(chosen).await;
            let result = match result {
                Ok(hop) if hop.source == Source::Elsewhere => {
                    hop.conn.close();
                    Err(Failure::NotRun(Source::Elsewhere.name()))
                }
                other => other,
            };
            let has_not_run = matches!(result, Err(Failure::NotRun(_)));
            self.passed_on.set(self.started == Started::Maybe || !has_not_run);
            self.record_hop(
                &name,
                result.as_ref().map_or_else(Failure::name, |it| it.source.name()),
                now,
            );
            match result {
                // The other node states only that the request has not run there.
                Ok(hop) if hop.source == Source::Refusal && self.started == Started::Maybe => {
                    hop.conn.close();
                    let refusal = self.refusal(Reason::EndpointFailed);
                    return Err((self, refusal));
                }
                Ok(hop) if self.route.retry_policy.is_stream() => {
                    return Ok(self.stream_response(hop));
                }
                Ok(hop) => match self.whole_response(hop).await {
                    Ok(response) => return Ok(response),
                    Err(refusal) => return Err((self, refusal)),
                },
                Err(Failure::NotRun(_)) => {
                    self.gateway.forwarding.candidates.lock().back_off(&name, self.gateway.now());
                }
                Err(Failure::Timeout) => {
                    self.started = Started::Maybe;
                    let refusal = self.refusal(Reason::Timeout);
                    return Err((self, refusal));
                }
                Err(Failure::MayHaveRun) => {
                    self.gateway.forwarding.candidates.lock().back_off(&name, self.gateway.now());
                    self.started = Started::Maybe;
                    self.n_runs += 1;
                    if !self.route.retry_policy.is_retryable() || !self.try_rerun("forward") {
                        let refusal = self.refusal(Reason::EndpointFailed);
                        return Err((self, refusal));
                    }
                }
            }
        }
        let refusal = self.refusal(Reason::Unreachable).with_retry_after(RETRY_AFTER);
        Err((self, refusal))
    }

    async fn send_to(&mut self, node: Chosen) -> Result<Hop, Failure> {
        let Some(key) = self.gateway.forwarding.key() else {
            return Err(Failure::NotRun("no_key"));
        };
        let forward =
            Forward { key: &key, configuration: self.configuration_version, n_runs: self.n_runs };
        // As at endpoints, a request that may run only once is not sent on a connection that the
        // other side may be closing.
        let freshness = match self.route.retry_policy.is_retryable() {
            true => Freshness::Within(MAX_IDLE_AGE),
            false => Freshness::New,
        };
        let conn = self.gateway.pool.take(node.addr, freshness).await;
        let mut conn = conn.map_err(|_unsent| Failure::NotRun("connect"))?;
        let (time_left, last_event_id) = (self.time_left(), self.last_event_id);
        let dialect = &self.gateway.dialect;
        let mut req = dialect.build_forwarded_request(&self.request, time_left, last_event_id);
        forward.insert(req.headers_mut());
        self.n_attempts += 1;
        let response = match timeout::run(time_left, conn.send(req)).await {
            Ok(Ok(response)) => response,
            Ok(Err(e)) if client::Error::is_unsent(&e) => return Err(Failure::NotRun("connect")),
            Ok(Err(_)) => return Err(Failure::MayHaveRun),
            Err(timeout::Elapsed) => return Err(Failure::Timeout),
        };
        let (head, body) = response.into_parts();
        let mut headers = dialect.response_headers(&head.headers);
        // Only a node that does not forward requests leaves the header out; it has not run this one.
        let source = Source::take(&mut headers).ok_or(Failure::NotRun("unsupported"))?;
        Ok(Hop { node, conn, source, status: head.status, headers, body })
    }

    fn record_hop(&self, name: &str, result: &'static str, sent_at: std::time::Instant) {
        self.gateway.metrics.record_forwarded(result);
        let elapsed = self.gateway.now().saturating_duration_since(sent_at);
        self.gateway.log.write(&Event::Forwarded {
            request: &self.request.head.id,
            node_asked: name,
            attempt: self.n_attempts,
            result,
            left_ms: millis(self.time_left()),
            took_ms: millis(elapsed),
        });
    }

    /// Reads the response completely, so that the caller never receives a part of it.
    async fn whole_response(&mut self, mut hop: Hop) -> Result<Response<Body>, Refusal> {
        let memory = self.gateway.response_memory.clone();
        let read = memory.read(hop.node.addr, &mut hop.body, MAX_BODY_BYTES);
        let bytes = match timeout::run(self.time_left(), read).await {
            Ok(Ok(bytes)) => bytes,
            Ok(Err(_)) | Err(timeout::Elapsed) => {
                hop.conn.close();
                self.started = Started::Maybe;
                return Err(self.refusal(Reason::EndpointFailed));
            }
        };
        self.gateway.pool.put(hop.conn);
        self.record_forwarded_end(hop.status, OUTCOME);
        Ok(respond(hop.status, hop.headers, body::full(bytes)))
    }

    /// Passes the events of the response on as they arrive.
    fn stream_response(self, mut hop: Hop) -> Response<Body> {
        hop.headers.remove(header::CONTENT_LENGTH);
        let (status, headers) = (hop.status, hop.headers);
        let pipe = Pipe {
            body: hop.body.into_events(),
            conn: Some(hop.conn),
            status,
            job: self,
            _node: hop.node,
        };
        let frames = stream::unfold(pipe, |mut pipe| async move {
            let frame = pipe.next().await?;
            if frame.is_err() {
                // Events that were sent just before are written while the connection is open.
                future::yield_now().await;
            }
            Some((frame.map(Frame::data), pipe))
        });
        respond(status, headers, StreamBody::new(frames).boxed_unsync())
    }

    fn record_forwarded_end(&self, status: http::StatusCode, outcome: &'static str) {
        self.record_end(&Summary { status: status.as_u16(), outcome, ..Summary::default() });
    }
}

/// A response that is passed on. Dropping it closes the connection, upon which the other node closes
/// that to the endpoint.
struct Pipe {
    body: response::Body,
    /// None after the end of the response.
    conn: Option<Connection>,
    status: http::StatusCode,
    job: Job,
    _node: Chosen,
}

impl Pipe {
    /// The next bytes; `None` at the end of the response.
    async fn next(&mut self) -> Option<Result<Bytes, body::Error>> {
        self.conn.as_ref()?;
        loop {
            let frame = timeout::run(self.job.time_left(), self.body.frame()).await;
            match frame {
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => return Some(Ok(data)),
                    Err(_trailers) => {}
                },
                Ok(None) => {
                    let conn = self.conn.take()?;
                    self.job.gateway.pool.put(conn);
                    self.job.record_forwarded_end(self.status, OUTCOME);
                    return None;
                }
                Ok(Some(Err(e))) => return Some(Err(self.abort(e.into()))),
                Err(e) => return Some(Err(self.abort(e.into()))),
            }
        }
    }

    fn abort(&mut self, error: body::Error) -> body::Error {
        if let Some(conn) = self.conn.take() {
            conn.close();
            self.job.record_forwarded_end(self.status, "broke_off");
        }
        error
    }
}

impl Drop for Pipe {
    fn drop(&mut self) {
        if let Some(conn) = self.conn.take() {
            conn.close();
            self.job.record_forwarded_end(self.status, "caller_left");
        }
    }
}

fn respond(status: http::StatusCode, headers: HeaderMap, body: Body) -> Response<Body> {
    let mut res = Response::new(body);
    *res.status_mut() = status;
    *res.headers_mut() = headers;
    res
}
