//! The `curranthook diff` subcommand.

use curranthook_settings::{
    Document,
    document::{Change, Stamp, difference},
};
use curranthook_types::Epoch;
use serde::Serialize;

use super::check;
use crate::{Context, Error, args::Files, output::Render, store};

/// The changes that publishing files would make.
#[derive(Debug, Serialize)]
pub struct Difference {
    /// The epoch that the files were compared with, 0 if nothing is published yet.
    pub epoch: Epoch,
    /// The changes from the published document to the files.
    pub changes: Vec<Change>,
}

/// Compares files with the published document.
///
/// ```
/// # use curranthook_cli::{Context, Error, args::Files, command::diff};
/// # use curranthook_types::clock;
/// let ctx = Context::new(std::sync::Arc::new(clock::System), "lan");
/// let files = Files { base: "no/such/base.yaml".into(), overlays: Vec::new() };
/// let result = async_io::block_on(diff::run(&ctx, &files));
/// assert!(matches!(result, Err(Error::Check(_))));
/// ```
pub async fn run(ctx: &Context, files: &Files) -> Result<Difference, Error> {
    let checked = check::run(files)?;
    let stored = store::read(ctx.table()?).await?;
    let current = stored.map(|it| it.document).unwrap_or_default();
    let stamp = Stamp { by: &ctx.operator, at_millis: 0, publication: "" };
    let next = Document::publish(Some(&current), checked.sites, &stamp);
    Ok(Difference { epoch: current.epoch, changes: difference(&current, &next) })
}

impl Render for Difference {
    fn render(&self) -> String {
        if self.changes.is_empty() {
            return format!("no change against epoch {}", self.epoch);
        }
        let lines: Vec<_> = self.changes.iter().map(ToString::to_string).collect();
        format!("against epoch {}:\n{}", self.epoch, lines.join("\n"))
    }
}
