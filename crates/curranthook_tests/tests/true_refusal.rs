//! A refusal that says "not run" is true.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use curranthook_standin::{
    engine::{self, record::Outcome},
    fault::Count,
    platform::{
        self,
        fault::{Fault, Mode},
    },
    proxy::link,
    service,
};
use curranthook_tests::{
    Site,
    call::{Answer, Call, Chat},
    eventually, executor, run,
};
use curranthook_types::{Refusal, header, refusal::Run};
use rand::{SeedableRng, seq::SliceRandom};
use rand_pcg::Pcg64Mcg;
use yare::parameterized;

const LIMIT: Duration = Duration::from_secs(30);
/// How long callers here will wait.
const DEADLINE_MS: &str = "1200";
/// The deadline of callers who look for refusals that come before it.
const PATIENT_MS: &str = "60000";
/// A refusal within this time came at once, also on a busy machine.
const AT_ONCE: Duration = Duration::from_secs(15);

/// The kinds of calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Whole,
    Stream,
    Repeatable,
    Posting,
}

/// What is broken.
#[derive(Debug, Clone)]
enum Point {
    Link(link::Fault),
    Engine(engine::faults::Faults),
    Service(service::Faults),
    Table(Fault),
}

async fn send(site: &Site, kind: Kind, id: &str, deadline: &str) -> anyhow::Result<Answer> {
    let addr = site.router("r1");
    let chat = || Chat::new("main", "m", &format!("crate {id}")).with_id(id);
    match kind {
        Kind::Whole => chat().with_header(header::DEADLINE_MS, deadline).send(&addr).await,
        Kind::Stream => {
            chat().streamed().with_header(header::DEADLINE_MS, deadline).send(&addr).await
        }
        Kind::Repeatable => {
            let call = Call::new("main", http::Method::GET, &format!("/services/ledger/{id}"));
            call.with_id(id).with_header(header::DEADLINE_MS, deadline).send(&addr).await
        }
        Kind::Posting => {
            let call = Call::post("main", "ledger", "crates").with_body(vec![b'x'; 500]);
            let call = call.with_id(id).with_idempotency_key(id);
            call.with_header(header::DEADLINE_MS, deadline).send(&addr).await
        }
    }
}

/// What the caller was told, in place of an answer or at the end of one that broke off.
fn refusal(answer: &Answer) -> Option<Refusal> {
    #[derive(serde::Deserialize)]
    struct Event {
        error: Refusal,
    }
    let last = answer.events.last();
    let in_stream = last.and_then(|it| serde_json::from_str::<Event>(&it.data).ok());
    answer.refusal().or(in_stream.map(|it| it.error))
}

/// How often endpoints began each request.
async fn runs(site: &Site) -> anyhow::Result<BTreeMap<String, usize>> {
    let mut n_runs = BTreeMap::new();
    for engine in site.engines.values() {
        for it in engine.runs().await?.into_iter().filter(|it| it.outcome != Outcome::Refused) {
            *n_runs.entry(it.request_id).or_default() += 1;
        }
    }
    for service in site.services.values() {
        for it in service.calls().await? {
            *n_runs.entry(it.request_id).or_default() += 1;
        }
    }
    Ok(n_runs)
}

async fn break_at(site: &Site, point: &Point) -> anyhow::Result<()> {
    match point {
        Point::Link(fault) => {
            for id in site.engines.keys().chain(site.services.keys()) {
                site.proxy().set(&format!("endpoint/{id}"), fault).await?;
            }
        }
        Point::Engine(faults) => {
            for engine in site.engines.values() {
                engine.set(faults).await?;
            }
        }
        Point::Service(faults) => {
            for service in site.services.values() {
                service.set(faults).await?;
            }
        }
        Point::Table(fault) => {
            let table = Fault { key_prefix: "claims/".to_owned(), ..fault.clone() };
            let faults = platform::fault::Faults { table, ..Default::default() };
            site.platform.set(&faults).await?;
        }
    }
    Ok(())
}

