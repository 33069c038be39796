//! Benchmarks of the decisions on one request: version selection, and endpoint selection among 64
//! endpoints.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use criterion::{Criterion, criterion_group, criterion_main};
use curranthook_policy::{
    choice::{Candidate, Chooser, Delivery, Rater, Request, Scope},
    endpoint::{Member, Outcome, Pool},
};
use curranthook_settings::config::Policy;
use curranthook_types::{
    kind,
    price::{Micros, Rate},
    version,
};

const VERSIONS: [(&str, u64, f64); 7] = [
    ("m@1", 10, 0.6),
    ("m@2", 30, 0.7),
    ("m@3", 60, 0.8),
    ("m@4", 100, 0.85),
    ("m@5", 200, 0.9),
    ("m@6", 400, 0.94),
    ("m@7", 800, 0.97),
];

fn decisions(criterion: &mut Criterion) {
    let now = Instant::now();
    let kind = kind::Id::new("summary");
    let ids = VERSIONS.map(|it| version::Id::new(it.0));
    let rates = VERSIONS.map(|it| Rate { prompt: Micros(it.1), completion: Micros(it.1) });
    let candidate =
        |it: usize| Candidate { id: &ids[it], rate: &rates[it], prior: Some(VERSIONS[it].2) };
    let candidates = [0, 1, 2, 3, 4, 5, 6].map(candidate);
    let request = Request {
        kind: &kind,
        target_quality: 0.9,
        candidates: &candidates,
        time_left: Duration::from_secs(30),
        prompt_tokens: 800,
        expected_tokens: 300,
        delivery: Delivery::Whole,
        rater: Rater::Up,
        scope: Scope::Request,
    };
    let mut chooser = trained_chooser(&kind, &ids, now);
    let mut pool = busy_pool(64, now);

    criterion
        .bench_function("plan, 7 versions", |it| it.iter(|| chooser.plan(black_box(&request))));
    criterion.bench_function("pick, 64 endpoints", |it| {
        it.iter(|| pool.select(black_box(None), &[], now));
    });
    criterion.bench_function("pick by affinity, 64 endpoints", |it| {
        it.iter(|| pool.select(black_box(Some(42)), &[], now));
    });
    criterion.bench_function("plan, pick, started, finished", |it| {
        it.iter(|| {
            let plan = chooser.plan(black_box(&request));
            let selection = pool.select(Some(42), &[], now).expect("there are endpoints");
            pool.started(&selection.id, now);
            let outcome = Outcome::Answered { first_byte: Duration::from_millis(80) };
            pool.finished(&selection.id, outcome, now);
            plan
        });
    });
}

fn trained_chooser(kind: &kind::Id, ids: &[version::Id], now: Instant) -> Chooser {
    let mut chooser = Chooser::new(Policy::default(), 1);
    for (id, version) in ids.iter().zip(VERSIONS) {
        (0..200).for_each(|it| {
            let rating = if f64::from(it) < version.2 * 200.0 { 1.0 } else { 0.0 };
            chooser.record_rating(kind, id, rating, now);
        });
        chooser.record_duration(id, Duration::from_secs(2), 300);
    }
    chooser
}

fn busy_pool(n: usize, now: Instant) -> Pool {
    let mut pool = Pool::new("zone-a".into(), 1);
    let member = |it: usize| Member {
        id: format!("engine-{it}").as_str().into(),
        domain: format!("zone-{}", it % 3).as_str().into(),
        slots: 16,
    };
    let members: Vec<Member> = (0..n).map(member).collect();
    pool.set_members(members.iter().cloned());
    for it in &members {
        for step in 0..20 {
            pool.started(&it.id, now);
            let first_byte = Duration::from_millis(50 + step);
            pool.finished(&it.id, Outcome::Answered { first_byte }, now);
        }
        pool.report_load(&it.id, 4, now);
    }
    pool
}

criterion_group!(benches, decisions);
criterion_main!(benches);
