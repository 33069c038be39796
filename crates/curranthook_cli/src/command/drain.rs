//! `curranthook drain` and `curranthook undrain`

use curranthook_types::endpoint;

use crate::{
    Context, Error,
    edit::{self, Applied},
};

/// Gives an endpoint no new work.
pub async fn drain(ctx: &Context, endpoint: &endpoint::Id) -> Result<Applied, Error> {
    let message = format!("endpoint `{endpoint}` drained");
    edit::apply(ctx, &message, |document, stamp| document.drain(endpoint, stamp)).await
}

/// Gives a drained endpoint work again.
pub async fn undrain(ctx: &Context, endpoint: &endpoint::Id) -> Result<Applied, Error> {
    let message = format!("endpoint `{endpoint}` gets work again");
    edit::apply(ctx, &message, |document, stamp| document.undrain(endpoint, stamp)).await
}
