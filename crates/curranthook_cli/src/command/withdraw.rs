//! `curranthook withdraw` and `curranthook reinstate`

use curranthook_types::version;

use crate::{
    Context, Error,
    edit::{self, Applied},
};

/// Withdraws a version.
pub async fn withdraw(ctx: &Context, version: &version::Id) -> Result<Applied, Error> {
    let message = format!("version `{version}` withdrawn");
    edit::apply(ctx, &message, |document, stamp| document.withdraw(version, stamp)).await
}

/// Allows a withdrawn version again.
pub async fn reinstate(ctx: &Context, version: &version::Id) -> Result<Applied, Error> {
    let message = format!("version `{version}` reinstated");
    edit::apply(ctx, &message, |document, stamp| document.reinstate(version, stamp)).await
}
