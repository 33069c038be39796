//! The whole answer, and to its own caller.

#[path = "whole_answer/callers.rs"]
mod callers;

use std::{
    collections::BTreeSet,
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use curranthook_standin::{
    engine::{faults::Faults, profile::Profile, record::Outcome},
    fault::Count,
    proxy::link,
};
use curranthook_tests::{
    Site,
    call::{Answer, Chat},
    eventually, run,
    site::Builder,
};
use curranthook_types::{header, refusal::Run};
use yare::parameterized;

const LIMIT: Duration = Duration::from_secs(30);
const N_TOKENS: u64 = 8;

/// How an answer is given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Form {
    Whole,
    Stream,
}

fn chat(form: Form, id: &str) -> Chat {
    let chat = Chat::new("main", "m@1", &format!("crate {id}")).with_id(id);
    let chat = chat.with_max_tokens(N_TOKENS);
    match form {
        Form::Whole => chat,
        Form::Stream => chat.streamed(),
    }
}

/// Two versions on the same engines, so that a mixed answer is possible.
fn site() -> Builder {
    let versions = ["m@1", "m@2"];
    Site::builder().engine("e1", &versions).engine("e2", &versions).routers(1)
}

async fn set_all(site: &Site, faults: &Faults) -> anyhow::Result<()> {
    for engine in site.engines.values() {
        engine.set(faults).await?;
    }
    Ok(())
}

/// What engine `e1` answers to a request with this id when nothing goes wrong. It follows from
/// id, prompt and version alone, so it is asked directly.
async fn uncut(site: &Site, id: &str) -> anyhow::Result<String> {
    let chat = chat(Form::Whole, id);
    Ok(chat.send(&site.engine("e1").addr()).await?.text())
}

fn assert_whole(answer: &Answer, id: &str, text: &str) {
    assert!(answer.is_whole(), "{id}: {answer:?}");
    assert_eq!(answer.text(), text, "{id}");
    assert!(answer.pieces().iter().all(|it| it.id == id && it.model == "m@1"), "{answer:?}");
}

/// The versions that ran the request, on any engine.
async fn versions(site: &Site, id: &str) -> anyhow::Result<BTreeSet<String>> {
    let mut versions = BTreeSet::new();
    for engine in site.engines.values() {
        let runs = engine.runs().await?.into_iter().filter(|it| it.request_id == id);
        versions.extend(runs.map(|it| it.version));
    }
    Ok(versions)
}

/// Puts `faults` in force at engine `e1` and sends requests until one was begun there and taken
/// up at the other engine. Every answer has to be whole, whichever way it came.
async fn until_taken_up(
    site: &Site,
    form: Form,
    name: &str,
    faults: &Faults,
) -> anyhow::Result<()> {
    const MOST: usize = 60;
    until_answered_by_first(site, name).await?;
    site.engine("e1").set(faults).await?;
    for n in 0..MOST {
        let id = format!("{name}-{n}");
        let answer = chat(form, &id).send(&site.router("r1")).await?;
        site.engine("e1").set(faults).await?;
        let mut n_engines = 0;
        for engine in site.engines.values() {
            let runs = engine.runs().await?;
            n_engines += usize::from(runs.iter().any(|it| it.request_id == id));
        }
        assert_eq!(versions(site, &id).await?, ["m@1".to_owned()].into());
        site.engine("e1").set(&Faults::default()).await?;
        assert_whole(&answer, &id, &uncut(site, &id).await?);
        if n_engines == site.engines.len() {
            return Ok(());
        }
        site.engine("e1").set(faults).await?;
    }
    anyhow::bail!("{name}: no answer was taken up in {MOST} requests")
}

/// Sends requests until engine `e1` has answered one: after a few failures in a row it is left
/// out for a while.
async fn until_answered_by_first(site: &Site, name: &str) -> anyhow::Result<()> {
    let n_sent = AtomicUsize::new(0);
    let is_answered = async || {
        let id = format!("{name}-good-{}", n_sent.fetch_add(1, Ordering::Relaxed));
        let answer = chat(Form::Whole, &id).send(&site.router("r1")).await?;
        anyhow::ensure!(answer.is_whole(), "{answer:?}");
        let runs = site.engine("e1").runs().await?;
        Ok(runs.iter().any(|it| it.request_id == id))
    };
    eventually(LIMIT, is_answered).await
}

