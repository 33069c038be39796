//! The `curranthook epoch` subcommand.

use curranthook_types::Epoch;
use serde::Serialize;

use crate::{
    Context, Error,
    output::{Render, format_age},
    store,
};

/// The publication in force.
#[derive(Debug, Serialize)]
pub struct Publication {
    /// The epoch of the publication.
    pub epoch: Epoch,
    /// The operator who published the document.
    pub by: String,
    /// Time of publication, in milliseconds since the Unix epoch.
    pub at_millis: u64,
    /// The random id of the publication.
    pub publication: String,
    #[serde(skip)]
    now_millis: u64,
}

/// Reads the publication in force.
///
/// ```
/// # use curranthook_cli::{Context, Error, command::epoch};
/// # use curranthook_types::clock;
/// let ctx = Context::new(std::sync::Arc::new(clock::System), "lan");
/// let result = async_io::block_on(epoch::run(&ctx));
/// assert!(matches!(result, Err(Error::NoPlatform)));
/// ```
pub async fn run(ctx: &Context) -> Result<Publication, Error> {
    let document = store::read(ctx.table()?).await?.ok_or(Error::NotPublished)?.document;
    Ok(Publication {
        epoch: document.epoch,
        by: document.by,
        at_millis: document.at_millis,
        publication: document.publication,
        now_millis: ctx.clock.unix_millis(),
    })
}

impl Render for Publication {
    fn render(&self) -> String {
        let age = format_age(self.at_millis, self.now_millis);
        format!("epoch {}, published by {} {age}", self.epoch, self.by)
    }
}
