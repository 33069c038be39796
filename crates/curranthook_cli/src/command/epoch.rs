//! `curranthook epoch`

use curranthook_types::Epoch;
use serde::Serialize;

use crate::{
    Context, Error,
    output::{Show, ago},
    store,
};

/// The publication in force.
#[derive(Debug, Serialize)]
pub struct Current {
    /// Its epoch.
    pub epoch: Epoch,
    /// Who published it.
    pub by: String,
    /// When, in milliseconds since 1970.
    pub at_millis: u64,
    /// Its random id.
    pub publication: String,
    #[serde(skip)]
    now_millis: u64,
}

/// Reads which publication is in force.
///
/// ```
/// # use curranthook_cli::{Context, Error, command::epoch};
/// # use curranthook_types::clock;
/// let ctx = Context::new(std::sync::Arc::new(clock::System), "lan");
/// let result = async_io::block_on(epoch::run(&ctx));
/// assert!(matches!(result, Err(Error::NoPlatform)));
/// ```
pub async fn run(ctx: &Context) -> Result<Current, Error> {
    let document = store::read(ctx.table()?).await?.ok_or(Error::NotPublished)?.document;
    Ok(Current {
        epoch: document.epoch,
        by: document.by,
        at_millis: document.at_millis,
        publication: document.publication,
        now_millis: ctx.clock.unix_millis(),
    })
}

impl Show for Current {
    fn show(&self) -> String {
        let age = ago(self.at_millis, self.now_millis);
        format!("epoch {}, published by {} {age}", self.epoch, self.by)
    }
}
