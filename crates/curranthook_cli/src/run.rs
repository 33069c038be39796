use std::{
    io::{Read, Write},
    sync::Arc,
};

use curranthook_http::{client::Pool, runtime};

use crate::{
    Context, Error,
    args::{Accounts, Command},
    command::{
        accounts, bills, check, diff, drain, epoch, explain, publish, rollout, status, withdraw,
    },
    output::{Format, Render, print},
};

/// Standard input and output, and the output format.
pub struct Terminal<'a> {
    /// Standard input.
    pub input: &'a mut dyn Read,
    /// Standard output.
    pub output: &'a mut dyn Write,
    /// The output format.
    pub format: Format,
}

impl Terminal<'_> {
    fn print(&mut self, result: &impl Render) -> Result<(), Error> {
        Ok(print(result, self.format, self.output)?)
    }
}

/// Runs a command and prints its result.
pub async fn run(
    command: &Command,
    ctx: &Context,
    (executor, pool): (&runtime::Handle, &Arc<Pool>),
    terminal: &mut Terminal<'_>,
) -> Result<(), Error> {
    match command {
        Command::Check(files) => terminal.print(&check::run(files)?),
        Command::Diff(files) => terminal.print(&diff::run(ctx, files).await?),
        Command::Publish(args) => terminal.print(&publish::run(ctx, args).await?),
        Command::Rollout { action } => terminal.print(&rollout::run(ctx, action).await?),
        Command::Withdraw(it) => {
            terminal.print(&withdraw::withdraw(ctx, &it.version.as_str().into()).await?)
        }
        Command::Reinstate(it) => {
            terminal.print(&withdraw::reinstate(ctx, &it.version.as_str().into()).await?)
        }
        Command::Drain(it) => {
            terminal.print(&drain::drain(ctx, &it.endpoint.as_str().into()).await?)
        }
        Command::Undrain(it) => {
            terminal.print(&drain::undrain(ctx, &it.endpoint.as_str().into()).await?)
        }
        Command::Accounts { action: None } => terminal.print(&accounts::list(ctx).await?),
        Command::Accounts { action: Some(Accounts::HashKey) } => {
            let hash = accounts::hash_key(terminal.input)?;
            terminal.print(&hash)
        }
        Command::Status { routers } => {
            let list = status::run(executor, pool, routers).await;
            terminal.print(&list)?;
            list.check_all_succeeded()
        }
        Command::Bills(args) => terminal.print(&bills::run(ctx, args).await?),
        Command::Explain { request, files } => {
            let timeline = explain::run(request, files, terminal.input)?;
            terminal.print(&timeline)
        }
        Command::Epoch => terminal.print(&epoch::run(ctx).await?),
    }
}
