//! Entry VMs, each of which runs a router and a steward.

crate::id::declare! {
    /// The id of a VM. A replacement VM may get the id of its predecessor; the incarnation
    /// distinguishes them.
}

/// Distinguishes a VM from its predecessor of the same id or address: milliseconds since the Unix
/// epoch at the start of the process, so a later process has the higher number.
pub type Incarnation = u64;
