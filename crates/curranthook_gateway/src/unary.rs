//! Responses that are read completely before the caller receives any of them.
//!
//! If a short response breaks off, the request can then be retried where the route allows it, and
//! the caller never receives a truncated response.

use bytes::Bytes;
use curranthook_http::{body, timeout};
use http::response::Parts;

use crate::{
    attempt::Cause,
    directory::Outcome,
    job::{Job, OUTCOME_WHOLE, Summary},
    refusal::Refusal,
};

/// The size limit of a response that is read completely.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Makes attempts at `job` until a response has been read completely.
pub async fn read(job: &mut Job) -> Result<(Parts, Bytes), Refusal> {
    loop {
        let mut exchange = job.execute().await?;
        let (endpoint, begun_at) = (exchange.lease.incarnation(), job.gateway.now());
        let first_byte_after = job.gateway.now().saturating_duration_since(job.request.received_at);
        let (time_left, memory) = (job.time_left(), job.gateway.response_memory.clone());
        let read = memory.read(exchange.lease.addr, &mut exchange.body, MAX_BODY_BYTES);
        let cause = match timeout::run(time_left, read).await {
            Ok(Ok(bytes)) => {
                let head = exchange.head.clone();
                let status = head.status;
                let is_error = status.is_server_error();
                let outcome = if is_error { Outcome::Failed } else { Outcome::Answered };
                if !is_error {
                    job.record_answered_parts(begun_at);
                }
                exchange.finish(&job.gateway, job.route.retry_policy, outcome);
                job.record_end(&Summary {
                    status: status.as_u16(),
                    outcome: OUTCOME_WHOLE,
                    endpoint: endpoint.id.as_str(),
                    first_byte_after,
                    ..Summary::default()
                });
                return Ok((head, bytes));
            }
            // A body that is too large may have no end.
            Ok(Err(body::ReadError::TooLarge { .. } | body::ReadError::Incomplete(_))) => {
                exchange.close(Outcome::Failed);
                Cause::Disconnected
            }
            Err(timeout::Elapsed) => {
                exchange.close(Outcome::Abandoned);
                Cause::Timeout
            }
        };
        let begun_for = job.gateway.now().saturating_duration_since(begun_at);
        job.on_response_failed(&endpoint, cause, begun_for).await?;
    }
}
