//! Requests: one question of a caller, however many attempts it takes.

crate::id::declare! {
    /// The id of a request, chosen by the caller or made by the router. Bills count each id once.
}
