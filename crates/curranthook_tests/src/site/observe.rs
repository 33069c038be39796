//! What a site's processes say of themselves, and changes that tests make often.

use std::{collections::BTreeMap, time::Duration};

use anyhow::Context;
use curranthook_http::Exchange;
use curranthook_settings::{Document, rollout};
use curranthook_standin::{engine::record::Run, proxy::link::Mode};
use curranthook_steward::lease;
use curranthook_types::{Epoch, version};
use serde::Deserialize;

use super::Site;
use crate::{eventually, pool};

/// How long routers may take to follow. The promise is seven seconds, and the tests that
/// measure it use a limit of their own; this one leaves room for a busy machine.
const FOLLOW_LIMIT: Duration = Duration::from_secs(30);

/// The part of a router's `GET /status` that tests look at.
#[derive(Debug, Clone, Deserialize)]
pub struct Status {
    /// The epoch in force.
    pub epoch: Epoch,
    /// Requests under way.
    pub in_flight: usize,
    /// Counters by name.
    pub counters: BTreeMap<String, u64>,
    /// What it knows of other nodes.
    pub peers: Peers,
}

/// What a router knows of other nodes.
#[derive(Debug, Clone, Deserialize)]
pub struct Peers {
    /// The nodes that it sees.
    pub view: View,
    /// Bill lines that it holds for others.
    pub replica_lines: u64,
    /// Counters by name.
    pub counters: BTreeMap<String, u64>,
}

/// The nodes that a router sees.
#[derive(Debug, Clone, Deserialize)]
pub struct View {
    /// Those that answered lately.
    pub alive: Vec<serde_json::Value>,
}

impl Site {
    /// What the router of a VM says of itself.
    pub async fn status(&self, vm: &str) -> anyhow::Result<Status> {
        let res = Exchange::get(self.router(vm), "/status").run(pool()).await?;
        Ok(serde_json::from_slice(res.body())?)
    }

    /// Waits until the routers of these VMs have `epoch` in force, or a later one.
    pub async fn wait_epoch(&self, vms: &[&str], epoch: Epoch) -> anyhow::Result<()> {
        for vm in vms {
            let is_there = async || Ok(epoch <= self.status(vm).await?.epoch);
            eventually(FOLLOW_LIMIT, is_there).await?;
        }
        Ok(())
    }

    /// Waits until each router has spoken with all the others. Just after the start one may not
    /// know of another yet.
    pub async fn wait_peers(&self) -> anyhow::Result<()> {
        for vm in self.routers.keys() {
            let others = self.routers.len() - 1;
            let is_there = async || Ok(others <= self.status(vm).await?.peers.view.alive.len());
            eventually(FOLLOW_LIMIT, is_there).await?;
        }
        Ok(())
    }

    /// Waits until the router of a VM has at least `n` requests under way.
    pub async fn wait_in_flight(&self, vm: &str, n: usize) -> anyhow::Result<()> {
        let is_there = async || Ok(n <= self.status(vm).await?.in_flight);
        eventually(FOLLOW_LIMIT, is_there).await
    }

    /// Publishes the withdrawal of a version.
    pub async fn withdraw(&self, version: &str) -> anyhow::Result<Document> {
        self.publish(|document| {
            document.withdrawn.insert(version.into());
        })
        .await
    }

    /// Publishes where the roll-out from `m@1` to `m@2` stands: given up, so that all new
    /// sessions get `m@1`, or done, so that they get `m@2`.
    pub async fn set_rollout(&self, state: rollout::State) -> anyhow::Result<Document> {
        let rollout = rollout::Rollout {
            from: "m@1".into(),
            to: "m@2".into(),
            stages: vec![1.0],
            stage: 0,
            state,
            since_millis: 0,
        };
        self.publish(|document| {
            document.rollouts.insert("m".to_owned(), rollout);
        })
        .await
    }

    /// Takes a version away from an account, in the published document.
    pub async fn disallow(&self, account: &str, version: &str) -> anyhow::Result<Document> {
        self.publish(|document| {
            let config = document.sites.get_mut(super::NAME).expect("the site is there");
            let account = config.accounts.get_mut(account).expect("the account is there");
            account.versions.remove(&version::Id::new(version));
        })
        .await
    }

    /// Sets what every endpoint's link does.
    pub async fn set_endpoints(&self, mode: Mode) -> anyhow::Result<()> {
        for id in self.engines.keys().chain(self.services.keys()) {
            self.proxy().set_mode(&format!("endpoint/{id}"), mode).await?;
        }
        Ok(())
    }

    /// Cuts the links to endpoints that had connections so far, and lets the others pass, so
    /// that what is under way fails and could go on elsewhere.
    ///
    /// # Panics
    ///
    /// If no link had a connection, or all had.
    pub async fn fail_used_endpoints(&self) -> anyhow::Result<()> {
        let links = self.proxy().links().await?;
        let links = links.into_iter().filter(|(name, _)| name.starts_with("endpoint/"));
        let (used, unused): (Vec<_>, Vec<_>) = links.partition(|(_, it)| 0 < it.accepted);
        assert!(!used.is_empty() && !unused.is_empty(), "used: {used:?}, unused: {unused:?}");
        // First those that work, so that a retry finds them.
        for (name, _) in unused {
            self.proxy().set_mode(&name, Mode::Pass).await?;
        }
        for (name, _) in used {
            self.proxy().set_mode(&name, Mode::Cut).await?;
        }
        Ok(())
    }

    /// Sets what every link between routers does.
    pub async fn set_peers(&self, mode: Mode) -> anyhow::Result<()> {
        for vm in self.routers.keys() {
            self.proxy().set_mode(&format!("peer/{vm}"), mode).await?;
        }
        Ok(())
    }

    /// The lease of a shard of control work, if somebody ever took it.
    pub async fn lease(&self, shard: &str) -> anyhow::Result<Option<lease::Record>> {
        let rows = self.platform.rows(lease::TABLE).await?;
        let row = rows.into_iter().find(|it| it.key == shard);
        Ok(row.map(|it| serde_json::from_str(&it.value)).transpose()?)
    }

    /// Waits until a steward on another VM than `former` holds the lease of a shard, and
    /// returns it; an empty `former` is for the first holder.
    pub async fn wait_lease(&self, shard: &str, former: &str) -> anyhow::Result<lease::Record> {
        let is_new = |it: &lease::Record| it.holder.vm.as_str() != former;
        let is_taken = async || Ok(self.lease(shard).await?.is_some_and(|it| is_new(&it)));
        eventually(FOLLOW_LIMIT, is_taken).await?;
        self.lease(shard).await?.context("a lease's row is never deleted")
    }

    /// What all engines ran of `version`.
    pub async fn runs_of(&self, version: &str) -> anyhow::Result<Vec<Run>> {
        let mut all = Vec::new();
        for engine in self.engines.values() {
            let runs = engine.runs().await?;
            all.extend(runs.into_iter().filter(|it| it.version == version));
        }
        Ok(all)
    }
}
