//! A refusal that says "not run" is true.

#[path = "true_refusal/point.rs"]
mod point;

use std::{
    collections::BTreeMap,
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use curranthook_standin::{
    engine::{faults::Faults, record::Outcome},
    fault::Count,
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

use point::{Point, break_at, mend};

/// Decides the order of faults.
const SEED: u64 = 5;
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
    #[derive(Debug, serde::Deserialize)]
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
    let (between, within) = point::all(kind);
    let mut points: Vec<_> = between.into_iter().chain(within).map(|it| vec![it]).collect();
    // What one fault leaves behind, such as connections and endpoints left out, meets the next.
    points.shuffle(&mut Pcg64Mcg::seed_from_u64(SEED));
    check_all(kind, &points).await
}

// Two things break at once: a link and what is behind it.
#[parameterized(
    whole = { Kind::Whole },
    stream = { Kind::Stream },
    repeatable = { Kind::Repeatable },
    posting = { Kind::Posting },
)]
fn whatever_breaks_together(kind: Kind) {
    run(pairs_of_points(kind)).unwrap();
}

async fn pairs_of_points(kind: Kind) -> anyhow::Result<()> {
    const N_PAIRS: usize = 30;
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    let (between, within) = point::all(kind);
    let all = between.iter().flat_map(|one| within.iter().map(move |other| [one, other]));
    let mut pairs: Vec<Vec<Point>> = all.map(|it| it.map(Clone::clone).to_vec()).collect();
    pairs.shuffle(&mut rng);
    pairs.truncate(N_PAIRS);
    check_all(kind, &pairs).await
}

/// Breaks one set of points after the other, makes a call under each and compares what callers
/// were told with what ran.
async fn check_all(kind: Kind, sets: &[Vec<Point>]) -> anyhow::Result<()> {
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
    for (n, points) in sets.iter().enumerate() {
        for point in points {
            break_at(&site, point).await?;
        }
        let id = format!("q{n}");
        let answer = send(&site, kind, &id, DEADLINE_MS).await?;
        told.insert(id, (refusal(&answer), points));
        mend(&site).await?;
    }
    // Bytes that were held back have come by now; a good call shows that all is well again.
    let is_well = async || Ok(send(&site, kind, "last", PATIENT_MS).await?.status == 200);
    eventually(LIMIT, is_well).await?;
    let runs = runs(&site).await?;
    let (mut n_not_run, mut n_unsure) = (0, 0);
    for (id, (refusal, points)) in &told {
        let Some(refusal) = refusal else { continue };
        let n_runs = runs.get(id).copied().unwrap_or(0);
        match refusal.not_run {
            Run::Not => {
                n_not_run += 1;
                assert_eq!(n_runs, 0, "{id} ran, yet its caller heard {refusal:?}; {points:?}");
            }
            Run::Unknown => n_unsure += 1,
            Run::Ran => assert!(0 < n_runs, "{id} never ran; {refusal:?}; {points:?}"),
        }
    }
    println!(
        "{kind:?}, seed {SEED}: {} cases, not run {n_not_run}, unknown {n_unsure}",
        told.len()
    );
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
    let slow = Faults { first_token_ms: Some(20_000.0), ..Default::default() };
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
        let slow = Faults { first_token_ms: Some(700.0), ..Default::default() };
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
        let slow = Faults { first_token_ms: Some(2_000.0), ..Default::default() };
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
        site.engine("e1").set(&Faults::default()).await?;
        assert_eq!(send(&site, Kind::Whole, "after", PATIENT_MS).await?.status, 200);
        assert!(!runs(&site).await?.contains_key("queued"));
        Ok(())
    })
}

// The first attempt hangs, a second one beside it can't even connect, and then the first one's
// connection breaks. The second surely didn't run; the request as a whole may have.
#[test]
fn the_worse_of_two_attempts_counts() -> anyhow::Result<()> {
    run(async {
        // Longer than the router waits before a second attempt.
        const SECOND_FAILED: Duration = Duration::from_secs(4);
        let site = Site::builder().engine("e1", &["m@1"]).routers(1).behind_proxy();
        let site = site.start().await?;
        let hang = Faults { hang_before_head: Count::Always(true), ..Default::default() };
        site.engine("e1").set(&hang).await?;
        let breaks = async {
            let has_begun = async || Ok(runs(&site).await?.contains_key("two"));
            eventually(LIMIT, has_begun).await?;
            site.proxy().set_mode("endpoint/e1", link::Mode::Refuse).await?;
            async_io::Timer::after(SECOND_FAILED).await;
            site.proxy().set_mode("endpoint/e1", link::Mode::Cut).await
        };
        let call = send(&site, Kind::Whole, "two", PATIENT_MS);
        let (answer, broken) = futures_lite::future::zip(call, breaks).await;
        broken?;
        assert_eq!(refusal(&answer?).map(|it| it.not_run), Some(Run::Unknown));
        Ok(())
    })
}

// Answers are crossed, and a call gets the "not begun" that was meant for another. Believed, it
// would be sent to the next endpoint as well, or its caller told to try again; the endpoint may
// be posting the crate at that moment.
#[test]
fn a_refusal_meant_for_another_call_isnt_believed() -> anyhow::Result<()> {
    run(async {
        let (addr, n_received) = crossed()?;
        let site = Site::builder().service("s1", "ledger").service("s2", "ledger").routers(1);
        let site = site.config(move |config| {
            config.endpoints.values_mut().for_each(|it| it.address = addr);
        });
        let site = site.start().await?;
        let answer = send(&site, Kind::Posting, "mine", PATIENT_MS).await?;
        let refusal = refusal(&answer).expect("a refusal");
        assert_eq!(refusal.not_run, Run::Unknown, "{refusal:?}");
        assert_eq!(n_received.load(Ordering::SeqCst), 1, "the posting went out once");
        Ok(())
    })
}

/// Starts an endpoint that answers each call with another one's refusal, and counts the calls.
fn crossed() -> anyhow::Result<(SocketAddr, Arc<AtomicUsize>)> {
    const ANSWER: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nx-request-id: another\r\n\
        x-endpoint-not-started: true\r\ncontent-length: 0\r\n\r\n";
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let addr = listener.local_addr()?;
    let n_received = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&n_received);
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut buf = [0; 4096];
            if stream.read(&mut buf).is_ok_and(|n_read| buf[..n_read].starts_with(b"POST")) {
                count.fetch_add(1, Ordering::SeqCst);
                let _caller_may_be_gone = stream.write_all(ANSWER);
            }
        }
    });
    Ok((addr, n_received))
}
