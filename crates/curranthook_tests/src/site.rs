//! A site of processes.

mod builder;
mod config;
mod observe;

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use anyhow::{Context, bail};
use curranthook_http::Exchange;
use curranthook_platform::{Role, Table, Vm, VmState, Write};
use curranthook_settings::{Config, Document, document, node};
use curranthook_standin::proxy::link::Fault;
use tempfile::TempDir;

use crate::{
    Process, eventually, pool,
    standin::{Engine, Platform, Proxy, Rater, Service},
};

pub use builder::Builder;
pub use observe::Status;

/// The name of the site that tests run.
pub const NAME: &str = "test";
/// How long routers may take to be ready.
const READY_LIMIT: Duration = Duration::from_secs(30);

/// The processes of a site. All are killed when it is dropped.
///
/// With a proxy these links exist: `platform/<vm>` from a VM's router and steward to the
/// platform, `endpoint/<id>` from all routers to an endpoint, `rater`, `peer/<vm>` from other
/// routers to a router, `caller/<vm>` from callers to a router.
#[derive(Debug)]
pub struct Site {
    /// The platform.
    pub platform: Platform,
    /// The proxy, if links go through one.
    pub proxy: Option<Proxy>,
    /// The engines by id.
    pub engines: BTreeMap<String, Engine>,
    /// The instances of plain services by endpoint id.
    pub services: BTreeMap<String, Service>,
    /// The service that rates answers.
    pub rater: Option<Rater>,
    /// The routers by VM.
    pub routers: BTreeMap<String, Process>,
    /// The stewards by VM.
    pub stewards: BTreeMap<String, Process>,
    /// What callers and peers are told a router's addresses are, by VM.
    fronts: BTreeMap<String, Front>,
    node: Vec<Edit<node::Settings>>,
    steward_args: Vec<String>,
    directory: TempDir,
}

/// A change to what tests start from.
struct Edit<T>(Box<dyn Fn(&mut T) + Send + Sync>);

impl<T> std::fmt::Debug for Edit<T> {
    // A function has nothing to show.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Edit").finish_non_exhaustive()
    }
}

/// Where a router is reached, through the proxy if there is one.
#[derive(Debug, Clone, Copy)]
struct Front {
    callers: SocketAddr,
    peers: SocketAddr,
}

/// Sets what a version costs, for prompts and answers alike, and the quality that its makers claim
/// for summaries.
pub fn offer(config: &mut Config, version: &str, price: u64, quality: f64) {
    let version = config.versions.get_mut(version).expect("the engines serve it");
    (version.price.prompt.0, version.price.completion.0) = (price, price);
    version.quality = [("summary".into(), quality)].into();
}

impl Site {
    /// Describes a site to be started.
    pub fn builder() -> Builder {
        Builder::default()
    }

    /// Where callers reach the router of a VM.
    pub fn router(&self, vm: &str) -> SocketAddr {
        self.fronts.get(vm).unwrap_or_else(|| panic!("there is no router {vm}")).callers
    }

    /// The process of a router.
    pub fn router_process(&mut self, vm: &str) -> &mut Process {
        self.routers.get_mut(vm).unwrap_or_else(|| panic!("there is no router {vm}"))
    }

    /// The process of a steward.
    pub fn steward_process(&mut self, vm: &str) -> &mut Process {
        self.stewards.get_mut(vm).unwrap_or_else(|| panic!("there is no steward {vm}"))
    }

    /// An engine.
    pub fn engine(&self, id: &str) -> &Engine {
        self.engines.get(id).unwrap_or_else(|| panic!("there is no engine {id}"))
    }

    /// An instance of a plain service.
    pub fn service(&self, id: &str) -> &Service {
        self.services.get(id).unwrap_or_else(|| panic!("there is no service {id}"))
    }

    /// The proxy.
    pub fn proxy(&self) -> &Proxy {
        self.proxy.as_ref().expect("the site is behind a proxy")
    }

    /// Reads the published document.
    pub async fn document(&self) -> anyhow::Result<Document> {
        let (table, key) = document::ROW;
        let row = Table::get(&self.platform.client(), table, key).await?;
        Ok(serde_json::from_slice(&row.context("nothing is published")?.value)?)
    }

    /// Changes the published document, under the next epoch.
    pub async fn publish(&self, edit: impl FnOnce(&mut Document)) -> anyhow::Result<Document> {
        let (table, key) = document::ROW;
        let client = self.platform.client();
        let row = Table::get(&client, table, key).await?.context("nothing is published")?;
        let mut document: Document = serde_json::from_slice(&row.value)?;
        edit(&mut document);
        document.epoch = document.epoch.next();
        let value = serde_json::to_vec(&document)?;
        match client.replace(table, key, &row.tag, value.into()).await? {
            Write::Done(_) => Ok(document),
            Write::Conflict => bail!("someone else published"),
        }
    }

    /// Starts the router of a VM, anew if it ran before, and waits until it is ready.
    pub async fn start_router(&mut self, vm: &str) -> anyhow::Result<()> {
        self.launch_router(vm).await?;
        self.publish_vms(&[]).await?;
        self.wait_ready(vm).await
    }

