//! What a node knows of the tree of relays.

use std::sync::Arc;

use super::relays::Tree;

/// The newest known tree. It is derived from the rows of all nodes; before a starting node has read
/// them, it is the one that the root has stored or that another node has sent.
#[derive(Debug, Default)]
pub struct Topology {
    tree: Option<Arc<Tree>>,
    state: State,
}

/// How the known tree relates to the rows of the nodes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum State {
    /// It was not derived from them, or they have changed since.
    #[default]
    Outdated,
    /// It was derived from the current rows.
    Derived,
}

impl Topology {
    /// Uses a tree that another node has derived, as long as this node has not derived one itself.
    ///
    /// ```
    /// # use curranthook_gateway::replication::{relays::Tree, topology::Topology};
    /// let mut topology = Topology::default();
    /// assert!(topology.tree().is_none());
    /// topology.receive(Tree::default());
    /// assert!(topology.tree().is_some() && topology.is_outdated());
    /// ```
    pub fn receive(&mut self, tree: Tree) {
        let is_derived = self.tree.is_some() && self.state == State::Derived;
        if !is_derived {
            self.tree = Some(Arc::new(tree));
        }
    }

    /// Sets the tree that was derived from the rows of all nodes.
    pub fn set_derived(&mut self, tree: Tree) {
        if self.tree.as_deref() != Some(&tree) {
            self.tree = Some(Arc::new(tree));
        }
        self.state = State::Derived;
    }

    /// Records that the row of a node changed.
    pub fn invalidate(&mut self) {
        self.state = State::Outdated;
    }

    /// Whether rows of nodes have changed since the tree was derived.
    pub fn is_outdated(&self) -> bool {
        self.state == State::Outdated
    }

    /// The newest known tree.
    pub fn tree(&self) -> Option<Arc<Tree>> {
        self.tree.clone()
    }
}
