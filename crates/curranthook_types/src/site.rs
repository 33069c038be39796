//! Sites: a region's set of entry VMs, endpoints and settings.

crate::id::declare! {
    /// The name of a site.
}
