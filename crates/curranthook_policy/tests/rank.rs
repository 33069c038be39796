//! Ranks of requests that compete for the same engines.

use curranthook_policy::rank::{N_LEVELS, Rank};
use yare::parameterized;

/// The priorities in and out of range.
const PRIORITIES: [u8; 6] = [0, 1, 2, 3, 200, u8::MAX];

fn level(account: Option<u8>, route: u8) -> u8 {
    Rank { account, route }.level()
}

/// Guards against a route that gets its requests served before those of an account with a more
/// urgent priority.
#[test]
fn an_accounts_priority_is_never_overruled() {
    for account in 0..2 {
        for route in PRIORITIES {
            for other_route in PRIORITIES {
                let (urgent, other) =
                    (level(Some(account), route), level(Some(account + 1), other_route));
                assert!(urgent <= other, "{account}/{route} and {}/{other_route}", account + 1);
            }
        }
    }
}

/// Guards against routes of different urgency that are served alike because all accounts have the
/// same priority.
#[parameterized(first_account = { Some(0) }, usual_account = { Some(1) }, no_account = { None })]
fn routes_are_told_apart(account: Option<u8>) {
    assert!(level(account, 0) < level(account, 1));
    assert!(level(account, 1) < level(account, 2));
}

/// Guards against a route that makes requests of an account of the least urgent priority as urgent
/// as those of another account.
#[parameterized(least_urgent_account = { 2 }, out_of_range = { 3 })]
fn routes_of_the_least_urgent_accounts_are_not_told_apart(account: u8) {
    for route in PRIORITIES {
        assert_eq!(level(Some(account), route), N_LEVELS - 1, "{route}");
    }
}

/// Guards against a priority out of range, from which the level would overflow or exceed the
/// engine's range.
#[test]
fn priorities_out_of_range_are_clamped() {
    for route in PRIORITIES {
        for account in PRIORITIES.into_iter().map(Some).chain([None]) {
            let rank = Rank { account, route };
            let clamped = Rank { account: account.map(|it| it.min(2)), route: route.min(2) };
            assert_eq!(rank.level(), clamped.level(), "{rank:?}");
            assert!(rank.level() < N_LEVELS, "{rank:?}");
        }
    }
}
