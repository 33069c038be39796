//! Open connections that go silent for good while new ones work.

use std::time::{Duration, Instant};

use curranthook_standin::{
    engine::{faults::Faults, profile::Profile},
    proxy::link,
};
use curranthook_tests::{
    Site,
    call::{Answer, Call, Chat},
    eventually, run,
    site::Builder,
};
use curranthook_types::{header, refusal::Run};

const LIMIT: Duration = Duration::from_secs(30);
/// An answer within this time didn't wait for the deadline, which is a minute, also on a busy
/// machine. The tests print what it took.
const BOUND: Duration = Duration::from_secs(15);
/// How many calls warm the connections up, enough for the router to know an endpoint's speed.
const N_WARM: usize = 12;

fn site() -> Builder {
    let profile = Profile { slots: 64, ..Profile::default() };
    let site = Site::builder().engine("e1", &["m@1"]).profile("e1", profile);
    site.service("s1", "ledger").routers(2).behind_proxy()
}

fn chat(id: &str) -> Chat {
    Chat::new("main", "m", &format!("crate {id}")).with_id(id).with_max_tokens(8)
}

fn read(id: &str) -> Call {
    Call::new("main", http::Method::GET, &format!("/services/ledger/{id}")).with_id(id)
}

fn posting(key: &str) -> Call {
    let call = Call::post("main", "ledger", "crates").with_idempotency_key(key);
    call.with_id(key).with_body(format!("{{\"crate\":\"{key}\"}}"))
}

/// Leaves idle connections to every endpoint behind.
async fn warm_up(site: &Site) -> anyhow::Result<()> {
    for n in 0..N_WARM {
        let answer = chat(&format!("warm{n}")).send(&site.router("r1")).await?;
        anyhow::ensure!(answer.is_whole(), "{answer:?}");
        let answer = read(&format!("warm{n}")).send(&site.router("r1")).await?;
        anyhow::ensure!(answer.status == 200, "{answer:?}");
    }
    Ok(())
}

async fn silence_endpoints(site: &Site) -> anyhow::Result<()> {
    for id in site.engines.keys().chain(site.services.keys()) {
        site.proxy().set_mode(&format!("endpoint/{id}"), link::Mode::SilenceOpen).await?;
    }
    Ok(())
}

async fn n_runs(site: &Site, id: &str) -> anyhow::Result<usize> {
    let calls = site.service("s1").calls().await?;
    Ok(calls.iter().filter(|it| it.request_id == id).count())
}

fn assert_quick(what: &str, start: Instant) {
    let took = start.elapsed();
    println!("{what}: {took:?}");
    assert!(took < BOUND, "{what} took {took:?}");
}

// Something between router and engine loses track of idle connections. The next request goes
// out on one of them and nothing ever comes back, with no error; the truck waits at the gate.
#[test]
fn a_chat_on_a_silent_idle_connection_is_answered() -> anyhow::Result<()> {
    run(async {
        for n_engines in [1, 2] {
            let mut site = site();
            if n_engines == 2 {
                site = site.engine("e2", &["m@1"]);
            }
            let site = site.start().await?;
            warm_up(&site).await?;
            silence_endpoints(&site).await?;
            let start = Instant::now();
            let answer = chat("silent").send(&site.router("r1")).await?;
            assert!(answer.is_whole(), "{answer:?}");
            assert_quick(&format!("chat, {n_engines} engines"), start);
            let start = Instant::now();
            let answer = chat("silent2").streamed().send(&site.router("r1")).await?;
            assert!(answer.is_whole(), "{answer:?}");
            assert_quick("the next chat", start);
        }
        Ok(())
    })
}

// Busy hours leave many idle connections behind, and all go silent. If each had to be found out
// by a request of its own, the delays would go on for as many requests, and the node would run
// out of retries on the way.
#[test]
fn many_silent_idle_connections_are_found_out_at_once() -> anyhow::Result<()> {
    run(async {
        const N_IDLE: usize = 40;
        let site = site().start().await?;
        warm_up(&site).await?;
        site.engine("e1").set(&Faults { first_token_ms: Some(300.0), ..Faults::default() }).await?;
        at_once(&site, "idle", N_IDLE).await?;
        site.engine("e1").set(&Faults::default()).await?;
        warm_up(&site).await?;
        silence_endpoints(&site).await?;
        let start = Instant::now();
        at_once(&site, "after", N_IDLE).await?;
        assert_quick("forty chats at once", start);
        Ok(())
    })
}

/// Makes calls at the same time, each of which has to be answered.
async fn at_once(site: &Site, name: &str, n_calls: usize) -> anyhow::Result<()> {
    let addr = site.router("r1");
    let calls: Vec<_> = (0..n_calls)
        .map(|n| {
            let chat = chat(&format!("{name}{n}"));
            curranthook_tests::executor().spawn(async move { chat.send(&addr).await })
        })
        .collect();
    for call in calls {
        let answer = call.await?;
        anyhow::ensure!(answer.is_whole(), "{answer:?}");
    }
    Ok(())
}

// The same for a status read of a service, before the router knows how quick the service is.
#[test]
fn a_read_on_a_silent_idle_connection_is_answered() -> anyhow::Result<()> {
    run(async {
        let site = site().start().await?;
        assert_eq!(read("warm").send(&site.router("r1")).await?.status, 200);
        silence_endpoints(&site).await?;
        let start = Instant::now();
        let answer = read("silent").send(&site.router("r1")).await?;
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_quick("read", start);
        assert_eq!(n_runs(&site, "silent").await?, 1);
        Ok(())
    })
}

