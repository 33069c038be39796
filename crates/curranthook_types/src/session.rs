//! Sessions: requests that belong together and stay on one version.

crate::id::declare! {
    /// The id of a session, chosen by the caller.
}
