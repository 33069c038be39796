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
    job::{End, Job, WHOLE},
    refusal::{Reason, Refusal},
};

/// The largest answer that is read whole, in bytes.
const MAX_ANSWER: usize = 16 * 1024 * 1024;

/// Reads the answer to `job`.
pub async fn read(job: &mut Job) -> Result<(Parts, Bytes), Refusal> {
    loop {
        let mut open = job.open().await?;
        let id = open.lease.id.clone();
        let first = job.gateway.now().saturating_duration_since(job.ask.since);
        let limit = job.time_left();
        let cause = match timeout::run(limit, body::read_mut(&mut open.body, MAX_ANSWER)).await {
            Ok(Ok(bytes)) => {
                let head = open.head.clone();
                let status = head.status;
                let is_error = status.is_server_error();
                let outcome = if is_error { Outcome::Failed } else { Outcome::Answered };
                open.finish(&job.gateway, job.route.retry_policy, outcome);
                job.ended(&End {
                    status: status.as_u16(),
                    outcome: WHOLE,
                    endpoint: id.as_str(),
                    first_byte: first,
                    ..End::default()
                });
                return Ok((head, bytes));
            }
            Ok(Err(body::ReadError::TooLarge { .. })) => {
                open.close(Outcome::Abandoned);
                return Err(job.refusal(Reason::EndpointFailed));
            }
            Ok(Err(body::ReadError::Broken(_))) => {
                open.close(Outcome::Failed);
                Cause::Cut
            }
            Err(timeout::Elapsed) => {
                open.close(Outcome::Abandoned);
                Cause::Timeout
            }
        };
        job.broke_off(&id, cause).await?;
    }
}
