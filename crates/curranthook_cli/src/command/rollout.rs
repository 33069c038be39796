//! `curranthook rollout`

use std::collections::BTreeMap;

use curranthook_settings::{document::Plan, rollout::Rollout};
use serde::Serialize;

use crate::{
    Context, Error,
    args::Rollout as Action,
    edit::{self, Applied},
    output::{Show, ago, join, table},
    store,
};

/// What came of it.
#[derive(Debug, Serialize)]
#[serde(untagged)]
pub enum Outcome {
    /// A roll-out was changed.
    Applied(Applied),
    /// The roll-outs as they are.
    List(List),
}

/// All roll-outs.
#[derive(Debug, Serialize)]
pub struct List {
    /// By model.
    pub rollouts: BTreeMap<String, Rollout>,
    #[serde(skip)]
    now_millis: u64,
}

/// Starts, holds, resumes, gives up or lists roll-outs.
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

impl Show for Outcome {
    fn show(&self) -> String {
        match self {
            Self::Applied(it) => it.show(),
            Self::List(it) => it.show(),
        }
    }
}

impl Show for List {
    fn show(&self) -> String {
        let row = |(model, it): (&String, &Rollout)| {
            [
                model.clone(),
                it.from.to_string(),
                it.to.to_string(),
                it.state.to_string(),
                format!("{} of {}", it.stage + 1, it.stages.len()),
                it.share().to_string(),
                join(&it.stages),
                ago(it.since_millis, self.now_millis),
            ]
        };
        let heading = ["MODEL", "FROM", "TO", "STATE", "STAGE", "SHARE", "STAGES", "SINCE"];
        table(heading, self.rollouts.iter().map(row))
    }
}
