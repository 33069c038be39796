//! A platform and many nodes as real processes.

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

/// A secret between peers; a measurement guards nothing.
const PEER_KEY: [u8; 32] = [9; 32];
/// How many nodes that run already a new one is told of.
const N_SEEDS: usize = 2;
const LOOPBACK: &str = "127.0.0.1:0";

/// What a node is.
#[derive(Debug, Clone, PartialEq)]
pub enum Kind {
    /// The part of a router that acts together with others, without a router; with arguments.
    Peer(Vec<String>),
    /// A router.
    Router,
    /// A router and a steward.
    Vm,
}

/// How nodes are placed.
#[derive(Debug, Clone, Copy)]
pub struct Layout {
    /// How many sites there are.
    pub n_sites: usize,
    /// How many failure domains, dealt out to the sites.
    pub n_domains: usize,
}

/// A node's processes.
#[derive(Debug)]
pub struct Node {
    /// The router, or the peer program.
    pub process: Process,
    /// The steward beside it.
    pub steward: Option<Process>,
    vm: Vm,
    status: SocketAddr,
}

/// What `GET /status` of a node says of it as a peer.
#[derive(Debug, Clone, Deserialize)]
pub struct Status {
    /// The newest epoch.
    pub epoch: Epoch,
    /// What it sees.
    pub view: View,
    /// Its bill lines that aren't stored.
    pub journal_lines: usize,
    /// All counters.
    pub counters: BTreeMap<String, u64>,
}

/// What a node sees of others.
#[derive(Debug, Clone, Deserialize)]
pub struct View {
    /// Those it reaches.
    pub alive: Vec<Contact>,
}

/// A peer that a node reaches.
#[derive(Debug, Clone, Deserialize)]
pub struct Contact {
    /// Who it is.
    pub identity: Identity,
}

/// The whole.
#[derive(Debug)]
pub struct Cluster<'a> {
    bench: &'a Bench,
    layout: Layout,
    /// The platform.
    pub platform: Process,
    /// The nodes.
    pub nodes: Vec<Node>,
    /// What is published.
    pub document: Document,
    tag: Tag,
    n_started: usize,
}

