//! The `curranthook drain` and `curranthook undrain` subcommands.

use curranthook_types::endpoint;

use crate::{
    Context, Error,
    edit::{self, Applied},
};

/// Stops new requests to an endpoint.
///
/// ```
/// # use curranthook_cli::{Context, Error, command::drain};
/// # use curranthook_types::clock;
/// let ctx = Context::new(std::sync::Arc::new(clock::System), "lan");
/// let result = async_io::block_on(drain::drain(&ctx, &"tally-llm-01".into()));
/// assert!(matches!(result, Err(Error::NoPlatform)));
/// ```
pub async fn drain(ctx: &Context, endpoint: &endpoint::Id) -> Result<Applied, Error> {
    let message = format!("endpoint `{endpoint}` drained");
    edit::apply(ctx, &message, |document, stamp| document.drain(endpoint, stamp)).await
}

/// Allows requests to a drained endpoint again.
///
/// ```
/// # use curranthook_cli::{Context, Error, command::drain};
/// # use curranthook_types::clock;
/// let ctx = Context::new(std::sync::Arc::new(clock::System), "lan");
/// let result = async_io::block_on(drain::undrain(&ctx, &"tally-llm-01".into()));
/// assert!(matches!(result, Err(Error::NoPlatform)));
/// ```
pub async fn undrain(ctx: &Context, endpoint: &endpoint::Id) -> Result<Applied, Error> {
    let message = format!("endpoint `{endpoint}` gets work again");
    edit::apply(ctx, &message, |document, stamp| document.undrain(endpoint, stamp)).await
}
