//! What a site is made of.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use curranthook_platform::{Table, Write};
use curranthook_settings::{
    Config, Document,
    config::{Endpoint, Kind},
    document, node,
};
use curranthook_standin::engine::profile::{Profile, Version};
use curranthook_types::Epoch;

use crate::standin::{Engine, Platform, Proxy, Rater, Service};

use super::{Edit, NAME, Site, config, offer};

/// A site to be started.
#[derive(Debug, Default)]
pub struct Builder {
    engines: Vec<(String, Vec<String>)>,
    profiles: BTreeMap<String, Profile>,
    checks_fencing: Vec<String>,
    services: Vec<(String, String)>,
    accounts: Vec<String>,
    rater_noise: Option<f64>,
    is_proxied: bool,
    n_routers: usize,
    n_stewards: usize,
    platform_args: Vec<String>,
    steward_args: Vec<String>,
    config: Vec<Edit<Config>>,
    node: Vec<Edit<node::Settings>>,
}

impl Builder {
    /// Adds a cascade: `m@1`, cheap and poor, at the engine `cheap`, before `m@2`, dear and good,
    /// at `dear`. Ratings come at once, and work of the kind `summary` needs what only `m@2`
    /// reaches, so each answer of `m@1` is followed by the question whether to ask `m@2`.
    pub fn poor_cascade(self) -> Self {
        let poor = Version { quality: 0.0, ..Version::default() };
        self.engine("cheap", &["m@1"])
            .engine("dear", &["m@2"])
            .profile("cheap", Profile { default: poor, ..Profile::default() })
            .rater(0.0)
            .config(|config| {
                for (id, price, quality) in [("m@1", 10, 0.6), ("m@2", 1_000, 0.99)] {
                    offer(config, id, price, quality);
                }
                config.kinds.insert("summary".into(), Kind { quality: 0.7, priority: 0 });
            })
    }

    /// Adds an engine that serves `versions`.
    pub fn engine(mut self, id: &str, versions: &[&str]) -> Self {
        let versions = versions.iter().map(|&it| it.to_owned()).collect();
        self.engines.push((id.to_owned(), versions));
        self
    }

    /// Sets how fast and how good an engine is.
    pub fn profile(mut self, id: &str, profile: Profile) -> Self {
        self.profiles.insert(id.to_owned(), profile);
        self
    }

    /// Makes an engine refuse orders with an old fencing number.
    pub fn checks_fencing(mut self, id: &str) -> Self {
        self.checks_fencing.push(id.to_owned());
        self
    }

    /// Adds the endpoint `id` of the plain service `service`; `GET` may be repeated.
    pub fn service(mut self, id: &str, service: &str) -> Self {
        self.services.push((id.to_owned(), service.to_owned()));
        self
    }

    /// Adds an account that may use everything. Without any there is one named `main`.
    pub fn account(mut self, name: &str) -> Self {
        self.accounts.push(name.to_owned());
        self
    }

    /// Adds a rater that errs with probability `noise`.
    pub fn rater(self, noise: f64) -> Self {
        Self { rater_noise: Some(noise), ..self }
    }

    /// Sets how many routers there are, named `r1`, `r2` and so on after their VMs.
    pub fn routers(self, n: usize) -> Self {
        Self { n_routers: n, ..self }
    }

    /// Sets how many stewards there are, on VMs named like those of the routers.
    pub fn stewards(self, n: usize) -> Self {
        Self { n_stewards: n, ..self }
    }

    /// Puts every link behind the fault proxy; [`Site`] lists their names.
    pub fn behind_proxy(self) -> Self {
        Self { is_proxied: true, ..self }
    }

    /// Passes arguments to the platform, such as its limits.
    pub fn platform_args(mut self, args: &[&str]) -> Self {
        self.platform_args.extend(args.iter().map(|&it| it.to_owned()));
        self
    }

    /// Passes arguments to the stewards, such as how long a stage of a roll-out lasts.
    pub fn steward_args(mut self, args: &[&str]) -> Self {
        self.steward_args.extend(args.iter().map(|&it| it.to_owned()));
        self
    }

    /// Edits the site's configuration before it is published.
    pub fn config(mut self, edit: impl Fn(&mut Config) + Send + Sync + 'static) -> Self {
        self.config.push(Edit(Box::new(edit)));
        self
    }

    /// Edits the settings of each VM before its processes start.
    pub fn node(mut self, edit: impl Fn(&mut node::Settings) + Send + Sync + 'static) -> Self {
        self.node.push(Edit(Box::new(edit)));
        self
    }

