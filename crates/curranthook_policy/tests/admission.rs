//! Tests of admission: a request is refused only if no endpoint can be expected to serve it, and a
//! caller that was refused and returns finds room.

use std::time::{Duration, Instant};

use curranthook_policy::{
    admission::{
        Admission, Cause, Decision, Forecast, Refusal, Request, Window, decide, exceeds_memory,
    },
    utilization::Utilization,
};
use proptest::prelude::*;
use yare::parameterized;

const fn s(n: u64) -> Duration {
    Duration::from_secs(n)
}

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Callers give up on it after 12 s.
const REQUEST: Request = Request {
    objective: s(3),
    max_event_gap: None,
    deadline: s(30),
    elapsed: s(0),
    has_returned: false,
    level: 2,
};

/// A forecast whose first event comes `first` from now, all but 200 ms of it for queued work.
fn forecast(first: Duration, tail: Duration) -> Forecast {
    Forecast {
        time_to_first_event: first,
        time_to_last_event: first.saturating_add(tail),
        queue_delay: first.saturating_sub(ms(200)),
        is_idle: false,
        age: Some(ms(500)),
    }
}

fn refusal(request: &Request, forecast: &Forecast) -> Option<Refusal> {
    match decide(request, forecast) {
        Decision::Refuse(it) => Some(it),
        Decision::Admit(_) => None,
    }
}

/// Guards against engines that prefill prompts whose callers have left.
#[test]
fn request_is_refused_if_its_caller_gives_up_before_the_first_event() {
    assert_eq!(refusal(&REQUEST, &forecast(s(12), s(1))), None);
    let refusal = refusal(&REQUEST, &forecast(s(22), s(1))).expect("the caller leaves after 12 s");
    assert_eq!(refusal.cause, Cause::FirstEvent);
}

/// Guards against answers that are generated and then lost at the deadline.
#[test]
fn request_is_refused_if_its_last_event_is_clearly_after_the_deadline() {
    let request = Request { deadline: s(10), ..REQUEST };
    assert_eq!(refusal(&request, &forecast(s(9), s(2))), None, "forecasts err");
    let refusal = refusal(&request, &forecast(s(11), s(7))).expect("the last event is at 18 s");
    assert_eq!(refusal.cause, Cause::LastEvent);
}

/// Guards against refusals by prior estimates after a restart, and by estimates that nothing
/// renews while all requests are refused.
#[parameterized(unknown = { None }, outdated = { Some(s(11)) })]
fn request_is_admitted_if_the_forecast_is_unknown(age: Option<Duration>) {
    let forecast = Forecast { age, ..forecast(s(100), s(1)) };
    assert_eq!(decide(&REQUEST, &forecast), Decision::Admit(Admission::Unknown));
}

/// Guards against refusals by an estimate that is wrong, or by a claimed prompt length, while an
/// endpoint has nothing to do.
#[test]
fn request_is_admitted_if_an_endpoint_is_idle() {
    let forecast = Forecast { is_idle: true, queue_delay: s(0), ..forecast(s(100), s(1)) };
    assert_eq!(decide(&REQUEST, &forecast), Decision::Admit(Admission::Idle));
}

/// Guards against long prompts that are refused wherever an engine has any work, although no engine
/// could serve them sooner.
#[parameterized(
    empty_queue = { s(40), s(0), s(1) },
    short_queue = { s(40), s(1), s(1) },
    long_prefill_after_deadline = { s(100), s(1), s(0) },
)]
fn request_is_admitted_if_its_own_work_alone_exceeds_a_limit(
    own: Duration,
    queue_delay: Duration,
    tail: Duration,
) {
    let request = Request { deadline: s(50), ..REQUEST };
    let forecast = Forecast { queue_delay, ..forecast(own + queue_delay, tail) };
    assert_eq!(decide(&request, &forecast), Decision::Admit(Admission::Expected));
}

/// Guards against engines that serve a long prompt which the queue makes too late for the deadline.
#[test]
fn long_prompt_is_refused_if_the_queue_delays_it_past_the_deadline() {
    let request = Request { deadline: s(50), ..REQUEST };
    let forecast = Forecast { queue_delay: s(60), ..forecast(s(100), s(1)) };
    assert_eq!(refusal(&request, &forecast).map(|it| it.cause), Some(Cause::LastEvent));
}

