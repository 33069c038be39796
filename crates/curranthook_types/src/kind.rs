//! Kinds of work: the purpose of a request, which determines the quality that it needs.

crate::id::declare! {
    /// The name of a kind of work, such as `summary`.
}
