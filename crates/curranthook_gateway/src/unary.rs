//! An answer that is read whole before its caller gets any of it.
//!
//! A short answer that breaks off can then be asked for again, where the route allows that, and
//! what the caller gets is never cut.

use bytes::Bytes;
use curranthook_http::{body, timeout};
use http::response::Parts;

use crate::{
    attempt::Cause,
    directory::Outcome,
    job::{End, Job, OUTCOME_WHOLE},
    refusal::{Reason, Refusal},
};

/// The largest answer that is read whole, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Reads the answer to `job`.
pub async fn read(job: &mut Job) -> Result<(Parts, Bytes), Refusal> {
    loop {
        let mut exchange = job.execute().await?;
        let id = exchange.lease.id.clone();
        let first_byte_after = job.gateway.now().saturating_duration_since(job.request.received_at);
        let limit = job.time_left();
        let cause =
            match timeout::run(limit, body::read_mut(&mut exchange.body, MAX_BODY_BYTES)).await {
                Ok(Ok(bytes)) => {
                    let head = exchange.head.clone();
                    let status = head.status;
                    let is_error = status.is_server_error();
                    let outcome = if is_error { Outcome::Failed } else { Outcome::Answered };
                    exchange.finish(&job.gateway, job.route.retry_policy, outcome);
                    job.record_end(&End {
                        status: status.as_u16(),
                        outcome: OUTCOME_WHOLE,
                        endpoint: id.as_str(),
                        first_byte_after,
                        ..End::default()
                    });
                    return Ok((head, bytes));
                }
                Ok(Err(body::ReadError::TooLarge { .. })) => {
                    exchange.close(Outcome::Abandoned);
                    return Err(job.refusal(Reason::EndpointFailed));
                }
                Ok(Err(body::ReadError::Broken(_))) => {
                    exchange.close(Outcome::Failed);
                    Cause::Disconnected
                }
                Err(timeout::Elapsed) => {
                    exchange.close(Outcome::Abandoned);
                    Cause::Timeout
                }
            };
        job.on_response_failed(&id, cause).await?;
    }
}