/// Guards against urgent requests that are refused while less urgent ones are admitted.
#[test]
fn less_urgent_requests_are_refused_first() {
    let is_refused = |level| refusal(&Request { level, ..REQUEST }, &forecast(s(20), s(1)));
    let refused: Vec<_> = (0..=5).map(|level| is_refused(level).is_some()).collect();
    assert!(refused.is_sorted() && !refused[0] && refused[4], "{refused:?}");
}

/// Guards against callers that state less time than the route grants, or whose body arrives slowly,
/// and get the margin and the longer time of callers that were refused before.
#[parameterized(
    first_event = { s(30), s(12), forecast(s(14), s(1)), Cause::FirstEvent },
    last_event = { s(10), s(2), forecast(s(9), s(1)), Cause::LastEvent },
)]
fn time_that_has_passed_is_no_evidence_of_an_earlier_refusal(
    deadline: Duration,
    elapsed: Duration,
    forecast: Forecast,
    cause: Cause,
) {
    let request = Request { deadline, elapsed, level: 4, ..REQUEST };
    assert_eq!(refusal(&request, &forecast).map(|it| it.cause), Some(cause));
}

/// The length of an answer is the caller's bound and mostly not reached. Guards against refusing
/// short answers because of it.
#[test]
fn output_that_alone_exceeds_the_deadline_is_not_held_against_a_request() {
    assert_eq!(refusal(&REQUEST, &forecast(s(1), s(1_000_000))), None);
}

/// Guards against a limit that jumps: an output just under the time left was counted in full, and a
/// longer one not at all.
#[test]
fn output_counts_up_to_half_of_the_time_that_the_prompt_leaves() {
    let request = Request { deadline: s(10), ..REQUEST };
    let limits = [0, 1_000, 4_000, 4_900, 9_900, 10_100, 1_000_000].map(|tail| {
        let is_refused = |queue: &u64| {
            let forecast =
                Forecast { queue_delay: ms(*queue), ..forecast(ms(queue + 200), ms(tail)) };
            refusal(&request, &forecast).is_some()
        };
        (0..15_000).step_by(100).find(is_refused).expect("the queue becomes too long")
    });
    assert_eq!(limits, [12_400, 11_400, 8_400, 7_500, 7_500, 7_500, 7_500]);
}

/// Guards against a caller that is asked to return at a time when it cannot be served either.
#[test]
fn caller_returns_when_the_work_ahead_is_done_or_not_at_all() {
    let retry = |forecast| refusal(&REQUEST, &forecast).expect("a refusal").retry;
    assert_eq!(
        retry(forecast(s(22), s(1))),
        Some(Window { earliest: s(10), latest: s(10) }),
        "ten seconds before the end of the queue the caller can wait for the rest"
    );
    assert_eq!(retry(forecast(s(23), s(1))), None, "11 s is more than a third of its time");
    let request = Request { objective: s(2), deadline: ms(7_500), level: 4, ..REQUEST };
    let own_prefill = Forecast { queue_delay: s(1), ..forecast(ms(8_900), s(0)) };
    let refusal = refusal(&request, &own_prefill).expect("the caller leaves after 8 s");
    assert_eq!(refusal.retry, None, "its own prompt takes longer than the time left");
}

/// Guards against overflow and division by zero for limits at the ends of their ranges.
#[test]
fn extreme_durations_are_decided_without_overflow() {
    let zero = Request { deadline: s(0), objective: s(0), ..REQUEST };
    let queue_only = Forecast { queue_delay: s(1), ..forecast(s(1), s(1)) };
    let refusal_of_zero = refusal(&zero, &queue_only).expect("no time is left");
    assert_eq!(refusal_of_zero.retry, None);
    let extreme = [s(0), ms(1), s(1_000_000), Duration::MAX];
    let pairs = || extreme.iter().flat_map(|a| extreme.iter().map(move |b| (*a, *b)));
    for ((objective, deadline), (elapsed, first)) in
        pairs().flat_map(|a| pairs().map(move |b| (a, b)))
    {
        let max_event_gap = Some(objective);
        let level = u8::MAX;
        for has_returned in [false, true] {
            let request =
                Request { objective, max_event_gap, deadline, elapsed, has_returned, level };
            let _no_panic = decide(&request, &forecast(first, first));
        }
    }
    assert!(exceeds_memory(u64::MAX, u64::MAX, Some(u64::MAX - 1)));
    assert!(!exceeds_memory(0, 0, Some(0)));
}

