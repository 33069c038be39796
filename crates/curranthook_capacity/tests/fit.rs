//! Linear regression, which extrapolates to fleet sizes that were not measured.

use curranthook_capacity::fit::Line;
use yare::parameterized;

#[parameterized(
    exact = { &[(8.0, 10.0), (24.0, 42.0), (96.0, 186.0)], 2.0, -6.0 },
    flat = { &[(8.0, 5.0), (96.0, 5.0)], 0.0, 5.0 },
    equal_x = { &[(8.0, 4.0), (8.0, 6.0)], 0.0, 5.0 },
    no_points = { &[], 0.0, 0.0 },
)]
fn line_has_expected_slope_and_intercept(points: &[(f64, f64)], slope: f64, intercept: f64) {
    let line = Line::fit(points);
    assert!((line.slope - slope).abs() < 1e-9, "{line:?}");
    assert!((line.intercept - intercept).abs() < 1e-9, "{line:?}");
}

#[test]
fn line_minimizes_squared_error() {
    let line = Line::fit(&[(0.0, 0.0), (1.0, 2.0), (2.0, 1.0)]);
    assert!((line.slope - 0.5).abs() < 1e-9, "{line:?}");
    assert!((line.intercept - 0.5).abs() < 1e-9, "{line:?}");
}
