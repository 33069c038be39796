//! Failure domains: parts of a site that fail together.

crate::id::declare! {
    /// The id of a failure domain, unique in the fleet.
}
