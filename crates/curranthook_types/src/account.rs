//! Client accounts: who calls, pays and is allowed what.

crate::id::declare! {
    /// The id of a client account, as operators write it.
}
