//! A platform and a fleet of nodes, run as real processes.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use anyhow::{Context as _, bail};
use async_io::Timer;
use curranthook_load::fleet::process::Process;
use curranthook_peers::member::Identity;
use curranthook_platform::{Role, Table as _, Tag, Vm, VmState, Write, client::Client};
use curranthook_settings::{Document, document::ROW, node};
use curranthook_standin::platform::count::Counts;
use curranthook_types::Epoch;
use serde::Deserialize;

use crate::{
    bench::Bench,
    document::{domain_name, site_name},
    usage::Usage,
};

/// Secret shared by peers; a fixed value, as measurements protect no data.
const PEER_KEY: [u8; 32] = [9; 32];
/// Maximum number of running nodes that a new node gets as seeds.
const MAX_SEEDS: usize = 2;
/// Listen address on which the system chooses a free port.
const LOOPBACK: &str = "127.0.0.1:0";

/// The processes that a node consists of.
#[derive(Debug, Clone, PartialEq)]
pub enum Kind {
    /// The peer component of a router as a separate program, with extra command-line arguments.
    Peer(Vec<String>),
    /// A router process.
    Router,
    /// A router and a steward process.
    Vm,
}

/// Distribution of nodes over sites and failure domains.
#[derive(Debug, Clone, Copy)]
pub struct Layout {
    /// Number of sites.
    pub n_sites: usize,
    /// Number of failure domains, distributed over the sites.
    pub n_domains: usize,
}

/// The running processes of a node.
#[derive(Debug)]
pub struct Node {
    /// The router, or the stand-alone peer program.
    pub process: Process,
    /// The steward on the same VM, if any.
    pub steward: Option<Process>,
    vm: Vm,
    status_address: SocketAddr,
}

/// The peer section of a node's `GET /status` response.
#[derive(Debug, Clone, Deserialize)]
pub struct Status {
    /// Newest configuration epoch that the node has.
    pub epoch: Epoch,
    /// The node's membership view.
    pub view: View,
    /// Number of its bill lines that are not stored yet.
    pub journal_lines: usize,
    /// All metrics counters by name.
    pub counters: BTreeMap<String, u64>,
}

/// A node's view of the membership.
#[derive(Debug, Clone, Deserialize)]
pub struct View {
    /// Peers that the node can reach.
    pub alive: Vec<Contact>,
}

/// A reachable peer.
#[derive(Debug, Clone, Deserialize)]
pub struct Contact {
    /// Identity of the peer.
    pub identity: Identity,
}

/// A platform with its nodes and published configuration.
#[derive(Debug)]
pub struct Cluster<'a> {
    bench: &'a Bench,
    layout: Layout,
    /// The stand-in platform process.
    pub platform: Process,
    /// Running nodes.
    pub nodes: Vec<Node>,
    /// The currently published configuration.
    pub document: Document,
    tag: Tag,
    n_started: usize,
}

impl<'a> Cluster<'a> {
    /// Starts a stand-in platform and publishes `document`.
    pub async fn start(
        bench: &'a Bench,
        layout: Layout,
        document: Document,
    ) -> anyhow::Result<Self> {
        let args = ["--listen", LOOPBACK].map(str::to_owned);
        let platform = bench.spawn("standin-platform", "platform", &args)?;
        let table = Client::new(platform.addr("http"), Arc::clone(&bench.pool));
        let text = serde_json::to_vec(&document)?;
        let Write::Done(tag) = table.insert(ROW.0, ROW.1, text.into()).await? else {
            bail!("the new platform already has a configuration");
        };
        let nodes = Vec::new();
        Ok(Self { bench, layout, platform, nodes, document, tag, n_started: 0 })
    }

    /// Starts `n` more nodes and adds them to the VM list.
    pub async fn add_nodes(&mut self, n: usize, kind: &Kind) -> anyhow::Result<()> {
        for _ in 0..n {
            self.start_node(kind)?;
        }
        self.publish_vm_list().await
    }

    /// Publishes `document` and returns the time at which it was accepted.
    pub async fn publish(&mut self, document: Document) -> anyhow::Result<Instant> {
        let table = Client::new(self.platform.addr("http"), Arc::clone(&self.bench.pool));
        let text = serde_json::to_vec(&document)?;
        match table.replace(ROW.0, ROW.1, &self.tag, text.into()).await? {
            Write::Done(tag) => self.tag = tag,
            Write::Conflict => {
                bail!("publication conflict: the configuration was changed by another writer")
            }
        }
        self.document = document;
        Ok(Instant::now())
    }

