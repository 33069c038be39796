//! Many callers, and answers that come late or under another's id.

use curranthook_standin::{fault::Count, service};
use curranthook_tests::{
    call::{Answer, Call},
    executor, run,
};
use curranthook_types::{header, refusal::Run};

use super::{Form, chat, site};

// Many callers at once share connections to a few endpoints, some give up early, and answers to
// those come late. On a connection that is used again such an answer would meet the next caller.
#[test]
fn each_of_many_callers_gets_its_own_answer() -> anyhow::Result<()> {
    run(async {
        const N_ROUNDS: usize = 4;
        const N_CALLERS: usize = 40;
        let site = site().service("s1", "ledger").start().await?;
        let addr = site.router("r1");
        for round in 0..N_ROUNDS {
            let late = service::Faults { answer_late_ms: 150, ..Default::default() };
            site.service("s1").set(&late).await?;
            let calls: Vec<_> = (0..N_CALLERS)
                .map(|n| {
                    let id = format!("c{round}-{n}");
                    executor().spawn(async move { call_one(n, &id, addr).await })
                })
                .collect();
            for call in calls {
                call.await?;
            }
            // Those who gave up have left late answers behind; whoever calls now must not get
            // them.
            site.service("s1").set(&service::Faults::default()).await?;
            for n in 0..5 {
                let id = format!("after{round}-{n}");
                assert_own(&read(&id, "60000").send(&addr).await?, &id);
            }
        }
        Ok(())
    })
}

async fn call_one(n: usize, id: &str, addr: std::net::SocketAddr) -> anyhow::Result<()> {
    match n % 4 {
        0 => {
            let answer = read(id, "60").send(&addr).await?;
            let is_late = answer.refusal().is_some_and(|it| it.not_run != Run::Ran);
            assert!(is_late, "{answer:?}");
        }
        1 => assert_own(&read(id, "60000").send(&addr).await?, id),
        2 => assert_answer(&chat(Form::Whole, id).send(&addr).await?, id),
        _ => assert_answer(&chat(Form::Stream, id).send(&addr).await?, id),
    }
    Ok(())
}

/// A call that may be repeated.
fn read(id: &str, deadline: &str) -> Call {
    let call = Call::new("main", http::Method::GET, &format!("/services/ledger/{id}"));
    call.with_id(id).with_header(header::DEADLINE_MS, deadline)
}

fn assert_own(answer: &Answer, id: &str) {
    assert_eq!(answer.status, 200, "{id}: {answer:?}");
    let json = answer.json().unwrap_or_default();
    assert_eq!(json["id"], id, "an answer for another: {answer:?}");
    assert_eq!(answer.header(header::REQUEST_ID), Some(id));
}

fn assert_answer(answer: &Answer, id: &str) {
    assert!(answer.is_whole(), "{id}: {answer:?}");
    assert!(answer.pieces().iter().all(|it| it.id == id), "{id}: {answer:?}");
}

// A service answers with another call's id. A status read is asked for again, a posting isn't,
// and nobody gets the foreign answer.
#[test]
fn a_services_foreign_answer_reaches_nobody() -> anyhow::Result<()> {
    run(async {
        let site = site().service("s1", "ledger").service("s2", "ledger").start().await?;
        let foreign = |n| service::Faults { foreign_id: n, ..Default::default() };
        site.service("s1").set(&foreign(Count::Always(true))).await?;
        for n in 0..6 {
            let id = format!("read{n}");
            assert_own(&read(&id, "60000").send(&site.router("r1")).await?, &id);
        }
        site.service("s2").set(&foreign(Count::Always(true))).await?;
        let call = Call::post("main", "ledger", "crates").with_idempotency_key("k").with_id("post");
        let answer = call.send(&site.router("r1")).await?;
        assert_eq!(answer.refusal().map(|it| it.not_run), Some(Run::Unknown), "{answer:?}");
        let mut n_runs = 0;
        for service in site.services.values() {
            n_runs += service.calls().await?.iter().filter(|it| it.request_id == "post").count();
        }
        assert_eq!(n_runs, 1);
        Ok(())
    })
}