async fn mend(site: &Site) -> anyhow::Result<()> {
    // A link keeps its target until it is told another.
    let engines = site.engines.iter().map(|(id, it)| (id, it.addr()));
    let services = site.services.iter().map(|(id, it)| (id, it.addr()));
    for (id, addr) in engines.chain(services) {
        let fault = link::Fault { target: Some(addr), ..Default::default() };
        site.proxy().set(&format!("endpoint/{id}"), &fault).await?;
    }
    break_at(site, &Point::Engine(engine::faults::Faults::default())).await?;
    break_at(site, &Point::Service(service::Faults::default())).await?;
    site.platform.mend().await
}

fn link_points() -> Vec<Point> {
    let mode = |mode| link::Fault { mode, ..Default::default() };
    let swallow = |n| link::Fault { swallow_up_after_bytes: Some(n), ..Default::default() };
    let cut = |n| link::Fault { cut_after_bytes_down: Some(n), ..Default::default() };
    // Nobody listens behind the proxy: connections are accepted and then reset.
    let gone = link::Fault { target: Some(([127, 0, 0, 1], 1).into()), ..Default::default() };
    let mut faults = vec![gone];
    // Before the connection, and with it open but lost.
    faults.extend([mode(link::Mode::Cut), mode(link::Mode::SilenceAll)]);
    faults.extend([mode(link::Mode::OneWayUp), mode(link::Mode::OneWayDown)]);
    faults.push(mode(link::Mode::Pause));
    // Within the head of the request and within its body.
    faults.extend([0, 1, 60, 300].map(swallow));
    // Before the answer, within its head and within its body.
    faults.extend([0, 1, 60, 160, 300, 900].map(cut));
    faults.into_iter().map(Point::Link).collect()
}

fn engine_points() -> Vec<Point> {
    let always = Count::Always(true);
    let none = engine::faults::Faults::default();
    let faults = [
        engine::faults::Faults { refuse: always, ..none.clone() },
        engine::faults::Faults { leaving: true, ..none.clone() },
        engine::faults::Faults { error_rate: Some(1.0), ..none.clone() },
        engine::faults::Faults { hang_before_head: always, ..none.clone() },
        engine::faults::Faults { foreign_id: always, ..none.clone() },
        engine::faults::Faults { cut_after_tokens: Some(0), ..none.clone() },
        engine::faults::Faults { cut_after_tokens: Some(3), ..none.clone() },
        engine::faults::Faults { no_end_marker: always, ..none.clone() },
        engine::faults::Faults { first_token_ms: Some(3_000.0), ..none },
    ];
    faults.into_iter().map(Point::Engine).collect()
}

fn service_points() -> Vec<Point> {
    let always = Count::Always(true);
    let none = service::Faults::default();
    let faults = [
        service::Faults { refuse: always, ..none.clone() },
        service::Faults { leaving: true, ..none.clone() },
        service::Faults { hang_before_head: always, ..none.clone() },
        service::Faults { hang_after_run: always, ..none.clone() },
        service::Faults { error_before_run: always, ..none.clone() },
        service::Faults { error_after_run: always, ..none.clone() },
        service::Faults { foreign_id: always, ..none.clone() },
        service::Faults { answer_late_ms: 3_000, ..none },
    ];
    faults.into_iter().map(Point::Service).collect()
}

fn table_points() -> Vec<Point> {
    let fault = |mode, any| Point::Table(Fault { mode, any, ..Fault::default() });
    vec![fault(Mode::Down, false), fault(Mode::Lost, false), fault(Mode::Lost, true)]
}

// A link or an endpoint breaks at some point of a call. A caller who is told "not run" makes the
// call again; if it had run, a crate is posted twice or a retraction printed twice.
#[parameterized(
    whole = { Kind::Whole },
    stream = { Kind::Stream },
    repeatable = { Kind::Repeatable },
    posting = { Kind::Posting },
)]
fn whatever_breaks(kind: Kind) {
    run(each_point(kind)).unwrap();
}

