//! Client accounts, to which requests are authenticated, authorised and billed.

crate::id::declare! {
    /// The id of a client account, as written in the configuration.
}