    /// Seconds from `accepted` until each node had the published epoch; fails after `limit`.
    pub async fn propagation_times(
        &self,
        accepted: Instant,
        limit: Duration,
    ) -> anyhow::Result<Vec<f64>> {
        /// Interval of status queries, which limits the resolution of the measured times.
        const POLL_INTERVAL: Duration = Duration::from_millis(40);
        let mut missing: Vec<usize> = (0..self.nodes.len()).collect();
        let mut times = Vec::new();
        while !missing.is_empty() {
            if limit < accepted.elapsed() {
                bail!(
                    "{} nodes did not receive the published epoch within {limit:?}",
                    missing.len()
                );
            }
            let mut still_missing = Vec::new();
            for index in missing {
                if self.status(&self.nodes[index]).await?.epoch < self.document.epoch {
                    still_missing.push(index);
                } else {
                    times.push(accepted.elapsed().as_secs_f64());
                }
            }
            missing = still_missing;
            Timer::after(POLL_INTERVAL).await;
        }
        Ok(times)
    }

    /// Reads the peer status of a node.
    pub async fn status(&self, node: &Node) -> anyhow::Result<Status> {
        if node.status_address == node.vm.address {
            return self.bench.get_json(node.status_address, "/status").await;
        }
        let mut status: serde_json::Value =
            self.bench.get_json(node.status_address, "/status").await?;
        Ok(serde_json::from_value(status["peers"].take())?)
    }

    /// Reads the peer status of every node.
    pub async fn statuses(&self) -> anyhow::Result<Vec<Status>> {
        let mut statuses = Vec::new();
        for node in &self.nodes {
            statuses.push(self.status(node).await?);
        }
        Ok(statuses)
    }

    /// Request counts of the platform.
    pub async fn counts(&self) -> anyhow::Result<Counts> {
        self.bench.get_json(self.platform.addr("http"), "/control/counts").await
    }

    /// CPU time and memory of each node's router.
    pub fn usages(&self) -> anyhow::Result<Vec<Usage>> {
        self.nodes.iter().map(|it| Usage::of_process(it.process.id())).collect()
    }

    /// Sets the faults that the platform injects.
    pub async fn set_faults(&self, faults: &serde_json::Value) -> anyhow::Result<()> {
        self.bench.put_json(self.platform.addr("http"), "/control/faults", faults).await
    }

    /// Request ids of the bill lines in the object store.
    pub async fn stored_bill_lines(&self) -> anyhow::Result<BTreeSet<String>> {
        let addr = self.platform.addr("http");
        let objects = self.bench.get_json::<serde_json::Value>(addr, "/control/objects").await?;
        Ok(curranthook_load::evidence::bills(&parse_objects(objects)?)
            .into_iter()
            .map(|it| it.request.to_string())
            .collect())
    }

    /// Kills the nodes at these indices without a graceful shutdown, as simultaneously as
    /// possible, and returns their peer addresses.
    pub fn kill(&mut self, indices: &BTreeSet<usize>) -> Vec<SocketAddr> {
        let nodes = std::mem::take(&mut self.nodes).into_iter().enumerate();
        let (dead, alive): (Vec<_>, Vec<_>) = nodes.partition(|(index, _)| indices.contains(index));
        self.nodes = alive.into_iter().map(|(_, it)| it).collect();
        let addrs = dead.iter().map(|(_, it)| it.vm.address).collect();
        for (_, mut node) in dead {
            node.process.kill();
        }
        addrs
    }

    /// Publishes a VM list of the running nodes.
    pub async fn publish_vm_list(&self) -> anyhow::Result<()> {
        let vms: Vec<&Vm> = self.nodes.iter().map(|it| &it.vm).collect();
        self.bench.put_json(self.platform.addr("http"), "/control/vms", &vms).await
    }

    /// Publishes a VM list of the running nodes, padded with nodes and endpoints that do not run,
    /// to `n_entries` nodes and `n_endpoints` endpoints.
    pub async fn publish_padded_vm_list(
        &self,
        n_entries: usize,
        n_endpoints: usize,
    ) -> anyhow::Result<()> {
        let running = self.nodes.iter().map(|it| it.vm.clone());
        let n_missing = n_entries.saturating_sub(self.nodes.len());
        let entries = (0..n_missing).map(|it| unreachable_vm(it, Role::Entry));
        let endpoints = n_missing..n_missing + n_endpoints;
        let endpoints = endpoints.map(|it| unreachable_vm(it, Role::Endpoint));
        let vms: Vec<Vm> = running.chain(entries).chain(endpoints).collect();
        self.bench.put_json(self.platform.addr("http"), "/control/vms", &vms).await
    }

