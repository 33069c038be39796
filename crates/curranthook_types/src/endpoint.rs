//! Endpoints: the model engines and plain services that answer requests.

crate::id::declare! {
    /// The id of an endpoint, unique in its site.
}
