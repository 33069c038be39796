//! The `curranthook publish` subcommand.

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
    output::Render,
    store::{self, Outcome},
};

/// The result of a publication.
#[derive(Debug, Serialize)]
pub struct Published {
    /// The epoch of the published document with the files' configuration.
    pub epoch: Epoch,
    /// The changes; empty if the published document already matched the files.
    pub changes: Vec<Change>,
    /// Warnings about the files.
    #[serde(serialize_with = "check::serialize_findings")]
    pub warnings: Vec<Finding>,
}

/// Checks and publishes files.
///
/// Unlike an edit, files are never applied again after a conflicting write: they would silently
/// undo what the other operator published.
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
    let empty = Document::default();
    let previous = current.unwrap_or(&empty);
    check_expected_epoch(previous, args.expect.map(Epoch))?;

    let publication_id = context::new_publication_id();
    let at_millis = ctx.clock.unix_millis();
    let stamp = Stamp { by: &ctx.operator, at_millis, publication: &publication_id };
    let next = Document::publish(current, checked.sites, &stamp);
    next.check_rollouts()?;
    let changes = difference(previous, &next);
    let warnings = checked.warnings;
    if changes.is_empty() {
        // The operator also gets this result when repeating a publication that took effect although
        // the platform's response was lost.
        return Ok(Published { epoch: previous.epoch, changes, warnings });
    }
    let tag = stored.as_ref().map(|it| &it.tag);
    match store::write(table, tag, &next, ctx.retry).await? {
        Outcome::Done => Ok(Published { epoch: next.epoch, changes, warnings }),
        Outcome::Conflict(latest) => Err(conflict_error(previous, latest.as_deref())),
    }
}

fn check_expected_epoch(previous: &Document, expected: Option<Epoch>) -> Result<(), Error> {
    let Some(expected) = expected else { return Ok(()) };
    if expected == previous.epoch {
        return Ok(());
    }
    // The document of the expected epoch was replaced, so the changes since then are unknown.
    Err(Error::Conflict(Box::new(Conflict {
        expected,
        epoch: previous.epoch,
        by: previous.by.clone(),
        changes: Vec::new(),
    })))
}

fn conflict_error(previous: &Document, latest: Option<&Document>) -> Error {
    let unknown = Document { by: "somebody".to_owned(), ..previous.clone() };
    let latest = latest.unwrap_or(&unknown);
    Error::Conflict(Box::new(Conflict {
        expected: previous.epoch,
        epoch: latest.epoch.max(previous.epoch.next()),
        by: latest.by.clone(),
        changes: difference(previous, latest),
    }))
}

impl Render for Published {
    fn render(&self) -> String {
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