    /// Address at which a node accepts connections from peers.
    pub fn peer_addr(&self, index: usize) -> SocketAddr {
        self.nodes[index].vm.address
    }

    /// Stops all processes; the platform last, so that the final bill lines can be stored.
    pub fn close(mut self) {
        let stewards: Vec<_> = self.nodes.iter_mut().filter_map(|it| it.steward.take()).collect();
        let routers: Vec<_> = self.nodes.into_iter().map(|it| it.process).collect();
        for group in [stewards, routers] {
            group.iter().for_each(Process::request_stop);
            group.into_iter().for_each(Process::close);
        }
        self.platform.close();
    }

    /// Starts one more node without adding it to the VM list.
    pub fn start_node(&mut self, kind: &Kind) -> anyhow::Result<()> {
        let index = self.n_started;
        self.n_started += 1;
        let settings = self.settings(index)?;
        let path = self.bench.work_dir.join(format!("vm-{index}.yaml"));
        std::fs::write(&path, settings_yaml(&settings)?).context("writing a node's settings")?;
        let mut args = vec!["--settings".to_owned(), path.display().to_string()];
        let process = match kind {
            Kind::Peer(extra) => {
                args.extend(extra.iter().cloned());
                self.bench.spawn("curranthook-peer", &format!("peer-{index}"), &args)?
            }
            Kind::Router | Kind::Vm => {
                self.bench.spawn("curranthook-router", &format!("router-{index}"), &args)?
            }
        };
        let address = process.addr("peers");
        let status_address = process.listening().get("callers").copied().unwrap_or(address);
        let steward = match kind {
            Kind::Vm => {
                args.extend(["--router".to_owned(), address.to_string()]);
                let name = format!("steward-{index}");
                Some(self.bench.spawn("curranthook-steward", &name, &args)?)
            }
            Kind::Peer(_) | Kind::Router => None,
        };
        let vm = Vm {
            id: settings.vm,
            address,
            failure_domain: settings.failure_domain,
            state: VmState::Live,
            role: Role::Entry,
        };
        self.nodes.push(Node { process, steward, vm, status_address });
        Ok(())
    }

    fn settings(&self, index: usize) -> anyhow::Result<node::Settings> {
        let any: SocketAddr = LOOPBACK.parse()?;
        let platform = self.platform.addr("http");
        let domain = index % self.layout.n_domains;
        Ok(node::Settings {
            vm: vm_name(index).as_str().into(),
            site: site_name(domain % self.layout.n_sites).as_str().into(),
            failure_domain: domain_name(domain).as_str().into(),
            listen: any,
            peer_listen: any,
            steward_listen: any,
            platform: node::Platform { table: platform, objects: platform, vms: platform },
            peer_address: None,
            seeds: self.nodes.iter().take(MAX_SEEDS).map(|it| it.vm.address).collect(),
            peer_key: PEER_KEY.to_vec(),
            statsd: None,
            threads: 1,
        })
    }
}

/// The name of the `n`th VM.
pub fn vm_name(n: usize) -> String {
    format!("vm-{n:04}")
}

/// A VM with a loopback address that is distinct for each `n` and at which nothing listens.
fn unreachable_vm(n: usize, role: Role) -> Vm {
    /// The discard port, on which nothing listens.
    const DISCARD_PORT: u16 = 9;
    let octet = |it: usize| u8::try_from(it % 250 + 1).expect("it's less than 251");
    let address =
        SocketAddr::from(([127, 1 + octet(n / 62_500), octet(n / 250), octet(n)], DISCARD_PORT));
    Vm {
        id: format!("absent-{n:05}").as_str().into(),
        address,
        failure_domain: domain_name(n % 3).as_str().into(),
        state: VmState::Live,
        role,
    }
}

/// Increase of the counter `name`, summed over all nodes.
pub fn counter_increase(before: &[Status], after: &[Status], name: &str) -> f64 {
    let sum = |all: &[Status]| -> u64 {
        all.iter().map(|it| it.counters.get(name).copied().unwrap_or(0)).sum()
    };
    sum(after) as f64 - sum(before) as f64
}

/// Formats settings as an operator would write them: keys without a value are omitted.
fn settings_yaml(settings: &node::Settings) -> anyhow::Result<String> {
    let mut value = serde_json::to_value(settings)?;
    if let Some(map) = value.as_object_mut() {
        map.retain(|_, it| !it.is_null());
    }
    Ok(serde_saphyr::to_string(&value)?)
}

fn parse_objects(objects: serde_json::Value) -> anyhow::Result<BTreeMap<String, String>> {
    Ok(serde_json::from_value(objects)?)
}
