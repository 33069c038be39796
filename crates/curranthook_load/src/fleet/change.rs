//! Applies events to the running processes.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use anyhow::{Context as _, bail};
use async_io::Timer;
use curranthook_platform::{Table as _, Write};
use curranthook_settings::{Document, rollout};
use curranthook_types::{Clock as _, clock, version};
use serde_json::json;

use crate::event::{Action, Event, Targets};

use super::{Applied, Fleet};

/// Maximum number of attempts at an edit that conflicts with concurrent edits.
const EDIT_ATTEMPTS: usize = 5;
/// Delay before a conflicting edit is retried.
const EDIT_RETRY_DELAY: Duration = Duration::from_millis(20);

impl Fleet {
    /// Applies all events of the scenario at their times, relative to `start`.
    pub async fn apply_events(&mut self, start: Instant) -> anyhow::Result<()> {
        let scenario = Arc::clone(&self.setup.scenario);
        let mut events: Vec<(usize, &Event)> = scenario.events.iter().enumerate().collect();
        events.sort_by_key(|(_, it)| it.at);
        for (index, event) in events {
            Timer::at(start + event.at).await;
            self.apply(&event.action).await.with_context(|| format!("event {index}"))?;
            let at_millis = clock::System.unix_millis();
            self.evidence.applied.push(Applied { index, at_millis });
        }
        Ok(())
    }

    async fn apply(&mut self, action: &Action) -> anyhow::Result<()> {
        match action {
            Action::Fault { engines, set } => self.set_faults(engines, set).await,
            Action::Kill { engines } => {
                self.kill(engines).await;
                Ok(())
            }
            Action::Quality { version, quality } => {
                let set = json!({"quality": {version.as_str(): quality}});
                self.set_faults(&Targets::All, &set).await
            }
            Action::Withdraw { version } => {
                let withdraw = |it: &mut Document| {
                    it.withdrawn.insert(version.clone());
                };
                self.edit_document(withdraw).await
            }
            Action::Rollout { from, to, stages } => {
                self.edit_document(|it| start_rollout(it, from, to, stages)).await
            }
        }
    }

    /// Adds faults to those in force. A stand-in replaces all of its faults at once, so the merged
    /// set is kept here; otherwise a later event would undo an earlier one.
    async fn set_faults(
        &mut self,
        targets: &Targets,
        set: &serde_json::Value,
    ) -> anyhow::Result<()> {
        let engines = self.engines.iter().filter(|it| targets.contains(it.name()));
        let targets: Vec<_> = engines.map(|it| (it.name().to_owned(), it.addr("http"))).collect();
        for (name, addr) in targets {
            let faults = self.faults.entry(name).or_default();
            json_patch::merge(faults, set);
            let faults = faults.clone();
            self.put(addr, "/control/faults", &faults).await?;
        }
        Ok(())
    }

    /// The record is read first, since it is lost with the engine; attempts still running appear
    /// in it without an end.
    async fn kill(&mut self, targets: &Targets) {
        let all = std::mem::take(&mut self.engines);
        let (killed, remaining) = all.into_iter().partition(|it| targets.contains(it.name()));
        self.engines = remaining;
        let killed: Vec<super::Process> = killed;
        for mut engine in killed {
            self.read_record(&engine).await;
            engine.kill();
        }
    }

    /// Changes the published document the way an operator's command does: by compare-and-set.
    async fn edit_document(&self, change: impl Fn(&mut Document)) -> anyhow::Result<()> {
        let (table, key) = curranthook_settings::document::ROW;
        for _ in 0..EDIT_ATTEMPTS {
            let row = self
                .platform_client()
                .get(table, key)
                .await?
                .context("no configuration is published")?;
            let mut document: Document = serde_json::from_slice(&row.value)?;
            change(&mut document);
            document.epoch = document.epoch.next();
            document.at_millis = clock::System.unix_millis();
            let text = serde_json::to_vec(&document)?;
            if let Write::Done(_) =
                self.platform_client().replace(table, key, &row.tag, text.into()).await?
            {
                return Ok(());
            }
            Timer::after(EDIT_RETRY_DELAY).await;
        }
        bail!("concurrent edits conflicted with all {EDIT_ATTEMPTS} attempts");
    }
}

fn start_rollout(document: &mut Document, from: &version::Id, to: &version::Id, stages: &[f64]) {
    let rollout = rollout::Rollout {
        from: from.clone(),
        to: to.clone(),
        stages: stages.to_vec(),
        stage: 0,
        state: rollout::State::Running,
        since_millis: clock::System.unix_millis(),
    };
    document.rollouts.insert(to.model().to_owned(), rollout);
}
