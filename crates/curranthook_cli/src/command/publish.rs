//! `curranthook publish`

use curranthook_settings::{
    Document,
    check::Finding,
    document::{Change, Stamp, difference},
};
use curranthook_types::Epoch;
use serde::Serialize;

use super::check;
use crate::{
    Conflict, Context, Error,
    args::Publish,
    context,
    output::Show,
    store::{self, Outcome},
};

/// A publication.
#[derive(Debug, Serialize)]
pub struct Published {
    /// The epoch in which the files are in force.
    pub epoch: Epoch,
    /// What they changed; nothing if they were in force already.
    pub changes: Vec<Change>,
    /// What is worth a look in them.
    #[serde(serialize_with = "check::serialize_findings")]
    pub warnings: Vec<Finding>,
}

/// Checks and publishes files.
///
/// Unlike an edit, files are never applied again on top of what somebody else published: they
/// would undo it without anybody having looked.
///
/// ```
/// # use curranthook_cli::{Context, Error, args::{Files, Publish}, command::publish};
/// # use curranthook_types::clock;
/// let ctx = Context::new(std::sync::Arc::new(clock::System), "lan");
/// let files = Files { base: "no/such/base.yaml".into(), overlays: Vec::new() };
/// let result = async_io::block_on(publish::run(&ctx, &Publish { files, expect: None }));
/// assert!(matches!(result, Err(Error::Check(_))));
/// ```
pub async fn run(ctx: &Context, args: &Publish) -> Result<Published, Error> {
    let checked = check::run(&args.files)?;
    let table = ctx.table()?;
    let stored = store::read(table).await?;
    let current = stored.as_ref().map(|it| &it.document);
    let nothing = Document::default();
    let before = current.unwrap_or(&nothing);
    expect(before, args.expect.map(Epoch))?;

    let publication = context::publication();
    let at_millis = ctx.clock.unix_millis();
    let stamp = Stamp { by: &ctx.by, at_millis, publication: &publication };
    let next = Document::publish(current, checked.sites, &stamp);
    next.check_rollouts()?;
    let changes = difference(before, &next);
    let warnings = checked.warnings;
    if changes.is_empty() {
        // Also what an operator gets who runs the command again after its answer was lost.
        return Ok(Published { epoch: before.epoch, changes, warnings });
    }
    let tag = stored.as_ref().map(|it| &it.tag);
    match store::write(table, tag, &next, ctx.retry).await? {
        Outcome::Done => Ok(Published { epoch: next.epoch, changes, warnings }),
        Outcome::Conflict(now) => Err(conflict(before, now.as_deref())),
    }
}

fn expect(before: &Document, expected: Option<Epoch>) -> Result<(), Error> {
    let Some(expected) = expected else { return Ok(()) };
    if expected == before.epoch {
        return Ok(());
    }
    // What was published under the expected epoch is gone, so there's nothing to compare with.
    Err(Error::Conflict(Box::new(Conflict {
        expected,
        epoch: before.epoch,
        by: before.by.clone(),
        changes: Vec::new(),
    })))
}

fn conflict(before: &Document, now: Option<&Document>) -> Error {
    let unread = Document { by: "somebody".to_owned(), ..before.clone() };
    let after = now.unwrap_or(&unread);
    Error::Conflict(Box::new(Conflict {
        expected: before.epoch,
        epoch: after.epoch.max(before.epoch.next()),
        by: after.by.clone(),
        changes: difference(before, after),
    }))
}

impl Show for Published {
    fn show(&self) -> String {
        let mut lines: Vec<_> = self.warnings.iter().map(ToString::to_string).collect();
        lines.extend(self.changes.iter().map(ToString::to_string));
        lines.push(if self.changes.is_empty() {
            format!("no change; epoch {} stays in force", self.epoch)
        } else {
            format!("published as epoch {}", self.epoch)
        });
        lines.join("\n")
    }
}
