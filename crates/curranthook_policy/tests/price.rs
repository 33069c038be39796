//! Tests of the price of the largest model under a burst of requests of one level.

use curranthook_policy::price::Scale;
use yare::parameterized;

fn scale(levels: &[u8], n: usize) -> Scale {
    let mut scale = Scale::default();
    levels.iter().cycle().take(n).for_each(|level| scale.record(*level));
    scale
}

/// Guards against a burst of the least urgent requests raising the price for the most urgent ones.
#[test]
fn burst_of_the_least_urgent_requests_lowers_the_price_of_urgent_ones() {
    let calm = scale(&[2, 3, 4], 300);
    let burst = scale(&[2, 3, 4, 4, 4, 4], 300);
    assert!(burst.price(2) <= calm.price(2), "{burst:?} {calm:?}");
    assert!(burst.price(2) < burst.price(4), "{burst:?}");
}

/// Guards against prices out of bounds: at one of 1, no answer would be worth escalating, and at 0
/// every one would.
#[parameterized(
    mixed = { &[0, 1, 2, 3, 4] },
    urgent = { &[0] },
    patient = { &[4] },
)]
fn price_of_any_level_is_within_bounds(levels: &[u8]) {
    let scale = scale(levels, 1_000);
    for level in 0..=u8::MAX {
        let price = scale.price(level);
        assert!((0.25..=0.6).contains(&price), "level {level}: {price}");
    }
}

/// Guards against accounts that all have the same priority shifting every price.
#[parameterized(
    all_urgent = { 0 },
    all_patient = { 4 },
)]
fn requests_of_one_level_pay_the_same_wherever_it_is(level: u8) {
    assert!((scale(&[level], 100).price(level) - Scale::default().price(0)).abs() < 1e-9);
}
