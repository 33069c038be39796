//! Edits that hold whatever else was changed in between, such as a withdrawal.
//!
//! When another operator was quicker, the edit is applied again to what they published. The
//! operator who withdraws a bad version isn't asked to try again.

use curranthook_settings::{
    Document,
    document::{self, Stamp},
};
use curranthook_types::Epoch;
use serde::Serialize;

use crate::{
    Conflict, Context, Error, context,
    output::Show,
    store::{self, Outcome},
};

/// How often an edit is applied to a newer document. Each time somebody else published within
/// the milliseconds between our read and write.
const ATTEMPTS: usize = 20;

/// How an edit ended.
#[derive(Debug, Serialize)]
pub struct Applied {
    /// The epoch in which it is in force.
    pub epoch: Epoch,
    /// What was done, in words.
    pub message: String,
}

impl Show for Applied {
    fn show(&self) -> String {
        format!("epoch {}: {}", self.epoch, self.message)
    }
}

/// Applies `edit` to the published document; `message` says what it does.
///
/// ```
/// # use curranthook_cli::{Context, Error, edit};
/// # use curranthook_types::clock;
/// let ctx = Context::new(std::sync::Arc::new(clock::System), "lan");
/// let result = async_io::block_on(edit::apply(&ctx, "no change", |document, _| Ok(document.clone())));
/// assert!(matches!(result, Err(Error::NoPlatform)));
/// ```
pub async fn apply(
    ctx: &Context,
    message: &str,
    edit: impl Fn(&Document, &Stamp<'_>) -> Result<Document, document::Error>,
) -> Result<Applied, Error> {
    let table = ctx.table()?;
    let mut first = None;
    for _ in 0..ATTEMPTS {
        let current = store::read(table).await?.ok_or(Error::NotPublished)?;
        first.get_or_insert(current.document.epoch);
        let publication = context::publication();
        let at_millis = ctx.clock.unix_millis();
        let stamp = Stamp { by: &ctx.by, at_millis, publication: &publication };
        let next = match edit(&current.document, &stamp) {
            Ok(next) => next,
            Err(e) if e.is_unchanged() => {
                return Ok(Applied { epoch: current.document.epoch, message: e.to_string() });
            }
            Err(e) => return Err(e.into()),
        };
        if let Outcome::Done = store::write(table, Some(&current.tag), &next, ctx.retry).await? {
            return Ok(Applied { epoch: next.epoch, message: message.to_owned() });
        }
    }
    let now = store::read(table).await?.ok_or(Error::NotPublished)?.document;
    let expected = first.unwrap_or(now.epoch);
    Err(Error::Conflict(Box::new(Conflict {
        expected,
        epoch: now.epoch,
        by: now.by,
        changes: Vec::new(),
    })))
}