impl<'a> Cluster<'a> {
    /// Starts a platform and publishes `document`.
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
            bail!("a fresh platform has a configuration already");
        };
        let nodes = Vec::new();
        Ok(Self { bench, layout, platform, nodes, document, tag, n_started: 0 })
    }

    /// Starts `n` more nodes and puts them on the VM list.
    pub async fn add(&mut self, n: usize, kind: &Kind) -> anyhow::Result<()> {
        for _ in 0..n {
            self.add_one(kind)?;
        }
        self.list().await
    }

    /// Publishes `document`; when that was accepted.
    pub async fn publish(&mut self, document: Document) -> anyhow::Result<Instant> {
        let table = Client::new(self.platform.addr("http"), Arc::clone(&self.bench.pool));
        let text = serde_json::to_vec(&document)?;
        match table.replace(ROW.0, ROW.1, &self.tag, text.into()).await? {
            Write::Done(tag) => self.tag = tag,
            Write::Conflict => bail!("someone else has published"),
        }
        self.document = document;
        Ok(Instant::now())
    }

    /// How long after `accepted` each node had the published epoch; stops waiting at `limit`.
    pub async fn spread(&self, accepted: Instant, limit: Duration) -> anyhow::Result<Vec<f64>> {
        const PAUSE: Duration = Duration::from_millis(40);
        let mut missing: Vec<usize> = (0..self.nodes.len()).collect();
        let mut times = Vec::new();
        while !missing.is_empty() {
            if limit < accepted.elapsed() {
                bail!("{} nodes don't have the epoch after {limit:?}", missing.len());
            }
            let mut still = Vec::new();
            for at in missing {
                if self.status(&self.nodes[at]).await?.epoch < self.document.epoch {
                    still.push(at);
                } else {
                    times.push(accepted.elapsed().as_secs_f64());
                }
            }
            missing = still;
            Timer::after(PAUSE).await;
        }
        Ok(times)
    }

    /// What a node says of itself.
    pub async fn status(&self, node: &Node) -> anyhow::Result<Status> {
        if node.status == node.vm.address {
            return self.bench.get(node.status, "/status").await;
        }
        let mut status: serde_json::Value = self.bench.get(node.status, "/status").await?;
        Ok(serde_json::from_value(status["peers"].take())?)
    }

    /// What each node says of itself.
    pub async fn statuses(&self) -> anyhow::Result<Vec<Status>> {
        let mut all = Vec::new();
        for node in &self.nodes {
            all.push(self.status(node).await?);
        }
        Ok(all)
    }

    /// What the platform was asked.
    pub async fn counts(&self) -> anyhow::Result<Counts> {
        self.bench.get(self.platform.addr("http"), "/control/counts").await
    }

    /// What each node's router has used.
    pub fn usages(&self) -> anyhow::Result<Vec<Usage>> {
        self.nodes.iter().map(|it| Usage::of(it.process.id())).collect()
    }

    /// Sets the platform's faults.
    pub async fn set_faults(&self, faults: &serde_json::Value) -> anyhow::Result<()> {
        self.bench.put(self.platform.addr("http"), "/control/faults", faults).await
    }

    /// The bill lines in the object store, as request ids.
    pub async fn stored_lines(&self) -> anyhow::Result<BTreeSet<String>> {
        let addr = self.platform.addr("http");
        let objects = self.bench.get::<serde_json::Value>(addr, "/control/objects").await?;
        Ok(curranthook_load::evidence::bills(&objects_of(objects)?)
            .into_iter()
            .map(|it| it.request.to_string())
            .collect())
    }

    /// Kills the nodes at these places without a word, all at once as far as one can.
    pub fn kill(&mut self, places: &BTreeSet<usize>) -> Vec<SocketAddr> {
        let nodes = std::mem::take(&mut self.nodes).into_iter().enumerate();
        let (dead, alive): (Vec<_>, Vec<_>) = nodes.partition(|(at, _)| places.contains(at));
        self.nodes = alive.into_iter().map(|(_, it)| it).collect();
        let addrs = dead.iter().map(|(_, it)| it.vm.address).collect();
        for (_, mut node) in dead {
            node.process.kill();
        }
        addrs
    }

    /// Puts the nodes that run on the VM list.
    pub async fn list(&self) -> anyhow::Result<()> {
        let vms: Vec<&Vm> = self.nodes.iter().map(|it| &it.vm).collect();
        self.bench.put(self.platform.addr("http"), "/control/vms", &vms).await
    }

    /// Puts the nodes that run on the VM list, and beside them nodes and endpoints that don't, as
    /// many as are needed for `n_entries` and `n_endpoints`.
    pub async fn list_more(&self, n_entries: usize, n_endpoints: usize) -> anyhow::Result<()> {
        let running = self.nodes.iter().map(|it| it.vm.clone());
        let n_missing = n_entries.saturating_sub(self.nodes.len());
        let entries = (0..n_missing).map(|it| absent_vm(it, Role::Entry));
        let endpoints = n_missing..n_missing + n_endpoints;
        let endpoints = endpoints.map(|it| absent_vm(it, Role::Endpoint));
        let vms: Vec<Vm> = running.chain(entries).chain(endpoints).collect();
        self.bench.put(self.platform.addr("http"), "/control/vms", &vms).await
    }

    /// Where a node takes calls of peers.
    pub fn peer_addr(&self, at: usize) -> SocketAddr {
        self.nodes[at].vm.address
    }

    /// Stops everything; the platform last, so that the last bill lines find it.
    pub fn close(mut self) {
        let stewards: Vec<_> = self.nodes.iter_mut().filter_map(|it| it.steward.take()).collect();
        let routers: Vec<_> = self.nodes.into_iter().map(|it| it.process).collect();
        for group in [stewards, routers] {
            group.iter().for_each(Process::request_stop);
            group.into_iter().for_each(Process::close);
        }
        self.platform.close();
    }

    /// Starts one more node; the VM list doesn't name it yet.
    pub fn add_one(&mut self, kind: &Kind) -> anyhow::Result<()> {
        let place = self.n_started;
        self.n_started += 1;
        let settings = self.settings(place)?;
        let path = self.bench.work_dir.join(format!("vm-{place}.yaml"));
        std::fs::write(&path, settings_text(&settings)?).context("writing a node's settings")?;
        let mut args = vec!["--settings".to_owned(), path.display().to_string()];
        let process = match kind {
            Kind::Peer(extra) => {
                args.extend(extra.iter().cloned());
                self.bench.spawn("curranthook-peer", &format!("peer-{place}"), &args)?
            }
            Kind::Router | Kind::Vm => {
                self.bench.spawn("curranthook-router", &format!("router-{place}"), &args)?
            }
        };
        let address = process.addr("peers");
        let status = process.listening().get("callers").copied().unwrap_or(address);
        let steward = match kind {
            Kind::Vm => {
                args.extend(["--router".to_owned(), address.to_string()]);
                let name = format!("steward-{place}");
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
        self.nodes.push(Node { process, steward, vm, status });
        Ok(())
    }

    fn settings(&self, place: usize) -> anyhow::Result<node::Settings> {
        let any: SocketAddr = LOOPBACK.parse()?;
        let platform = self.platform.addr("http");
        let domain = place % self.layout.n_domains;
        Ok(node::Settings {
            vm: vm_name(place).as_str().into(),
            site: site_name(domain % self.layout.n_sites).as_str().into(),
            failure_domain: domain_name(domain).as_str().into(),
            listen: any,
            peer_listen: any,
            steward_listen: any,
            platform: node::Platform { table: platform, objects: platform, vms: platform },
            peer_address: None,
            seeds: self.nodes.iter().take(N_SEEDS).map(|it| it.vm.address).collect(),
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

/// A VM at an address where nobody listens.
fn absent_vm(n: usize, role: Role) -> Vm {
    const PORT: u16 = 9;
    let octet = |it: usize| u8::try_from(it % 250 + 1).expect("it's less than 251");
    let address = SocketAddr::from(([127, 1 + octet(n / 62_500), octet(n / 250), octet(n)], PORT));
    Vm {
        id: format!("absent-{n:05}").as_str().into(),
        address,
        failure_domain: domain_name(n % 3).as_str().into(),
        state: VmState::Live,
        role,
    }
}

/// The growth of a counter over all nodes.
pub fn growth(before: &[Status], after: &[Status], name: &str) -> f64 {
    let sum = |all: &[Status]| -> u64 {
        all.iter().map(|it| it.counters.get(name).copied().unwrap_or(0)).sum()
    };
    sum(after) as f64 - sum(before) as f64
}

/// The settings as an operator would write them: a key without a value is left out.
fn settings_text(settings: &node::Settings) -> anyhow::Result<String> {
    let mut value = serde_json::to_value(settings)?;
    if let Some(map) = value.as_object_mut() {
        map.retain(|_, it| !it.is_null());
    }
    Ok(serde_saphyr::to_string(&value)?)
}

fn objects_of(objects: serde_json::Value) -> anyhow::Result<BTreeMap<String, String>> {
    Ok(serde_json::from_value(objects)?)
}