// An engine dies or its connection breaks in the middle of an answer. A caller sees a summary
// that stops half-way, or, where the answer is taken up carelessly, words twice or missing.
#[parameterized(
    whole = { Form::Whole },
    stream = { Form::Stream },
)]
fn an_answer_cut_at_any_token_is_taken_up_there(form: Form) {
    run(async {
        let site = site().start().await?;
        for after in 0..=N_TOKENS {
            let cut =
                Faults { cut_after_tokens: Some(after), cut_next: Some(1), ..Faults::default() };
            until_taken_up(&site, form, &format!("cut{after}"), &cut).await?;
        }
        anyhow::Ok(())
    })
    .unwrap();
}

// The engine that took the answer up breaks as well. The place to go on from is then counted
// over both pieces; counted from the last one alone, words would come twice.
#[parameterized(
    whole = { Form::Whole },
    stream = { Form::Stream },
)]
fn an_answer_cut_twice_is_whole(form: Form) {
    run(async {
        let site = site().engine("e3", &["m@1", "m@2"]).start().await?;
        // Three pieces of at least 3 tokens are enough for 8.
        for after in 3..5 {
            let id = format!("twice{after}");
            let text = uncut(&site, &id).await?;
            let cut = Faults { cut_after_tokens: Some(after), ..Faults::default() };
            set_all(&site, &cut).await?;
            let answer = chat(form, &id).send(&site.router("r1")).await?;
            set_all(&site, &Faults::default()).await?;
            assert_whole(&answer, &id, &text);
            assert_eq!(versions(&site, &id).await?, ["m@1".to_owned()].into());
        }
        anyhow::Ok(())
    })
    .unwrap();
}

// With two engines left, both of which break in one answer, the first has to take it up again:
// a connection that broke doesn't mean that the engine is gone.
#[test]
fn an_answer_cut_on_each_engine_is_whole() -> anyhow::Result<()> {
    run(async {
        let site = site().start().await?;
        let id = "each";
        let text = uncut(&site, id).await?;
        let cut = Faults { cut_after_tokens: Some(3), ..Faults::default() };
        set_all(&site, &cut).await?;
        let answer = chat(Form::Stream, id).send(&site.router("r1")).await?;
        assert_whole(&answer, id, &text);
        Ok(())
    })
}

// Answers come with another request's id, without their end marker, as an error, or not at all.
// Passed on, a weighmaster would read another's crates, or half a summary that looks finished.
#[parameterized(
    whole = { Form::Whole },
    stream = { Form::Stream },
)]
fn an_answer_that_isnt_beyond_doubt_is_asked_for_again(form: Form) {
    run(async {
        let site = site().start().await?;
        let once = Count::Next(1);
        let none = Faults::default();
        let all = [
            ("foreign", Faults { foreign_id: once, ..none.clone() }),
            ("endless", Faults { no_end_marker: once, ..none.clone() }),
            ("silent", Faults { hang_before_head: once, ..none.clone() }),
            ("late", Faults { answer_late_ms: 4_000, ..none }),
        ];
        for (name, faults) in all {
            until_taken_up(&site, form, name, &faults).await?;
        }
        anyhow::Ok(())
    })
    .unwrap();
}

// No engine gives a whole answer. The caller has to see that, also in a stream that has begun:
// half a summary without a sign that it is half would go out to the auction yard.
#[test]
fn what_cant_be_made_whole_doesnt_look_whole() -> anyhow::Result<()> {
    run(async {
        let site = site().start().await?;
        let faults = [
            Faults { cut_after_tokens: Some(1), ..Faults::default() },
            Faults { foreign_id: Count::Always(true), ..Faults::default() },
            Faults { no_end_marker: Count::Always(true), ..Faults::default() },
        ];
        for (n, faults) in faults.iter().enumerate() {
            set_all(&site, faults).await?;
            for form in [Form::Whole, Form::Stream] {
                let id = format!("{form:?}{n}");
                let answer = chat(form, &id).send(&site.router("r1")).await?;
                assert!(!answer.is_whole(), "{answer:?}");
                assert!(answer.pieces().iter().all(|it| it.id == id || it.id.is_empty()));
                if let Some(refusal) = answer.refusal() {
                    assert_eq!(refusal.not_run, Run::Unknown, "{refusal:?}");
                }
            }
        }
        Ok(())
    })
}

