//! The processes of a run: stand-ins, routers and stewards.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use anyhow::bail;
use async_io::Timer;
use curranthook_http::{Exchange, client::Pool};
use curranthook_platform::{Role, Vm, VmState, client::Client as Platform};
use curranthook_settings::node;
use curranthook_types::{version, vm};
use serde::Deserialize;

use crate::{
    drive::Ingress,
    evidence::{Applied, Evidence},
};

mod change;
pub mod document;
pub mod process;
mod setup;

use process::Process;
pub use setup::{Setup, Topology};

/// Maximum time for routers to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval between readiness checks of a router.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Shared key of the peers; a fixed value suffices, as a scenario's site protects no real data.
const PEER_KEY: [u8; 32] = [9; 32];

/// The running processes.
#[derive(Debug)]
pub struct Fleet {
    setup: Setup,
    pool: Arc<Pool>,
    platform: Process,
    engines: Vec<Process>,
    services: Vec<Process>,
    rater: Option<Process>,
    routers: Vec<Process>,
    stewards: Vec<Process>,
    faults: BTreeMap<String, serde_json::Value>,
    evidence: Evidence,
}

impl Fleet {
    /// Starts all processes and waits until every router is ready.
    pub async fn start(setup: Setup, pool: Arc<Pool>) -> anyhow::Result<Self> {
        let platform = setup.spawn("standin-platform", "platform", &setup::listen_args())?;
        let mut fleet = Self {
            engines: setup.start_engines()?,
            services: setup.start_services()?,
            rater: setup.start_rater()?,
            routers: Vec::new(),
            stewards: Vec::new(),
            faults: BTreeMap::new(),
            evidence: Evidence::default(),
            setup,
            pool,
            platform,
        };
        fleet.publish().await?;
        if let Topology::Routers(policy) = fleet.setup.topology.clone() {
            fleet.start_vms(&policy).await?;
        }
        Ok(fleet)
    }

    /// Addresses that callers send their requests to.
    pub fn ingress(&self) -> Ingress {
        match &self.setup.topology {
            Topology::Routers(_) => Ingress {
                models: self.routers.iter().map(|it| it.addr("callers")).collect(),
                ..Ingress::default()
            },
            Topology::Direct(version) => self.direct_ingress(version),
        }
    }

    /// The processes and their listening addresses, for inspection.
    pub fn processes(&self) -> impl Iterator<Item = &Process> {
        let endpoints = self.engines.iter().chain(&self.services).chain(&self.rater);
        let vm_processes = self.routers.iter().chain(&self.stewards);
        std::iter::once(&self.platform).chain(endpoints).chain(vm_processes)
    }

    /// Stops all processes and returns what engines and platform recorded.
    ///
    /// Routers stop first, so that they can upload their last billing lines; the platform last.
    pub async fn close(mut self) -> anyhow::Result<Evidence> {
        self.record_exited_processes();
        self.read_counters().await;
        let stewards = std::mem::take(&mut self.stewards);
        let routers = std::mem::take(&mut self.routers);
        stop_all(routers);
        stop_all(stewards);
        let engines = std::mem::take(&mut self.engines);
        for engine in &engines {
            self.read_record(engine).await;
        }
        let objects = self.get(self.platform.addr("http"), "/control/objects").await?;
        self.evidence.bills = crate::evidence::bills(&serde_json::from_slice(&objects)?);
        stop_all(engines);
        stop_all(std::mem::take(&mut self.services));
        stop_all(self.rater.take());
        self.platform.close();
        Ok(self.evidence)
    }

    async fn publish(&self) -> anyhow::Result<()> {
        use curranthook_platform::{Table as _, Write};
        let processes = self.engines.iter().chain(&self.services);
        let addrs = processes.map(|it| (it.name().to_owned(), it.addr("http"))).collect();
        let rater = self.rater.as_ref().map(|it| it.addr("http"));
        let document = document::initial(&self.setup.scenario, &addrs, rater);
        let (table, key) = curranthook_settings::document::ROW;
        let text = serde_json::to_vec(&document)?;
        match self.platform_client().insert(table, key, text.into()).await? {
            Write::Done(_) => Ok(()),
            Write::Conflict => bail!("a newly started platform already has a configuration"),
        }
    }

    fn direct_ingress(&self, version: &version::Id) -> Ingress {
        let scenario = &self.setup.scenario;
        let addrs = |processes: &[Process], ids: &[String]| -> Vec<SocketAddr> {
            let named = processes.iter().filter(|it| ids.iter().any(|id| id == it.name()));
            named.map(|it| it.addr("http")).collect()
        };
        let groups = scenario.engines.iter().filter(|it| it.versions.contains(version));
        let ids: Vec<String> = groups.flat_map(crate::scenario::Engines::ids).collect();
        let service = |it: &crate::scenario::Service| {
            (it.name.clone(), addrs(&self.services, &it.ids().collect::<Vec<_>>()))
        };
        Ingress {
            models: addrs(&self.engines, &ids),
            services: scenario.services.iter().map(service).collect(),
            version: Some(version.clone()),
        }
    }

