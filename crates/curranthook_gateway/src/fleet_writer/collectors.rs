//! The nodes that collect the evidence of others about a new version.
//!
//! The store takes a bounded number of writes, so in a large fleet most nodes can write their
//! evidence only now and then. Each node reports it to one of a few collectors instead, which write
//! the sum. What a node has written itself is not part of its report, so nothing is counted twice.

use curranthook_policy::hash;

/// The minimum number of collectors. A lost one loses the evidence of a part of the nodes only.
const MIN_COLLECTORS: usize = 6;
/// The number of nodes that report to one collector, which bounds the datagrams that it receives.
const NODES_PER_COLLECTOR: usize = 64;

/// The collectors of a service's evidence, in the same order at each node.
#[derive(Debug)]
pub struct Collectors<'a> {
    nodes: Vec<&'a str>,
}

impl<'a> Collectors<'a> {
    /// The collectors among the names of a fleet's `nodes`.
    ///
    /// ```
    /// # use curranthook_gateway::fleet_writer::collectors::Collectors;
    /// let names: Vec<_> = (0..985).map(|it| format!("node-{it}")).collect();
    /// let collectors = Collectors::new("models", names.iter().map(String::as_str));
    /// assert_eq!(collectors.len(), 16);
    /// let collector = collectors.of("node-7").unwrap();
    /// assert!(collectors.contains(collector));
    /// ```
    pub fn new(service: &str, nodes: impl Iterator<Item = &'a str>) -> Self {
        let service_hash = hash::bytes(service.as_bytes());
        let mut nodes: Vec<&str> = nodes.collect();
        nodes.sort_unstable_by_key(|it| hash::pair(service_hash, hash::bytes(it.as_bytes())));
        nodes.truncate(MIN_COLLECTORS.max(nodes.len().div_ceil(NODES_PER_COLLECTOR)));
        Self { nodes }
    }

    /// The number of collectors.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether there are no collectors.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Whether `node` is a collector.
    pub fn contains(&self, node: &str) -> bool {
        self.nodes.contains(&node)
    }

    /// The collector that `node` reports to; none if there are no collectors.
    pub fn of(&self, node: &str) -> Option<&'a str> {
        let n = hash::bytes(node.as_bytes()) as usize;
        n.checked_rem(self.nodes.len()).map(|index| self.nodes[index])
    }
}
