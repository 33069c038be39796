//! The stand-ins as processes, with their control.

use std::{collections::BTreeMap, net::SocketAddr, path::Path, sync::Arc};

use anyhow::ensure;
use bytes::Bytes;
use curranthook_http::Exchange;
use curranthook_platform::client;
use curranthook_standin::{
    engine::{order, profile::Profile, record},
    platform::{count, fault},
    proxy::{NewLink, link},
    rater, service,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{Process, pool};

/// A row of the platform's table.
#[derive(Debug, Clone, Deserialize)]
pub struct Row {
    /// Its key within the table.
    pub key: String,
    /// Its state.
    pub tag: String,
    /// Its value.
    pub value: String,
}

async fn get<T: DeserializeOwned>(addr: SocketAddr, path: &str) -> anyhow::Result<T> {
    let res = Exchange::get(addr, path).run(pool()).await?;
    read(path, &res)
}

async fn put<T: DeserializeOwned>(
    addr: SocketAddr,
    path: &str,
    value: &impl Serialize,
) -> anyhow::Result<T> {
    let res = Exchange::put(addr, path).with_json(value).run(pool()).await?;
    read(path, &res)
}

fn read<T: DeserializeOwned>(path: &str, res: &http::Response<Bytes>) -> anyhow::Result<T> {
    let text = String::from_utf8_lossy(res.body());
    ensure!(res.status().is_success(), "{path}: {} {text}", res.status());
    Ok(serde_json::from_str(&text)?)
}

/// The platform.
#[derive(Debug)]
pub struct Platform {
    /// The process.
    pub process: Process,
}

impl Platform {
    /// Starts it.
    pub fn start(directory: &Path, args: &[&str]) -> anyhow::Result<Self> {
        let process = Process::start(directory, "platform", "standin-platform", args)?;
        Ok(Self { process })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.process.addr("http")
    }

    /// A client that goes straight to it, past any proxy.
    pub fn client(&self) -> client::Client {
        client::Client::new(self.addr(), Arc::clone(pool()))
    }

    /// Puts faults in force; what is left out works again.
    pub async fn set(&self, faults: &fault::Faults) -> anyhow::Result<()> {
        put(self.addr(), "/control/faults", faults).await
    }

    /// Makes everything work again.
    pub async fn mend(&self) -> anyhow::Result<()> {
        self.set(&fault::Faults::default()).await
    }

    /// Sets the true list of VMs.
    pub async fn set_vms(&self, vms: &[curranthook_platform::Vm]) -> anyhow::Result<()> {
        put(self.addr(), "/control/vms", &vms).await
    }

    /// The rows of a table.
    pub async fn rows(&self, table: &str) -> anyhow::Result<Vec<Row>> {
        get(self.addr(), &format!("/control/table/{table}")).await
    }

    /// The objects as text.
    pub async fn objects(&self) -> anyhow::Result<BTreeMap<String, String>> {
        get(self.addr(), "/control/objects").await
    }

    /// The calls counted so far.
    pub async fn counts(&self) -> anyhow::Result<count::Counts> {
        get(self.addr(), "/control/counts").await
    }
}

/// A model engine.
#[derive(Debug)]
pub struct Engine {
    /// The process.
    pub process: Process,
}

impl Engine {
    /// Starts it with `versions` loaded.
    pub fn start(
        directory: &Path,
        id: &str,
        versions: &[String],
        profile: &Profile,
        args: &[&str],
    ) -> anyhow::Result<Self> {
        let path = directory.join(format!("{id}.yaml"));
        // JSON is YAML too.
        std::fs::write(&path, serde_json::to_string(profile)?)?;
        let (versions, path) = (versions.join(","), path.display().to_string());
        let mut all = vec!["--id", id, "--versions", &versions, "--profile", &path];
        all.extend(args);
        Ok(Self { process: Process::start(directory, id, "standin-engine", &all)? })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.process.addr("http")
    }

    /// Puts faults in force; what is left out works again.
    pub async fn set(
        &self,
        faults: &curranthook_standin::engine::faults::Faults,
    ) -> anyhow::Result<()> {
        put(self.addr(), "/control/faults", faults).await
    }

    /// What it ran.
    pub async fn runs(&self) -> anyhow::Result<Vec<record::Run>> {
        get(self.addr(), "/control/record").await
    }

    /// The orders that it was given.
    pub async fn orders(&self) -> anyhow::Result<Vec<order::Entry>> {
        get(self.addr(), "/control/orders").await
    }

    /// The versions that are loaded.
    pub async fn versions(&self) -> anyhow::Result<Vec<String>> {
        get(self.addr(), "/control/versions").await
    }
}

/// A plain service.
#[derive(Debug)]
pub struct Service {
    /// The process.
    pub process: Process,
}

impl Service {
    /// Starts it.
    pub fn start(directory: &Path, id: &str) -> anyhow::Result<Self> {
        let args = ["--id", id];
        Ok(Self { process: Process::start(directory, id, "standin-service", &args)? })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.process.addr("http")
    }

    /// Puts faults in force; what is left out works again.
    pub async fn set(&self, faults: &service::Faults) -> anyhow::Result<()> {
        put(self.addr(), "/control/faults", faults).await
    }

    /// The calls that it ran.
    pub async fn calls(&self) -> anyhow::Result<Vec<service::Call>> {
        get(self.addr(), "/control/record").await
    }
}

/// The service that rates answers.
#[derive(Debug)]
pub struct Rater {
    /// The process.
    pub process: Process,
}

impl Rater {
    /// Starts it; it errs with probability `noise`.
    pub fn start(directory: &Path, noise: f64) -> anyhow::Result<Self> {
        let args = ["--noise", &noise.to_string()];
        Ok(Self { process: Process::start(directory, "rater", "standin-rater", &args)? })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.process.addr("http")
    }

    /// Puts faults in force; what is left out works again.
    pub async fn set(&self, faults: &rater::Faults) -> anyhow::Result<()> {
        put(self.addr(), "/control/faults", faults).await
    }

    /// The ratings counted so far.
    pub async fn counts(&self) -> anyhow::Result<rater::Counts> {
        get(self.addr(), "/control/counts").await
    }
}

/// The fault proxy.
#[derive(Debug)]
pub struct Proxy {
    /// The process.
    pub process: Process,
}

impl Proxy {
    /// Starts it without links.
    pub fn start(directory: &Path) -> anyhow::Result<Self> {
        Ok(Self { process: Process::start(directory, "proxy", "standin-proxy", &[])? })
    }

    fn addr(&self) -> SocketAddr {
        self.process.addr("control")
    }

    /// Opens a link to `target` and returns where it listens.
    pub async fn open(&self, name: &str, target: SocketAddr) -> anyhow::Result<SocketAddr> {
        #[derive(Debug, Deserialize)]
        struct Opened {
            listen: SocketAddr,
        }
        let link = NewLink { name: name.to_owned(), target };
        let res = Exchange::post(self.addr(), "/links").with_json(&link).run(pool()).await?;
        Ok(read::<Opened>("/links", &res)?.listen)
    }

    /// Puts a fault of a link in force; what is left out works again.
    pub async fn set(&self, name: &str, fault: &link::Fault) -> anyhow::Result<link::Status> {
        put(self.addr(), &format!("/links/{name}"), fault).await
    }

    /// Sets what a link does with connections and bytes, with no other fault.
    pub async fn set_mode(&self, name: &str, mode: link::Mode) -> anyhow::Result<link::Status> {
        self.set(name, &link::Fault { mode, ..link::Fault::default() }).await
    }

    /// All links by name.
    pub async fn links(&self) -> anyhow::Result<BTreeMap<String, link::Status>> {
        get(self.addr(), "/links").await
    }
}
