//! The `curranthook withdraw` and `curranthook reinstate` subcommands.

use curranthook_types::version;

use crate::{
    Context, Error,
    edit::{self, Applied},
};

/// Withdraws a version: it gets no new requests at any site.
///
/// ```
/// # use curranthook_cli::{Context, Error, command::withdraw};
/// # use curranthook_types::clock;
/// let ctx = Context::new(std::sync::Arc::new(clock::System), "lan");
/// let result = async_io::block_on(withdraw::withdraw(&ctx, &"tally-llm@2".into()));
/// assert!(matches!(result, Err(Error::NoPlatform)));
/// ```
pub async fn withdraw(ctx: &Context, version: &version::Id) -> Result<Applied, Error> {
    let message = format!("version `{version}` withdrawn");
    edit::apply(ctx, &message, |document, stamp| document.withdraw(version, stamp)).await
}

/// Reinstates a withdrawn version.
///
/// ```
/// # use curranthook_cli::{Context, Error, command::withdraw};
/// # use curranthook_types::clock;
/// let ctx = Context::new(std::sync::Arc::new(clock::System), "lan");
/// let result = async_io::block_on(withdraw::reinstate(&ctx, &"tally-llm@2".into()));
/// assert!(matches!(result, Err(Error::NoPlatform)));
/// ```
pub async fn reinstate(ctx: &Context, version: &version::Id) -> Result<Applied, Error> {
    let message = format!("version `{version}` reinstated");
    edit::apply(ctx, &message, |document, stamp| document.reinstate(version, stamp)).await
}
