//! The small file that tells one process its addresses.

use std::net::SocketAddr;

use curranthook_types::{domain, site, vm};
use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};

/// Settings of one VM's router and steward.
#[serde_as]
#[derive(Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// This VM.
    pub vm: vm::Id,
    /// The site it belongs to.
    pub site: site::Id,
    /// Where it stands.
    pub failure_domain: domain::Id,
    /// Where callers reach the router.
    pub listen: SocketAddr,
    /// Where peers reach the router.
    pub peer_listen: SocketAddr,
    /// Where the steward answers `/healthz`, `/readyz` and `/status`.
    pub steward_listen: SocketAddr,
    /// The platform's services.
    pub platform: Platform,
    /// Peers to try before the VM list is known.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The secret that authenticates calls between peers, in hexadecimal.
    #[serde_as(as = "Hex")]
    pub peer_key: Vec<u8>,
    /// Where metrics are sent as statsd over UDP, if anywhere.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
    /// Worker threads.
    #[serde(default = "default_threads")]
    pub threads: usize,
}

/// Where the platform's services are.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The table service.
    pub table: SocketAddr,
    /// The object store.
    pub objects: SocketAddr,
    /// The list of VMs.
    pub vms: SocketAddr,
}

fn default_threads() -> usize {
    const THREADS: usize = 2;
    THREADS
}

impl std::fmt::Debug for Settings {
    // The peer key stays out of logs.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Settings")
            .field("vm", &self.vm)
            .field("site", &self.site)
            .field("failure_domain", &self.failure_domain)
            .finish_non_exhaustive()
    }
}