    async fn start_vms(&mut self, policy: &str) -> anyhow::Result<()> {
        for index in 0..self.setup.scenario.routers {
            self.start_vm(index, policy)?;
        }
        self.publish_vms().await?;
        self.wait_ready().await
    }

    fn platform_client(&self) -> Platform {
        Platform::new(self.platform.addr("http"), Arc::clone(&self.pool))
    }

    fn start_vm(&mut self, index: usize, policy: &str) -> anyhow::Result<()> {
        let settings = self.node_settings(index)?;
        let path = self.setup.work_dir.join(format!("vm-{index}.yaml"));
        std::fs::write(&path, setup::settings_text(&settings)?)?;
        let file = path.display().to_string();
        let mut args = vec!["--settings".to_owned(), file.clone()];
        if index < self.setup.scenario.stewards {
            let name = format!("steward-{index}");
            self.stewards.push(self.setup.spawn("curranthook-steward", &name, &args)?);
        }
        args.extend(["--policy".to_owned(), policy.to_owned()]);
        let name = format!("router-{index}");
        self.routers.push(self.setup.spawn("curranthook-router", &name, &args)?);
        Ok(())
    }

    fn node_settings(&self, index: usize) -> anyhow::Result<node::Settings> {
        let any_port: SocketAddr = setup::LOOPBACK.parse()?;
        let platform = self.platform.addr("http");
        Ok(node::Settings {
            vm: vm_id(index),
            site: self.setup.scenario.site.clone(),
            failure_domain: document::failure_domain(&self.setup.scenario, index),
            listen: any_port,
            peer_listen: any_port,
            peer_address: None,
            steward_listen: any_port,
            platform: node::Platform { table: platform, objects: platform, vms: platform },
            seeds: self.routers.iter().map(|it| it.addr("peers")).collect(),
            peer_key: PEER_KEY.to_vec(),
            statsd: None,
            threads: 1,
        })
    }

    async fn publish_vms(&self) -> anyhow::Result<()> {
        let vm = |(index, router): (usize, &Process)| Vm {
            id: vm_id(index),
            address: router.addr("peers"),
            failure_domain: document::failure_domain(&self.setup.scenario, index),
            state: VmState::Live,
            role: Role::Entry,
        };
        let vms: Vec<Vm> = self.routers.iter().enumerate().map(vm).collect();
        self.put(self.platform.addr("http"), "/control/vms", &vms).await
    }

    async fn wait_ready(&self) -> anyhow::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for router in &self.routers {
            while self.get(router.addr("callers"), "/readyz").await.is_err() {
                if deadline < Instant::now() {
                    bail!("{} wasn't ready within {READY_TIMEOUT:?}", router.name());
                }
                Timer::after(READY_POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    async fn read_record(&mut self, engine: &Process) {
        let body = self.get(engine.addr("http"), "/control/record").await;
        let records = body.and_then(|it| Ok(serde_json::from_slice::<Vec<_>>(&it)?));
        match records {
            Ok(records) => self.evidence.records.extend(records),
            Err(_) => self.evidence.unread.push(engine.name().to_owned()),
        }
    }

    /// Sums the counters of all routers. A router that has exited is left out and listed in `died`.
    async fn read_counters(&mut self) {
        let addrs: Vec<_> = self.routers.iter().map(|it| it.addr("callers")).collect();
        for addr in addrs {
            let Ok(text) = self.get(addr, "/status").await else { continue };
            let Ok(status) = serde_json::from_slice::<Status>(&text) else { continue };
            for (name, n) in status.counters {
                *self.evidence.counters.entry(name).or_default() += n;
            }
        }
    }

    fn record_exited_processes(&mut self) {
        let all = self.engines.iter_mut().chain(&mut self.services).chain(&mut self.rater);
        let all = all.chain(&mut self.routers).chain(&mut self.stewards);
        let exited = all.filter_map(|it| it.has_exited().then(|| it.name().to_owned()));
        self.evidence.died.extend(exited);
    }

    async fn get(&self, addr: SocketAddr, path: &str) -> anyhow::Result<bytes::Bytes> {
        const READ_TIMEOUT: Duration = Duration::from_secs(10);
        let res = Exchange::get(addr, path).with_timeout(READ_TIMEOUT).run(&self.pool).await?;
        if !res.status().is_success() {
            bail!("GET {path}: {}", res.status());
        }
        Ok(res.into_body())
    }

    async fn put(
        &self,
        addr: SocketAddr,
        path: &str,
        value: &(impl serde::Serialize + Sync),
    ) -> anyhow::Result<()> {
        let res = Exchange::put(addr, path).with_json(value).run(&self.pool).await?;
        if !res.status().is_success() {
            bail!("PUT {path}: {}", res.status());
        }
        Ok(())
    }
}

/// Part of a router's `GET /status` response.
#[derive(Debug, Deserialize)]
struct Status {
    counters: BTreeMap<String, u64>,
}

/// Signals all processes to stop before waiting for any, so that they shut down concurrently.
fn stop_all(processes: impl IntoIterator<Item = Process>) {
    let running: Vec<Process> = processes.into_iter().collect();
    running.iter().for_each(Process::request_stop);
    running.into_iter().for_each(Process::close);
}

fn vm_id(index: usize) -> vm::Id {
    vm::Id::new(format!("vm-{index}"))
}
