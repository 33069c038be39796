//! The rank of a request among those that compete for the same engines.
//!
//! Addresses load where the accounts of a deployment have the same priority and call several
//! routes: if the account's priority alone decided, all routes would be served alike.

/// The number of levels (see [`Rank::level`]).
pub const N_LEVELS: u8 = 5;
/// The least urgent priority of accounts and routes; larger numbers are clamped to it.
const MAX_PRIORITY: u8 = 2;

/// The priorities from which a request's rank follows; 0 is the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rank {
    /// The priority of the client account; `None` if the request has no account, or the account no
    /// priority.
    pub account: Option<u8>,
    /// The priority of the route.
    pub route: u8,
}

impl Rank {
    /// The rank as a number below [`N_LEVELS`]; 0 is the most urgent.
    ///
    /// A route never raises a request above those of an account with a more urgent priority.
    /// Without an account's priority, the route's is used in its place. Routes of accounts of the
    /// least urgent priority are not told apart: all of their requests have the last level.
    ///
    /// ```
    /// # use curranthook_policy::rank::Rank;
    /// assert_eq!(Rank { account: Some(1), route: 0 }.level(), 2);
    /// assert_eq!(Rank { account: Some(1), route: 2 }.level(), 4);
    /// assert_eq!(Rank { account: None, route: 1 }.level(), 2);
    /// ```
    pub fn level(self) -> u8 {
        let route = self.route.min(MAX_PRIORITY);
        let level = match self.account {
            Some(account) => 2 * account.min(MAX_PRIORITY) + route,
            None => 2 * route,
        };
        level.min(N_LEVELS - 1)
    }
}
