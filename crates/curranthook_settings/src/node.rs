//! Node settings: the file with the addresses that one VM's processes use.

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
    /// The id of this VM.
    pub vm: vm::Id,
    /// The site that the VM belongs to.
    pub site: site::Id,
    /// The failure domain that the VM is in.
    pub failure_domain: domain::Id,
    /// The address on which the router listens for callers.
    pub listen: SocketAddr,
    /// The address on which the router listens for peers.
    pub peer_listen: SocketAddr,
    /// The address announced to peers, if it differs from the listening address: the router may
    /// listen on all addresses of the VM, or be behind a forwarder.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer_address: Option<SocketAddr>,
    /// The address on which the steward serves `/healthz`, `/readyz` and `/status`.
    pub steward_listen: SocketAddr,
    /// The addresses of the platform's services.
    pub platform: Platform,
    /// Addresses of peers to contact before the VM list is known.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The secret that authenticates calls between peers, in hexadecimal.
    #[serde_as(as = "Hex")]
    pub peer_key: Vec<u8>,
    /// The address to which metrics are sent as statsd over UDP; none are sent if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub statsd: Option<SocketAddr>,
    /// Number of worker threads.
    #[serde(default = "default_threads")]
    pub threads: usize,
}

/// Addresses of the platform's services.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The address of the table service.
    pub table: SocketAddr,
    /// The address of the object store.
    pub objects: SocketAddr,
    /// The address of the service that lists the VMs.
    pub vms: SocketAddr,
}

/// Reads and checks a file of node settings. If there are errors, returns all of them.
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

/// Checks and converts settings that are already parsed to a tree.
///
/// ```
/// # use curranthook_settings::{node, source};
/// let tree = source::parse("node.yaml", "vm: vm-1\nthreads: none\n").unwrap();
/// let findings = node::from_tree(&tree).unwrap_err();
/// assert!(findings.iter().any(|it| it.path == "threads" && it.location.line == 2));
/// ```
pub fn from_tree(node: &Node) -> Result<Settings, Vec<Finding>> {
    let findings = check::node_settings(node);
    if !findings.is_empty() {
        return Err(findings);
    }
    serde_json::from_value(node.to_json())
        .map_err(|e| vec![Finding::error(&node.location, "", e.to_string())])
}

fn default_threads() -> usize {
    const DEFAULT_THREADS: usize = 2;
    DEFAULT_THREADS
}

impl std::fmt::Debug for Settings {
    // Omits the peer key, which must not appear in logs.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Settings")
            .field("vm", &self.vm)
            .field("site", &self.site)
            .field("failure_domain", &self.failure_domain)
            .finish_non_exhaustive()
    }
}
