//! Entry VMs: the machines that run a router and a steward.

crate::id::declare! {
    /// The id of a VM. A replaced VM may get its forerunner's id; the incarnation tells them apart.
}

/// Tells a VM from its forerunner of the same id or address: milliseconds since 1970 at the
/// start of the process, so a later process has the higher number.
pub type Incarnation = u64;
