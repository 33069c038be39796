//! Endpoints: the model engines and plain services that serve requests.

crate::id::declare! {
    /// The id of an endpoint, unique in its site.
}
