//! A call that may not be repeated runs at most once.

#[path = "at_most_once/frozen.rs"]
mod frozen;
#[path = "at_most_once/platform.rs"]
mod platform;

use std::time::{Duration, Instant};

use async_io::Timer;
use curranthook_standin::{fault::Count, proxy::link, service};
use curranthook_tests::{
    Site,
    call::{Answer, Call},
    eventually, executor, run,
    site::Builder,
};
use curranthook_types::{
    header,
    refusal::{Reason, Run},
};
use futures_lite::future;

const LIMIT: Duration = Duration::from_secs(30);
/// A refusal that comes within this time came at once, also on a busy machine. The callers'
/// deadline is a minute.
const AT_ONCE: Duration = Duration::from_secs(10);
/// The pause before a refused call is made again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

fn posting(key: &str) -> Call {
    Call::post("main", "ledger", "crates")
        .with_idempotency_key(key)
        .with_body(format!("{{\"crate\":\"{key}\"}}"))
}

fn site() -> Builder {
    Site::builder().service("s1", "ledger").routers(2)
}

/// How often the endpoints ran the call with `key`.
async fn n_runs(site: &Site, key: &str) -> anyhow::Result<usize> {
    let body = format!("{{\"crate\":\"{key}\"}}");
    let mut n = 0;
    for service in site.services.values() {
        n += service.calls().await?.iter().filter(|it| it.body == body).count();
    }
    Ok(n)
}

/// Repeats the call until it is answered, as a caller does that was told to come back.
async fn repeat(site: &Site, vm: &str, key: &str) -> anyhow::Result<Answer> {
    let start = Instant::now();
    loop {
        let answer = posting(key).send(&site.router(vm)).await?;
        if answer.status == 200 {
            return Ok(answer);
        }
        anyhow::ensure!(start.elapsed() < LIMIT, "still refused: {answer:?}");
        Timer::after(RETRY_PAUSE).await;
    }
}

fn code(answer: &Answer) -> Option<(Reason, Run)> {
    answer.refusal().map(|it| (it.code, it.not_run))
}

/// An answer that somebody waits for.
type Waiting = async_executor::Task<anyhow::Result<Answer>>;

/// Sends the call in the background, as a caller who waits.
fn spawn(call: Call, site: &Site, vm: &str) -> Waiting {
    let addr = site.router(vm);
    executor().spawn(async move { call.send(&addr).await })
}

// A caller that gets no answer asks another router while the first still works. If both sent the
// posting, a buyer would be billed twice.
async fn race(n_routers: usize) -> anyhow::Result<()> {
    const N_KEYS: usize = 12;
    let site = site().service("s2", "ledger").routers(n_routers).start().await?;
    for n in 0..N_KEYS {
        let key = format!("race-{n}");
        let all: Vec<_> =
            (1..=n_routers).map(|vm| spawn(posting(&key), &site, &format!("r{vm}"))).collect();
        let mut n_first = 0;
        for answer in all {
            let answer = answer.await?;
            match answer.status {
                200 if answer.header(header::REPLAYED).is_none() => n_first += 1,
                200 => {}
                _ => {
                    let told = code(&answer);
                    assert_eq!(told, Some((Reason::KeyClaimed, Run::Unknown)), "{answer:?}");
                }
            }
        }
        assert_eq!(n_first, 1, "one caller gets the answer at first hand");
        assert_eq!(n_runs(&site, &key).await?, 1);
    }
    Ok(())
}

#[test]
fn two_routers_with_one_key_at_once_run_it_once() -> anyhow::Result<()> {
    run(race(2))
}

#[test]
fn five_routers_with_one_key_at_once_run_it_once() -> anyhow::Result<()> {
    run(race(5))
}