    /// Starts the router of a VM, anew if it ran before, and leaves it at that: it may not be
    /// ready, and the list of VMs still holds its forerunner's address.
    pub async fn launch_router(&mut self, vm: &str) -> anyhow::Result<()> {
        let path = self.write_settings(vm).await?;
        // A forerunner is killed by being dropped, before its successor starts.
        self.routers.remove(vm);
        let args = ["--settings", path.as_str()];
        let process = Process::start(self.directory.path(), vm, "curranthook-router", &args)?;
        let front = Front {
            callers: self.through(&format!("caller/{vm}"), process.addr("callers")).await?,
            peers: self.through(&format!("peer/{vm}"), process.addr("peers")).await?,
        };
        self.fronts.insert(vm.to_owned(), front);
        self.routers.insert(vm.to_owned(), process);
        Ok(())
    }

    /// Starts the steward of a VM, anew if it ran before.
    pub async fn start_steward(&mut self, vm: &str) -> anyhow::Result<()> {
        let path = self.write_settings(vm).await?;
        self.stewards.remove(vm);
        let router =
            self.fronts.get(vm).context("the router beside it isn't up")?.peers.to_string();
        let mut args = vec!["--settings", path.as_str(), "--router", router.as_str()];
        args.extend(self.steward_args.iter().map(String::as_str));
        let name = format!("{vm}-steward");
        let process = Process::start(self.directory.path(), &name, "curranthook-steward", &args)?;
        self.stewards.insert(vm.to_owned(), process);
        Ok(())
    }

    /// Tells the platform which VMs there are, those of routers and of endpoints; those named in
    /// `leaving` are about to go.
    pub async fn publish_vms(&self, leaving: &[&str]) -> anyhow::Result<()> {
        let vm = |name: &str, address, role| Vm {
            id: name.into(),
            address,
            failure_domain: config::failure_domain(name),
            state: if leaving.contains(&name) { VmState::Leaving } else { VmState::Live },
            role,
        };
        let routers = self.fronts.iter().map(|(name, it)| vm(name, it.peers, Role::Entry));
        let document = self.document().await?;
        let endpoints = document.sites.values().flat_map(|it| &it.endpoints);
        let endpoints = endpoints.map(|(id, it)| vm(id.as_str(), it.address, Role::Endpoint));
        self.platform.set_vms(&routers.chain(endpoints).collect::<Vec<_>>()).await
    }

    /// Waits until the router of a VM is ready.
    pub async fn wait_ready(&self, vm: &str) -> anyhow::Result<()> {
        let addr = self.router(vm);
        let is_ready = async || {
            let res = Exchange::get(addr, "/readyz").run(pool()).await;
            Ok(res.is_ok_and(|res| res.status() == 200))
        };
        eventually(READY_LIMIT, is_ready).await.with_context(|| format!("{vm} isn't ready"))
    }

    /// Waits until each router has answered calls of at least `n` others, so that it has peers to
    /// hold its bill lines.
    pub async fn wait_met(&self, n: usize) -> anyhow::Result<()> {
        for vm in self.routers.keys() {
            let has_met = async || {
                let status = self.status(vm).await?;
                Ok(n <= status.peers.view.alive.len())
            };
            let met = eventually(READY_LIMIT, has_met).await;
            met.with_context(|| format!("{vm} knows fewer than {n} others"))?;
        }
        Ok(())
    }

    /// The address under which `target` is reached: the link `name` of the proxy, if there is
    /// one. A link that exists already gets the new target and keeps its fault.
    async fn through(&self, name: &str, target: SocketAddr) -> anyhow::Result<SocketAddr> {
        let Some(proxy) = &self.proxy else { return Ok(target) };
        let Some(link) = proxy.links().await?.remove(name) else {
            return proxy.open(name, target).await;
        };
        if link.target != target {
            proxy.set(name, &Fault { target: Some(target), ..link.fault }).await?;
        }
        Ok(link.listen)
    }

    /// Where peers reach the router of a VM, which need not have started yet.
    async fn peer_link(&self, vm: &str) -> anyhow::Result<SocketAddr> {
        let nowhere = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
        let target = self.routers.get(vm).map_or(nowhere, |it| it.addr("peers"));
        self.through(&format!("peer/{vm}"), target).await
    }

    /// Where the other routers are reached by peers.
    fn peers_of(&self, vm: &str) -> Vec<SocketAddr> {
        let others = self.fronts.iter().filter(|(name, _)| *name != vm);
        others.map(|(_, front)| front.peers).collect()
    }

    async fn write_settings(&self, vm: &str) -> anyhow::Result<String> {
        let platform = self.through(&format!("platform/{vm}"), self.platform.addr()).await?;
        let peer_address = match &self.proxy {
            Some(_) => Some(self.peer_link(vm).await?),
            None => None,
        };
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let mut settings = node::Settings {
            vm: vm.into(),
            site: NAME.into(),
            failure_domain: config::failure_domain(vm),
            listen: any_port,
            peer_listen: any_port,
            // Peers name each other; without this they would get past the proxy.
            peer_address,
            steward_listen: any_port,
            platform: node::Platform { table: platform, objects: platform, vms: platform },
            seeds: self.peers_of(vm),
            peer_key: config::PEER_KEY.to_vec(),
            statsd: None,
            threads: 2,
        };
        for edit in &self.node {
            (edit.0)(&mut settings);
        }
        let path = self.directory.path().join(format!("{vm}-settings.yaml"));
        // JSON is YAML too.
        std::fs::write(&path, serde_json::to_string_pretty(&settings)?)?;
        Ok(path.display().to_string())
    }
}