    /// Starts everything, publishes the configuration and waits until all routers are ready.
    pub async fn start(mut self) -> anyhow::Result<Site> {
        let mut site = self.start_standins()?;
        let config = self.merged_config(&site).await?;
        publish(&site, config).await?;
        let vms: Vec<_> = (1..=self.n_routers).map(|n| format!("r{n}")).collect();
        for vm in &vms {
            site.launch_router(vm).await?;
            // Each router finds those before it in the list when it starts.
            site.publish_vms(&[]).await?;
        }
        for vm in &vms {
            site.wait_ready(vm).await?;
        }
        for n in 1..=self.n_stewards {
            site.start_steward(&format!("r{n}")).await?;
        }
        Ok(site)
    }

    fn start_standins(&mut self) -> anyhow::Result<Site> {
        let directory = tempfile::tempdir()?;
        let path = directory.path();
        let args: Vec<_> = self.platform_args.iter().map(String::as_str).collect();
        let platform = Platform::start(path, &args)?;
        let proxy = if self.is_proxied { Some(Proxy::start(path)?) } else { None };
        let rater = self.rater_noise.map(|noise| Rater::start(path, noise)).transpose()?;
        let mut engines = BTreeMap::new();
        for (id, versions) in &self.engines {
            let profile = self.profiles.get(id).cloned().unwrap_or_default();
            let args: &[&str] =
                if self.checks_fencing.contains(id) { &["--checks-fencing"] } else { &[] };
            engines.insert(id.clone(), Engine::start(path, id, versions, &profile, args)?);
        }
        let mut services = BTreeMap::new();
        for (id, _) in &self.services {
            services.insert(id.clone(), Service::start(path, id)?);
        }
        Ok(Site {
            platform,
            proxy,
            engines,
            services,
            rater,
            routers: BTreeMap::new(),
            stewards: BTreeMap::new(),
            fronts: BTreeMap::new(),
            node: std::mem::take(&mut self.node),
            steward_args: std::mem::take(&mut self.steward_args),
            directory,
        })
    }

    async fn merged_config(&self, site: &Site) -> anyhow::Result<Config> {
        let mut all = config::empty();
        for (id, versions) in &self.engines {
            let addr = site.through(&format!("endpoint/{id}"), site.engine(id).addr()).await?;
            for version in versions {
                all.versions.entry(version.as_str().into()).or_insert_with(config::version);
            }
            let endpoint = Endpoint {
                versions: versions.iter().map(|it| it.as_str().into()).collect(),
                checks_fencing: self.checks_fencing.contains(id),
                slots: self.profiles.get(id).map_or(Profile::default().slots, |it| it.slots),
                ..endpoint(id, addr)
            };
            all.endpoints.insert(id.as_str().into(), endpoint);
        }
        for (id, service) in &self.services {
            let addr = site.through(&format!("endpoint/{id}"), site.service(id).addr()).await?;
            let entry = all.services.entry(service.clone()).or_default();
            entry.repeatable.insert("GET".to_owned());
            let endpoint = Endpoint { service: Some(service.clone()), ..endpoint(id, addr) };
            all.endpoints.insert(id.as_str().into(), endpoint);
        }
        if let Some(rater) = &site.rater {
            all.rater = Some(site.through("rater", rater.addr()).await?);
        }
        let main = ["main".to_owned()];
        let accounts = if self.accounts.is_empty() { &main[..] } else { &self.accounts };
        for name in accounts {
            all.accounts.insert(name.as_str().into(), config::account(name, &all));
        }
        for edit in &self.config {
            (edit.0)(&mut all);
        }
        Ok(all)
    }
}

/// An endpoint that serves nothing yet.
fn endpoint(id: &str, address: SocketAddr) -> Endpoint {
    Endpoint {
        address,
        failure_domain: config::failure_domain(id),
        versions: BTreeSet::new(),
        service: None,
        checks_fencing: false,
        slots: Profile::default().slots,
    }
}

async fn publish(site: &Site, config: Config) -> anyhow::Result<()> {
    let document = Document {
        epoch: Epoch(1),
        by: "test".to_owned(),
        sites: BTreeMap::from([(NAME.into(), config)]),
        ..Document::default()
    };
    let (table, key) = document::ROW;
    let value = serde_json::to_vec(&document)?;
    match site.platform.client().insert(table, key, value.into()).await? {
        Write::Done(_) => Ok(()),
        Write::Conflict => anyhow::bail!("something is published already"),
    }
}