/// Guards against a forecast without end, by which all less urgent requests would be refused, and
/// against overflow.
#[parameterized(
    usual = { 1.0, s(10), s(50) },
    no_engine = { 0.0, s(10), s(50) },
    unknown_engines = { f64::NAN, s(10), s(10) },
    endless_queue = { 1.0, Duration::MAX, Duration::MAX },
)]
fn urgent_work_delays_queued_work_to_a_limited_degree(
    n_engines: f64,
    queued: Duration,
    expected: Duration,
) {
    let (mut utilization, now) = (Utilization::default(), Instant::now());
    utilization.record(0, s(1_000), now);
    assert_eq!(utilization.time_for(queued, u8::MAX, n_engines, now), expected);
    let after_memory = utilization.time_for(s(10), 1, 1.0, now + s(100));
    assert!(after_memory < s(11), "old work has no effect: {after_memory:?}");
}

prop_compose! {
    fn requests()(
        objective in 100..10_000_u64, gap in 0..2_000_u64, deadline in 500..60_000_u64, level in 0..6_u8,
    ) -> Request {
        Request {
            objective: ms(objective),
            max_event_gap: (0 < gap).then_some(ms(gap)),
            deadline: ms(deadline),
            elapsed: s(0),
            has_returned: false,
            level,
        }
    }
}

prop_compose! {
    fn forecasts()(own in 10..5_000_u64, queue in 1..100_000_u64, tail in 0..30_000_u64) -> Forecast {
        Forecast {
            time_to_first_event: ms(own + queue),
            time_to_last_event: ms(own + queue + tail),
            queue_delay: ms(queue),
            is_idle: false,
            age: Some(s(1)),
        }
    }
}

proptest! {
    /// Guards against a long answer that is admitted where a shorter one is refused.
    #[test]
    fn longer_output_is_not_admitted_where_a_shorter_one_is_refused(
        request in requests(), forecast in forecasts(), more in 1..60_000_u64,
        share in 0.0..=1.0_f64, has_returned: bool,
    ) {
        let elapsed = request.deadline.mul_f64(share);
        let request = Request { elapsed, has_returned, ..request };
        let time_to_last_event = forecast.time_to_last_event + ms(more);
        if refusal(&request, &forecast).is_some() {
            let longer = Forecast { time_to_last_event, ..forecast };
            prop_assert!(refusal(&request, &longer).is_some());
        }
    }

    /// Guards against a second refusal although the queue has shrunk as expected.
    #[test]
    fn caller_that_returns_as_asked_is_admitted(
        request in requests(), forecast in forecasts(), position in 0.0..=1.0_f64,
    ) {
        let Some(Refusal { retry: Some(window), .. }) = refusal(&request, &forecast) else {
            return Ok(());
        };
        prop_assert!(window.earliest <= window.latest && window.latest <= request.deadline / 3);
        let after = window.earliest + (window.latest - window.earliest).mul_f64(position);
        let expected = Forecast {
            time_to_first_event: forecast.time_to_first_event - after.min(forecast.queue_delay),
            time_to_last_event: forecast.time_to_last_event - after.min(forecast.queue_delay),
            queue_delay: forecast.queue_delay.saturating_sub(after),
            ..forecast
        };
        let returned = Request { elapsed: after, has_returned: true, ..request };
        prop_assert_eq!(refusal(&returned, &expected), None);
    }

    /// Guards against refusals for no reason but that the time of a caller that returns is shorter.
    #[test]
    fn forecast_that_admits_a_request_admits_it_on_return(
        request in requests(), forecast in forecasts(), share in 0.0..=1.0_f64,
    ) {
        let elapsed = (request.deadline / 3).mul_f64(share);
        let returned = Request { elapsed, has_returned: true, ..request };
        if refusal(&request, &forecast).is_none() {
            prop_assert_eq!(refusal(&returned, &forecast), None);
        }
    }
}
