//! Tests of the slowdown estimate, against endpoints that are simulated figure by figure.

use std::time::{Duration, Instant};

use curranthook_policy::{
    hash,
    slowdown::{Estimate, Factor, Figure, Outlook},
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use yare::parameterized;

const PERIOD: Duration = Duration::from_millis(600);
const SLOW_SHARE: f64 = 0.15;
const SLOW_FACTOR: f64 = 2.5;

fn figure(value: f64, at: Instant) -> Figure {
    Figure { factor: Factor::new(value).unwrap(), at }
}

fn estimate(values: &[f64], interval: Duration, start: Instant) -> Estimate {
    let mut estimate = Estimate::default();
    for (n, value) in (0..).zip(values) {
        estimate.record(figure(*value, start + interval * n));
    }
    estimate
}

/// The true factor of an endpoint at `time`, in independent periods.
fn true_factor(endpoint: u64, time: Duration) -> f64 {
    let lasting = if endpoint.is_multiple_of(3) { 1.7 } else { 0.7 };
    let phase = PERIOD.mul_f64(hash::unit(hash::pair(endpoint, 1)));
    let period = (time + phase).as_millis() / PERIOD.as_millis();
    let is_slow = hash::unit(hash::pair(endpoint, u64::try_from(period).unwrap() + 7)) < SLOW_SHARE;
    if is_slow { lasting * SLOW_FACTOR } else { lasting }
}

/// The mean error of a logarithm of the factor, for each way to use the figures.
#[derive(Debug, Default)]
struct Errors {
    lasting: f64,
    newest: f64,
    both: f64,
}

/// Compares ways to predict the factor of work that starts at a random time, at an endpoint from
/// which `rate` figures arrive per second.
fn errors(rate: f64) -> Errors {
    const N_ENDPOINTS: u64 = 90;
    const N_PREDICTIONS: u32 = 200;
    let (mut rng, start) = (Pcg64::seed_from_u64(3), Instant::now());
    let mut sum = Errors::default();
    for endpoint in 1..=N_ENDPOINTS {
        let (mut estimate, mut time) = (Estimate::default(), Duration::ZERO);
        // The figures arrive at random times; each prediction is made some time after the last one.
        for _ in 0..N_PREDICTIONS {
            let interval = -(1.0 - rng.random::<f64>()).ln() / rate;
            time += Duration::from_secs_f64(interval.max(1e-3));
            estimate.record(figure(true_factor(endpoint, time), start + time));
            let age = Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / rate);
            let (now, truth) = (start + time + age, true_factor(endpoint, time + age));
            let newest = estimate.newest().unwrap().factor.value();
            // The influence of the newest figure alone decays towards the usual speed.
            let decayed = 1.0 + (newest - 1.0) * (-age.as_secs_f64() / 5.0).exp();
            let error = |predicted: f64| (predicted / truth).ln().abs();
            sum.lasting += error(estimate.lasting().value());
            sum.newest += error(decayed);
            sum.both += error(estimate.expected(now).value());
        }
    }
    let n = N_ENDPOINTS as f64 * f64::from(N_PREDICTIONS);
    Errors { lasting: sum.lasting / n, newest: sum.newest / n, both: sum.both / n }
}

/// Guards against an estimate that ignores how old a figure is, or that forgets an endpoint's
/// lasting speed. Direct figures arrive at 0.1 per second, with reports at some; the owner of an
/// endpoint gets several per second.
#[parameterized(direct = { 0.1 }, with_answers = { 0.5 }, at_the_owner = { 8.0 })]
fn lasting_and_newest_figure_together_predict_best(rate: f64) {
    let errors = errors(rate);
    println!("{rate} figures per second: {errors:?}");
    assert!(errors.both < errors.newest * 0.95, "{errors:?}");
    assert!(errors.both < errors.lasting * 1.01, "{errors:?}");
}

/// A node sees few figures, so work would be placed without regard to speed for long if an endpoint
/// counted as usual until many have arrived. The first figure may be one of a slow period.
#[test]
fn lasting_figure_is_usable_after_one_or_two_figures() {
    let (start, interval) = (Instant::now(), Duration::from_secs(10));
    assert_eq!(estimate(&[0.7], interval, start).lasting().value(), 0.7);
    assert_eq!(estimate(&[1.75, 0.7], interval, start).lasting().value(), 0.7);
    assert_eq!(estimate(&[0.7, 1.75], interval, start).lasting().value(), 0.7);
}

/// Guards against an endpoint that is avoided, or whose streams are expected to be slow, long after
/// a period in which several figures arrived.
#[test]
fn short_period_does_not_change_the_lasting_figure() {
    let (start, interval) = (Instant::now(), Duration::from_secs(10));
    let mut estimate = estimate(&[0.7; 4], interval, start);
    let period_start = start + interval * 4;
    for n in 0..6 {
        estimate.record(figure(1.75, period_start + Duration::from_millis(100) * n));
    }
    assert_eq!(estimate.expected(period_start + Duration::from_millis(500)).value(), 1.75);
    assert_eq!(estimate.expected(period_start + Duration::from_millis(1_200)).value(), 0.7);
    assert_eq!(estimate.lasting().value(), 0.7);
}

/// Guards against an estimate that keeps an endpoint's old speed after a real change.
#[parameterized(slower = { 0.7, 1.7 }, faster = { 1.7, 0.7 })]
fn lasting_figure_follows_a_real_change(before: f64, after: f64) {
    let values = [vec![before; 20], vec![after; 4]].concat();
    let estimate = estimate(&values, Duration::from_secs(2), Instant::now());
    assert_eq!(estimate.lasting().value(), after);
}