// The endpoint takes its time. A caller who comes back meanwhile, on any router, must not make
// it run again.
#[test]
fn a_late_answer_isnt_asked_for_twice() -> anyhow::Result<()> {
    run(async {
        let site = site().service("s2", "ledger").start().await?;
        for id in ["s1", "s2"] {
            let late = service::Faults { answer_late_ms: 3_000, ..Default::default() };
            site.service(id).set(&late).await?;
        }
        let first = spawn(posting("slow"), &site, "r1");
        eventually(LIMIT, async || Ok(n_runs(&site, "slow").await? == 1)).await?;
        for vm in ["r1", "r2"] {
            let again = posting("slow").send(&site.router(vm)).await?;
            assert_eq!(code(&again), Some((Reason::KeyClaimed, Run::Unknown)), "{again:?}");
        }
        assert_eq!(first.await?.status, 200);
        assert_eq!(n_runs(&site, "slow").await?, 1);
        // The deadline passes before the answer comes: nobody knows, so nobody tries again.
        let call = posting("slower").with_header(header::DEADLINE_MS, "500");
        let refused = call.send(&site.router("r1")).await?;
        assert_eq!(refused.refusal().map(|it| it.not_run), Some(Run::Unknown), "{refused:?}");
        let again = posting("slower").send(&site.router("r2")).await?;
        assert_eq!(code(&again), Some((Reason::KeyClaimed, Run::Unknown)), "{again:?}");
        assert_eq!(n_runs(&site, "slower").await?, 1);
        Ok(())
    })
}

// A key that is used for a second, different posting is a fault of the caller. Answered with
// the first one's outcome, the second would be lost without a word.
#[test]
fn a_key_used_for_another_call_is_an_error() -> anyhow::Result<()> {
    run(async {
        let site = site().start().await?;
        let first = repeat(&site, "r1", "reused").await?;
        let others = [
            posting("reused").with_body("{\"crate\":\"other\"}"),
            Call::post("main", "ledger", "pens")
                .with_idempotency_key("reused")
                .with_body("{\"crate\":\"reused\"}"),
        ];
        for other in others {
            let other = other.send(&site.router("r2")).await?;
            assert_eq!(other.status, 422);
            assert_eq!(code(&other), Some((Reason::KeyReused, Run::Not)), "{other:?}");
        }
        assert_eq!(site.service("s1").calls().await?.len(), 1);
        assert_eq!(repeat(&site, "r2", "reused").await?.body, first.body);
        Ok(())
    })
}

// The caller hangs up while its posting is under way. Were the call dropped with the
// connection, its claim would stay without an outcome, and the caller who comes back with the
// same key would never learn whether the crate was posted.
#[test]
fn a_call_whose_caller_goes_away_is_finished() -> anyhow::Result<()> {
    run(async {
        let site = site().start().await?;
        site.service("s1")
            .set(&service::Faults { answer_late_ms: 500, ..Default::default() })
            .await?;
        let addr = site.router("r1");
        let call = posting("gone");
        let has_run = eventually(LIMIT, async || Ok(n_runs(&site, "gone").await? == 1));
        let caller = async {
            call.open(&addr).await?;
            anyhow::bail!("the answer came before the caller left")
        };
        // The call is dropped, and its connection closed, once the endpoint has begun.
        future::or(has_run, caller).await?;
        let replay = repeat(&site, "r2", "gone").await?;
        assert_eq!(replay.header(header::REPLAYED), Some("true"));
        assert_eq!(n_runs(&site, "gone").await?, 1);
        Ok(())
    })
}

// No connection to the endpoint can be made, so the posting surely went nowhere. The claim is
// given back, and the same key runs once the endpoint is there again.
#[test]
fn a_claim_for_an_unreachable_endpoint_is_released() -> anyhow::Result<()> {
    run(async {
        let site = site().behind_proxy().start().await?;
        site.proxy().set_mode("endpoint/s1", link::Mode::Cut).await?;
        let start = Instant::now();
        let refused = posting("away").send(&site.router("r1")).await?;
        assert_eq!(refused.refusal().map(|it| it.not_run), Some(Run::Not), "{refused:?}");
        assert!(start.elapsed() < AT_ONCE, "{:?}", start.elapsed());
        site.proxy().set_mode("endpoint/s1", link::Mode::Pass).await?;
        repeat(&site, "r2", "away").await?;
        assert_eq!(n_runs(&site, "away").await?, 1);
        Ok(())
    })
}

