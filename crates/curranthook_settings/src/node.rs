//! The small file that tells one process its addresses.

use std::{net::SocketAddr, path::Path};

use curranthook_types::{domain, site, vm};
use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};

use crate::{
    check::{self, Finding},
    source::{self, Node},
};

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
    /// The address that peers are told, if it isn't the one that the router listens on: it may
    /// listen on all addresses of the VM, or stand behind a forwarder.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer_address: Option<SocketAddr>,
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
    #[serde(default, skip_serializing_if = "Option::is_none")]
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

/// Reads and checks a file of node settings; all errors at once if there are any.
///
/// ```
/// # use curranthook_settings::node;
/// let findings = node::read("no/such/node.yaml".as_ref()).unwrap_err();
/// assert_eq!(findings.len(), 1);
/// ```
pub fn read(path: &Path) -> Result<Settings, Vec<Finding>> {
    let node = source::read(path).map_err(|e| vec![Finding::from(e)])?;
    from_tree(&node)
}

/// Checks settings that were read before.
///
/// ```
/// # use curranthook_settings::{node, source};
/// let tree = source::parse("node.yaml", "vm: vm-1\nthreads: none\n").unwrap();
/// let findings = node::from_tree(&tree).unwrap_err();
/// assert!(findings.iter().any(|it| it.path == "threads" && it.location.line == 2));
/// ```
pub fn from_tree(node: &Node) -> Result<Settings, Vec<Finding>> {
    let findings = check::node(node);
    if !findings.is_empty() {
        return Err(findings);
    }
    serde_json::from_value(node.to_json())
        .map_err(|e| vec![Finding::error(&node.location, "", e.to_string())])
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
