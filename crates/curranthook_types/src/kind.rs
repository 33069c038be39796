//! Kinds of work: what a request is for, which sets the quality it needs.

crate::id::declare! {
    /// The name of a kind of work, such as `summary`.
}
