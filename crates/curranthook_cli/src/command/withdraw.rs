//! `curranthook withdraw` and `curranthook reinstate`

use curranthook_types::version;

use crate::{
    Context, Error,
    edit::{self, Applied},
};

/// Withdraws a version.
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

/// Allows a withdrawn version again.
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