// A claim that was given back is open to all. Its caller, impatient by now, asks every router at
// once, and each sees that the row is free.
#[test]
fn a_released_claim_is_taken_over_by_one_router() -> anyhow::Result<()> {
    run(async {
        let site = site().routers(5).behind_proxy().start().await?;
        for n in 0..4 {
            let key = format!("released{n}");
            site.proxy().set_mode("endpoint/s1", link::Mode::Cut).await?;
            let refused = posting(&key).send(&site.router("r1")).await?;
            assert_eq!(refused.refusal().map(|it| it.not_run), Some(Run::Not), "{refused:?}");
            let is_released = async || {
                let rows = site.platform.rows("claims").await?;
                Ok(rows.iter().filter(|it| it.value.contains("released")).count() == 1)
            };
            eventually(LIMIT, is_released).await?;
            site.proxy().set_mode("endpoint/s1", link::Mode::Pass).await?;
            let all: Vec<_> =
                (1..=5).map(|vm| spawn(posting(&key), &site, &format!("r{vm}"))).collect();
            for answer in all {
                let answer = answer.await?;
                let told = answer.refusal().map(|it| it.not_run);
                assert!(answer.status == 200 || told.is_some(), "{answer:?}");
            }
            repeat(&site, "r2", &key).await?;
            assert_eq!(n_runs(&site, &key).await?, 1);
        }
        Ok(())
    })
}

// The endpoint posts the crate and dies before it can say so. Its record dies with it, but the
// other endpoint's shows whether anybody tried again.
#[test]
fn a_call_whose_endpoint_died_is_never_sent_again() -> anyhow::Result<()> {
    run(async {
        let mut site = site().service("s2", "ledger").start().await?;
        for id in ["s1", "s2"] {
            site.service(id)
                .set(&service::Faults { die_after_run: true, ..Default::default() })
                .await?;
        }
        let refused = posting("died").send(&site.router("r1")).await?;
        assert_eq!(code(&refused), Some((Reason::EndpointFailed, Run::Unknown)), "{refused:?}");
        for vm in ["r1", "r2", "r1", "r2"] {
            let again = posting("died").send(&site.router(vm)).await?;
            assert_eq!(code(&again), Some((Reason::KeyClaimed, Run::Unknown)), "{again:?}");
        }
        let mut alive = Vec::new();
        for (id, service) in &mut site.services {
            if service.process.is_running() {
                alive.push(id.clone());
            }
        }
        assert_eq!(alive.len(), 1, "one endpoint ran it and died");
        assert!(site.service(&alive[0]).calls().await?.is_empty());
        Ok(())
    })
}

// An endpoint that says it has not begun, or can't be reached, leaves the way open to the next
// one; one that ran the call and failed doesn't.
#[test]
fn only_a_call_that_surely_didnt_begin_goes_to_another_endpoint() -> anyhow::Result<()> {
    run(async {
        let site = site().service("s2", "ledger").start().await?;
        for id in ["s1", "s2"] {
            let refuse = service::Faults { refuse: Count::Next(1), ..Default::default() };
            site.service(id).set(&refuse).await?;
        }
        let refused = posting("full").send(&site.router("r1")).await?;
        assert_eq!(refused.refusal().map(|it| it.not_run), Some(Run::Not), "{refused:?}");
        repeat(&site, "r2", "full").await?;
        assert_eq!(n_runs(&site, "full").await?, 1);
        for id in ["s1", "s2"] {
            let broken =
                service::Faults { error_after_run: Count::Always(true), ..Default::default() };
            site.service(id).set(&broken).await?;
        }
        let failed = posting("broken").send(&site.router("r1")).await?;
        assert_eq!(failed.status, 500, "the endpoint's own answer: {failed:?}");
        assert_eq!(n_runs(&site, "broken").await?, 1);
        Ok(())
    })
}

// The answer to a repeat has to be the first answer, whichever router gives it.
#[test]
fn a_replay_is_the_first_answer_byte_for_byte() -> anyhow::Result<()> {
    run(async {
        let site = site().start().await?;
        let first = repeat(&site, "r1", "bytes").await?;
        for vm in ["r2", "r1"] {
            // Until the outcome is stored, a repeat is told that the call is running.
            let replay = repeat(&site, vm, "bytes").await?;
            assert_eq!(replay.header(header::REPLAYED), Some("true"));
            assert_eq!(replay.status, first.status);
            assert_eq!(replay.body, first.body);
            assert_eq!(replay.header("content-type"), first.header("content-type"));
        }
        assert_eq!(n_runs(&site, "bytes").await?, 1);
        Ok(())
    })
}
