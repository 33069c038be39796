//! The `curranthook rollout` subcommand.

use std::collections::BTreeMap;

use curranthook_settings::{document::Plan, rollout::Rollout};
use serde::Serialize;

use crate::{
    Context, Error,
    args::Rollout as Action,
    edit::{self, Applied},
    output::{Render, comma_separated, format_age, table},
    store,
};

/// The result of a `rollout` operation.
#[derive(Debug, Serialize)]
#[serde(untagged)]
pub enum Outcome {
    /// The edit that started, paused, resumed or aborted a rollout.
    Applied(Applied),
    /// The published rollouts, from `rollout status`.
    List(List),
}

/// All rollouts in the published document.
#[derive(Debug, Serialize)]
pub struct List {
    /// Rollouts by model name.
    pub rollouts: BTreeMap<String, Rollout>,
    #[serde(skip)]
    now_millis: u64,
}

/// Starts, pauses, resumes, aborts or lists rollouts.
///
/// ```
/// # use curranthook_cli::{Context, Error, args, command::rollout};
/// # use curranthook_types::clock;
/// let ctx = Context::new(std::sync::Arc::new(clock::System), "lan");
/// let result = async_io::block_on(rollout::run(&ctx, &args::Rollout::Status));
/// assert!(matches!(result, Err(Error::NoPlatform)));
/// ```
pub async fn run(ctx: &Context, action: &Action) -> Result<Outcome, Error> {
    let applied = match action {
        Action::Start { from, to, stages } => start(ctx, from, to, stages).await?,
        Action::Pause(it) => {
            let message = format!("roll-out of {} held", it.model);
            edit::apply(ctx, &message, |document, stamp| document.pause(&it.model, stamp)).await?
        }
        Action::Resume(it) => {
            let message = format!("roll-out of {} goes on", it.model);
            edit::apply(ctx, &message, |document, stamp| document.resume(&it.model, stamp)).await?
        }
        Action::Abort(it) => {
            let message = format!("roll-out of {} given up", it.model);
            edit::apply(ctx, &message, |document, stamp| document.abort(&it.model, stamp)).await?
        }
        Action::Status => return Ok(Outcome::List(list(ctx).await?)),
    };
    Ok(Outcome::Applied(applied))
}

async fn start(ctx: &Context, from: &str, to: &str, stages: &[f64]) -> Result<Applied, Error> {
    let plan = Plan { from: from.into(), to: to.into(), stages: stages.to_vec() };
    let message = format!("roll-out from {from} to {to} started");
    edit::apply(ctx, &message, |document, stamp| document.start(&plan, stamp)).await
}

async fn list(ctx: &Context) -> Result<List, Error> {
    let stored = store::read(ctx.table()?).await?.ok_or(Error::NotPublished)?;
    Ok(List { rollouts: stored.document.rollouts, now_millis: ctx.clock.unix_millis() })
}

impl Render for Outcome {
    fn render(&self) -> String {
        match self {
            Self::Applied(it) => it.render(),
            Self::List(it) => it.render(),
        }
    }
}

impl Render for List {
    fn render(&self) -> String {
        let row = |(model, rollout): (&String, &Rollout)| {
            [
                model.clone(),
                rollout.from.to_string(),
                rollout.to.to_string(),
                rollout.state.to_string(),
                format!("{} of {}", rollout.stage + 1, rollout.stages.len()),
                rollout.share().to_string(),
                comma_separated(&rollout.stages),
                format_age(rollout.since_millis, self.now_millis),
            ]
        };
        let header = ["MODEL", "FROM", "TO", "STATE", "STAGE", "SHARE", "STAGES", "SINCE"];
        table(header, self.rollouts.iter().map(row))
    }
}
