//! Edits that remain valid after concurrent changes to the document, such as a withdrawal.
//!
//! If another operator publishes first, the edit is applied again to the newer document, so
//! that an operator who withdraws a bad version does not have to repeat the command.

use curranthook_settings::{
    Document,
    document::{self, Stamp},
};
use curranthook_types::Epoch;
use serde::Serialize;

use crate::{
    Conflict, Context, Error, context,
    output::Render,
    store::{self, Outcome},
};

/// Maximum number of attempts to read the document, apply an edit and write the result. A retry is
/// needed only if another operator published in the milliseconds between the read and the write.
const MAX_ATTEMPTS: usize = 20;

/// The result of an edit.
#[derive(Debug, Serialize)]
pub struct Applied {
    /// The epoch of the published document that contains the edit.
    pub epoch: Epoch,
    /// A description of the edit, for display.
    pub message: String,
}

impl Render for Applied {
    fn render(&self) -> String {
        format!("epoch {}: {}", self.epoch, self.message)
    }
}

/// Applies `edit` to the published document; `message` describes the edit in the result.
///
/// Retries on the newer document after a conflicting write.
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
    let mut first_epoch = None;
    for _ in 0..MAX_ATTEMPTS {
        let current = store::read(table).await?.ok_or(Error::NotPublished)?;
        first_epoch.get_or_insert(current.document.epoch);
        let publication_id = context::new_publication_id();
        let at_millis = ctx.clock.unix_millis();
        let stamp = Stamp { by: &ctx.operator, at_millis, publication: &publication_id };
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
    let latest = store::read(table).await?.ok_or(Error::NotPublished)?.document;
    let expected = first_epoch.unwrap_or(latest.epoch);
    Err(Error::Conflict(Box::new(Conflict {
        expected,
        epoch: latest.epoch,
        by: latest.by,
        changes: Vec::new(),
    })))
}