// A posting can't be tried twice, so on a silent connection it would be lost: nobody could say
// whether it ran, and the farmer's crate would be in doubt.
#[test]
fn a_posting_is_neither_lost_nor_doubled() -> anyhow::Result<()> {
    run(async {
        let site = site().start().await?;
        for n in 0..3 {
            warm_up(&site).await?;
            silence_endpoints(&site).await?;
            let key = format!("post{n}");
            let start = Instant::now();
            let answer = posting(&key).send(&site.router("r1")).await?;
            assert_eq!(answer.status, 200, "{answer:?}");
            assert_quick("posting", start);
            assert_eq!(n_runs(&site, &key).await?, 1);
        }
        Ok(())
    })
}

// Only one way is lost: the posting arrives and its answer doesn't. Nobody may send it again.
#[test]
fn a_posting_whose_answer_is_swallowed_runs_once() -> anyhow::Result<()> {
    run(async {
        let site = site().service("s2", "ledger").start().await?;
        for id in ["s1", "s2"] {
            site.proxy().set_mode(&format!("endpoint/{id}"), link::Mode::OneWayUp).await?;
        }
        let call = posting("swallowed").with_header(header::DEADLINE_MS, "1500");
        let refused = call.send(&site.router("r1")).await?;
        assert_eq!(refused.refusal().map(|it| it.not_run), Some(Run::Unknown), "{refused:?}");
        for id in ["s1", "s2"] {
            site.proxy().set_mode(&format!("endpoint/{id}"), link::Mode::Pass).await?;
        }
        for vm in ["r1", "r2"] {
            let again = posting("swallowed").send(&site.router(vm)).await?;
            assert_eq!(again.refusal().map(|it| it.not_run), Some(Run::Unknown), "{again:?}");
        }
        let mut n_runs = 0;
        for service in site.services.values() {
            let calls = service.calls().await?;
            n_runs += calls.iter().filter(|it| it.request_id == "swallowed").count();
        }
        assert_eq!(n_runs, 1);
        Ok(())
    })
}

// The connection goes silent in the middle of a stream, one way or both. The caller reads half
// a summary and waits.
#[test]
fn a_stream_that_goes_silent_is_taken_up() -> anyhow::Result<()> {
    run(async {
        for mode in [link::Mode::SilenceOpen, link::Mode::OneWayUp, link::Mode::OneWayDown] {
            let site = site().engine("e2", &["m@1"]).start().await?;
            for engine in site.engines.values() {
                engine.set(&Faults { token_ms: Some(100.0), ..Faults::default() }).await?;
            }
            let mut stream = chat("stream").streamed().open(&site.router("r1")).await?;
            stream.read_events(2).await?;
            let at = stream.so_far().header(header::ENDPOINT).expect("it is told").to_owned();
            let start = Instant::now();
            site.proxy().set_mode(&format!("endpoint/{at}"), mode).await?;
            let answer = stream.finish().await?;
            assert!(answer.is_whole(), "{answer:?}");
            let n_tokens = answer.pieces().len();
            assert_eq!(n_tokens, 8, "no token is missing or doubled: {}", answer.text());
            assert_quick(&format!("stream, {mode:?}"), start);
        }
        Ok(())
    })
}

// The caller's own connection goes silent: its stream stops, and the answer to its posting never
// comes. It comes back on a new connection; what ran must not run again.
#[test]
fn a_caller_whose_connection_went_silent_comes_back() -> anyhow::Result<()> {
    run(async {
        let site = site().start().await?;
        let late =
            curranthook_standin::service::Faults { answer_late_ms: 300, ..Default::default() };
        site.service("s1").set(&late).await?;
        let addr = site.router("r1");
        let first =
            curranthook_tests::executor().spawn(async move { posting("caller").send(&addr).await });
        eventually(LIMIT, async || Ok(n_runs(&site, "caller").await? == 1)).await?;
        site.proxy().set_mode("caller/r1", link::Mode::SilenceOpen).await?;
        let start = Instant::now();
        let replay = until_answered(&site, "caller").await?;
        assert_eq!(replay.header(header::REPLAYED), Some("true"));
        assert_quick("replay", start);
        assert_eq!(n_runs(&site, "caller").await?, 1);
        assert!(!first.is_finished(), "the first connection stays silent");
        drop(first);
        Ok(())
    })
}

async fn until_answered(site: &Site, key: &str) -> anyhow::Result<Answer> {
    let is_answered = async || Ok(posting(key).send(&site.router("r1")).await?.status == 200);
    eventually(LIMIT, is_answered).await?;
    posting(key).send(&site.router("r1")).await
}

// The router's idle connections to the platform go silent. A posting needs the platform, and
// would be refused although the platform is well.
#[test]
fn a_posting_over_silent_connections_to_the_platform_runs_once() -> anyhow::Result<()> {
    run(async {
        let site = site().start().await?;
        for n in 0..3 {
            let key = format!("platform{n}");
            // Several at once leave several connections behind.
            warm_platform(&site, n).await?;
            site.proxy().set_mode("platform/r1", link::Mode::SilenceOpen).await?;
            let start = Instant::now();
            let answer = posting(&key).send(&site.router("r1")).await?;
            assert_eq!(answer.status, 200, "{answer:?}");
            assert_quick("posting over a silent platform connection", start);
            assert_eq!(n_runs(&site, &key).await?, 1);
        }
        Ok(())
    })
}

async fn warm_platform(site: &Site, round: usize) -> anyhow::Result<()> {
    let addr = site.router("r1");
    let calls: Vec<_> = (0..6)
        .map(|n| {
            let call = posting(&format!("warm{round}-{n}"));
            curranthook_tests::executor().spawn(async move { call.send(&addr).await })
        })
        .collect();
    for call in calls {
        anyhow::ensure!(call.await?.status == 200, "a posting failed");
    }
    Ok(())
}