/// Reports of other nodes arrive out of order, and the same figure comes with several answers.
/// Counted each time, the figure of one slow period would become the lasting one.
#[test]
fn repeated_and_late_figures_count_once() {
    let (start, s) = (Instant::now(), Duration::from_secs(1));
    let mut estimate = estimate(&[0.7, 0.7], 10 * s, start);
    for n in 0..20 {
        estimate.record(figure(1.75, start + 5 * s + Duration::from_millis(n)));
    }
    assert_eq!(estimate.lasting().value(), 0.7);
    assert_eq!(estimate.newest(), Some(figure(0.7, start + 10 * s)));
}

/// Guards against figures that keep all requests away from an endpoint, or attract all of them.
#[parameterized(
    zero = { 0.0 }, negative = { -0.7 }, not_a_number = { f64::NAN }, infinite = { f64::INFINITY },
    absurd = { 100.1 },
)]
fn invalid_figures_are_dropped(value: f64) {
    assert_eq!(Factor::new(value), None);
}

/// Guards against an overflow that ends the process, and against rounding where no endpoint reports
/// a figure.
#[test]
fn extreme_times_are_scaled_without_overflow() {
    let largest = Factor::new(100.0).unwrap();
    let _sum = largest.scale(Duration::MAX) + largest.scale(Duration::MAX);
    let _time = Factor::new(1e-300).unwrap().unscale(Duration::MAX);
    let odd = Duration::new(u64::MAX / 3, 123_456_789);
    assert_eq!((Factor::USUAL.scale(odd), Factor::USUAL.unscale(odd)), (odd, odd));
}

/// Guards against an endpoint that is avoided for good: once no request is sent to it, no figure
/// corrects one that was reported in a slow period.
#[parameterized(
    fresh = { 0, 1.75 }, trusted = { 30_000, 1.75 }, halfway = { 45_000, 1.375 },
    usual = { 60_000, 1.0 }, much_later = { 600_000, 1.0 },
)]
fn avoided_endpoint_recovers_without_traffic(age_ms: u64, value: f64) {
    let start = Instant::now();
    let mut estimate = Estimate::default();
    estimate.record(figure(1.75, start));
    let age = Duration::from_millis(age_ms);
    let outlook = estimate.outlook(start + age);
    assert_eq!((outlook.expected.value(), outlook.lasting.value()), (value, value));
    assert_eq!(outlook.age, Some(age));
    // The next figure applies at once.
    estimate.record(figure(0.7, start + age + Duration::from_secs(2)));
    let outlook = estimate.outlook(start + age + Duration::from_secs(2));
    assert_eq!((outlook.expected.value(), outlook.lasting.value()), (0.7, 0.7));
}

/// Guards against forgetting that an endpoint is fast, as its figures are rare in a large fleet.
#[test]
fn fast_endpoint_keeps_its_factor_without_traffic() {
    let start = Instant::now();
    let estimate = estimate(&[0.7], Duration::ZERO, start);
    let outlook = estimate.outlook(start + Duration::from_secs(600));
    assert_eq!((outlook.expected.value(), outlook.lasting.value()), (0.7, 0.7));
}

/// Guards against a short period that counts for all of a long queue, and against a forecast that
/// jumps where work outlasts the period.
#[parameterized(
    within = { 2.5, 1.0, 0, 200, 500 },
    just_within = { 2.5, 1.0, 0, 240, 600 },
    beyond = { 2.5, 1.0, 0, 1_240, 1_600 },
    late_within = { 1.5, 1.0, 300, 200, 300 },
    late_beyond = { 1.5, 1.0, 300, 1_200, 1_300 },
    after = { 1.7, 1.7, 600, 1_000, 1_700 },
    much_later = { 1.7, 1.7, 20_000, 1_000, 1_700 },
    fast_period = { 0.5, 2.0, 0, 1_300, 800 },
)]
fn period_counts_only_for_the_work_within_it(
    expected: f64,
    lasting: f64,
    age_ms: u64,
    usual_ms: u64,
    actual_ms: u64,
) {
    let [expected, lasting] = [expected, lasting].map(|it| Factor::new(it).unwrap());
    let outlook = Outlook { expected, lasting, age: Some(Duration::from_millis(age_ms)) };
    let actual = outlook.scale(Duration::from_millis(usual_ms));
    assert!(
        actual.abs_diff(Duration::from_millis(actual_ms)) < Duration::from_micros(1),
        "{actual:?}"
    );
}

/// Guards against rounding where no endpoint reports a figure or all figures are the same, and
/// against an overflow that ends the process.
#[test]
fn outlook_without_periods_scales_exactly() {
    let steady = |value| {
        let factor = Factor::new(value).unwrap();
        Outlook { expected: factor, lasting: factor, age: Some(Duration::from_millis(123)) }
    };
    let odd = Duration::new(u64::MAX / 3, 123_456_789);
    for usual in [Duration::ZERO, Duration::new(7, 123_456_789), odd, Duration::MAX] {
        assert_eq!(Outlook::UNKNOWN.scale(usual), usual);
        assert_eq!(steady(1.0).scale(usual), usual);
        assert_eq!(steady(1.7).scale(usual), Factor::new(1.7).unwrap().scale(usual));
        let largest = Outlook { expected: Factor::new(0.25).unwrap(), ..steady(100.0) };
        let _sum = largest.scale(usual) + largest.scale(Duration::MAX);
    }
}