// An engine stands still in the middle of an answer; its connection stays open and nothing
// comes. The caller would wait until the deadline for words that never come.
#[test]
fn an_answer_from_a_frozen_engine_is_taken_up() -> anyhow::Result<()> {
    run(async {
        let mut site = site().start().await?;
        let text = uncut(&site, "frozen").await?;
        set_all(&site, &Faults { token_ms: Some(150.0), ..Faults::default() }).await?;
        let mut stream = chat(Form::Stream, "frozen").open(&site.router("r1")).await?;
        stream.read_events(2).await?;
        let at = stream.so_far().header(header::ENDPOINT).expect("it is told").to_owned();
        let engine = site.engines.get_mut(&at).expect("an engine of this site");
        engine.process.freeze()?;
        let answer = stream.finish().await;
        engine.process.thaw()?;
        let answer = answer?;
        assert_whole(&answer, "frozen", &text);
        let last = answer.events.last().map(|it| it.after).unwrap_or_default();
        assert!(last < LIMIT, "it took {last:?}");
        Ok(())
    })
}

// The network resets or silences the connection under an answer, while the engine is well.
#[parameterized(
    reset = { link::Mode::Cut },
    silent = { link::Mode::SilenceOpen },
    one_way = { link::Mode::OneWayUp },
)]
fn an_answer_whose_connection_breaks_is_taken_up(mode: link::Mode) {
    run(async {
        let site = site().behind_proxy().start().await?;
        let text = uncut(&site, "net").await?;
        set_all(&site, &Faults { token_ms: Some(150.0), ..Faults::default() }).await?;
        let mut stream = chat(Form::Stream, "net").open(&site.router("r1")).await?;
        stream.read_events(2).await?;
        let at = stream.so_far().header(header::ENDPOINT).expect("it is told").to_owned();
        site.proxy().set_mode(&format!("endpoint/{at}"), mode).await?;
        assert_whole(&stream.finish().await?, "net", &text);
        anyhow::Ok(())
    })
    .unwrap();
}

// A caller loses its connection in the middle and asks again, under the same id. It gets the
// answer from its beginning, and the engine doesn't go on working for nobody.
#[test]
fn a_caller_that_comes_back_gets_the_whole_answer() -> anyhow::Result<()> {
    run(async {
        let site = site().start().await?;
        let text = uncut(&site, "back").await?;
        set_all(&site, &Faults { token_ms: Some(100.0), ..Faults::default() }).await?;
        let mut stream = chat(Form::Stream, "back").open(&site.router("r1")).await?;
        stream.read_events(2).await?;
        drop(stream);
        let answer = chat(Form::Stream, "back").send(&site.router("r1")).await?;
        assert_whole(&answer, "back", &text);
        let is_cancelled = async || {
            let mut n_cancelled = 0;
            for engine in site.engines.values() {
                let runs = engine.runs().await?;
                n_cancelled += runs.iter().filter(|it| it.outcome == Outcome::Cancelled).count();
            }
            Ok(n_cancelled == 1)
        };
        eventually(LIMIT, is_cancelled).await
    })
}

// A long answer comes in many pieces, cut anywhere. A limit that is meant for a single event
// must not end it.
#[parameterized(
    whole = { Form::Whole },
    stream = { Form::Stream },
)]
fn a_long_answer_is_whole(form: Form) {
    run(async {
        const MEAN_TOKENS: u64 = 4_000;
        let mut profile = Profile::default();
        profile.default.tokens = MEAN_TOKENS;
        profile.default.token_ms = 0.0;
        let site = Site::builder().engine("e1", &["m@1"]).profile("e1", profile).routers(1);
        let site = site.start().await?;
        let chat = chat(form, "long").with_max_tokens(MEAN_TOKENS);
        let text = chat.send(&site.engine("e1").addr()).await?.text();
        let answer = chat.send(&site.router("r1")).await?;
        assert!(MEAN_TOKENS <= 2 * text.split(' ').count() as u64, "it is long");
        assert_whole(&answer, "long", &text);
        anyhow::Ok(())
    })
    .unwrap();
}