async fn each_point(kind: Kind) -> anyhow::Result<()> {
    const SEED: u64 = 5;
    let mut points = link_points();
    match kind {
        Kind::Whole | Kind::Stream => points.extend(engine_points()),
        Kind::Repeatable => points.extend(service_points()),
        Kind::Posting => points.extend([service_points(), table_points()].concat()),
    }
    // What one fault leaves behind, such as connections and endpoints left out, meets the next.
    points.shuffle(&mut Pcg64Mcg::seed_from_u64(SEED));
    let site = Site::builder()
        .engine("e1", &["m@1"])
        .engine("e2", &["m@1"])
        .service("s1", "ledger")
        .service("s2", "ledger")
        .routers(1)
        .behind_proxy()
        .start()
        .await?;
    let mut told = BTreeMap::new();
    for (n, point) in points.iter().enumerate() {
        break_at(&site, point).await?;
        let id = format!("q{n}");
        let answer = send(&site, kind, &id, DEADLINE_MS).await?;
        told.insert(id, (refusal(&answer), point));
        mend(&site).await?;
    }
    // Bytes that were held back have come by now; a good call shows that all is well again.
    let is_well = async || Ok(send(&site, kind, "last", PATIENT_MS).await?.status == 200);
    eventually(LIMIT, is_well).await?;
    let runs = runs(&site).await?;
    let (mut n_not_run, mut n_unsure) = (0, 0);
    for (id, (refusal, point)) in &told {
        let Some(refusal) = refusal else { continue };
        let n_runs = runs.get(id).copied().unwrap_or(0);
        match refusal.not_run {
            Run::Not => {
                n_not_run += 1;
                assert_eq!(n_runs, 0, "{id} ran, yet its caller heard {refusal:?}; {point:?}");
            }
            Run::Unknown => n_unsure += 1,
            Run::Ran => assert!(0 < n_runs, "{id} never ran; {refusal:?}; {point:?}"),
        }
    }
    println!("{kind:?}: {} points, not run {n_not_run}, unknown {n_unsure}", told.len());
    assert!(0 < n_not_run && 0 < n_unsure, "both kinds of refusals were seen");
    if kind == Kind::Posting {
        let ids = told.keys().map(|id| runs.get(id).copied().unwrap_or(0));
        assert!(ids.max() <= Some(1), "a posting ran twice: {runs:?}");
    }
    Ok(())
}

// An endpoint's process is killed while it works. The call has begun, so nobody may say that it
// didn't; and the next call, which finds nobody there, surely didn't run and is told so at once.
#[parameterized(
    whole = { Kind::Whole },
    stream = { Kind::Stream },
    repeatable = { Kind::Repeatable },
    posting = { Kind::Posting },
)]
fn killed_endpoint(kind: Kind) {
    run(killed_while_it_works(kind)).unwrap();
}

async fn killed_while_it_works(kind: Kind) -> anyhow::Result<()> {
    let mut site =
        Site::builder().engine("e1", &["m@1"]).service("s1", "ledger").routers(1).start().await?;
    let slow = engine::faults::Faults { first_token_ms: Some(20_000.0), ..Default::default() };
    site.engine("e1").set(&slow).await?;
    let slow = service::Faults { answer_late_ms: 20_000, ..Default::default() };
    site.service("s1").set(&slow).await?;
    let (answer, begun) =
        futures_lite::future::zip(send(&site, kind, "begun", PATIENT_MS), async {
            let has_begun = async || Ok(runs(&site).await?.contains_key("begun"));
            eventually(LIMIT, has_begun).await?;
            for pid in [site.engine("e1").process.pid(), site.service("s1").process.pid()] {
                let pid = rustix::process::Pid::from_raw(pid.try_into()?);
                rustix::process::kill_process(
                    pid.expect("a pid isn't 0"),
                    rustix::process::Signal::KILL,
                )?;
            }
            anyhow::Ok(Instant::now())
        })
        .await;
    let (answer, killed_at) = (answer?, begun?);
    assert!(killed_at.elapsed() < AT_ONCE, "the refusal waited: {:?}", killed_at.elapsed());
    let begun = refusal(&answer).expect("a refusal");
    assert_eq!(begun.not_run, Run::Unknown, "{begun:?}");
    for it in site.engines.values_mut() {
        it.process.ended(LIMIT).await?;
    }
    for it in site.services.values_mut() {
        it.process.ended(LIMIT).await?;
    }
    let start = Instant::now();
    let answer = send(&site, kind, "next", PATIENT_MS).await?;
    let next = refusal(&answer).expect("a refusal");
    assert_eq!(next.not_run, Run::Not, "{next:?}");
    assert!(start.elapsed() < AT_ONCE, "{:?}", start.elapsed());
    Ok(())
}

// More comes than the endpoints can take. Whoever can't be served is told so while there is
// time to go elsewhere, and what was refused so has not taken anybody's slot.
#[test]
fn overload() -> anyhow::Result<()> {
    run(async {
        const N_CALLS: usize = 30;
        let site = Site::builder()
            .engine("e1", &["m@1"])
            .routers(1)
            .config(|config| {
                config.policy.queue = 2;
                config.endpoints.values_mut().for_each(|it| it.slots = 1);
            })
            .start()
            .await?;
        let slow = engine::faults::Faults { first_token_ms: Some(700.0), ..Default::default() };
        site.engine("e1").set(&slow).await?;
        let addr = site.router("r1");
        let calls: Vec<_> = (0..N_CALLS)
            .map(|n| {
                let chat = Chat::new("main", "m", "crate 7").with_id(&format!("q{n}"));
                let chat = chat.with_header(header::DEADLINE_MS, PATIENT_MS);
                executor().spawn(async move {
                    let start = Instant::now();
                    (chat.send(&addr).await, start.elapsed())
                })
            })
            .collect();
        let mut refused = Vec::new();
        for (n, call) in calls.into_iter().enumerate() {
            let (answer, took) = call.await;
            if let Some(it) = refusal(&answer?) {
                assert!(took < AT_ONCE, "the refusal waited: {took:?}");
                assert_eq!(it.not_run, Run::Not, "{it:?}");
                assert!(it.retry_after.is_some(), "{it:?}");
                refused.push(format!("q{n}"));
            }
        }
        let runs = runs(&site).await?;
        assert!(N_CALLS / 2 < refused.len(), "only {} were refused", refused.len());
        assert!(refused.iter().all(|it| !runs.contains_key(it)), "{refused:?} {runs:?}");
        Ok(())
    })
}

// The deadline passes while the call waits for a slot, and another one's while the engine works.
// The first didn't run, and never will; of the second nobody may say so.
#[test]
fn deadline_in_the_queue_and_at_the_engine() -> anyhow::Result<()> {
    run(async {
        let site = Site::builder()
            .engine("e1", &["m@1"])
            .routers(1)
            .config(|config| config.endpoints.values_mut().for_each(|it| it.slots = 1))
            .start()
            .await?;
        let slow = engine::faults::Faults { first_token_ms: Some(2_000.0), ..Default::default() };
        site.engine("e1").set(&slow).await?;
        let (at_engine, queued) =
            futures_lite::future::zip(send(&site, Kind::Whole, "engine", "1500"), async {
                let has_begun = async || Ok(runs(&site).await?.contains_key("engine"));
                eventually(LIMIT, has_begun).await?;
                send(&site, Kind::Whole, "queued", "300").await
            })
            .await;
        let (at_engine, queued) = (refusal(&at_engine?), refusal(&queued?));
        assert_eq!(at_engine.map(|it| it.not_run), Some(Run::Unknown));
        assert_eq!(queued.map(|it| it.not_run), Some(Run::Not));
        site.engine("e1").set(&engine::faults::Faults::default()).await?;
        assert_eq!(send(&site, Kind::Whole, "after", PATIENT_MS).await?.status, 200);
        assert!(!runs(&site).await?.contains_key("queued"));
        Ok(())
    })
}
