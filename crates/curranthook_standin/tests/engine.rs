//! Tests of the simulated engine's behaviour that other tests depend on.

use std::time::Duration;

use curranthook_http::Exchange;
use curranthook_standin::engine::{
    answer,
    faults::Faults,
    order::Verdict,
    profile::{Profile, Version},
    record::Outcome,
};
use curranthook_standin::fault::Count;
use curranthook_tests::{call::Chat, eventually, executor, pool, run, standin::Engine};
use curranthook_types::header;
use yare::parameterized;

const TIMEOUT: Duration = Duration::from_secs(10);

fn engine(version: Version, args: &[&str]) -> (tempfile::TempDir, Engine) {
    let profile = Profile { default: version, ..Profile::default() };
    start_with_profile(&profile, args)
}

fn start_with_profile(profile: &Profile, args: &[&str]) -> (tempfile::TempDir, Engine) {
    let directory = tempfile::tempdir().expect("there is room for a directory");
    let versions = ["m@1".to_owned(), "m@2".to_owned()];
    let engine = Engine::start(directory.path(), "e1", &versions, profile, args);
    (directory, engine.expect("the engine starts"))
}

fn chat(id: &str) -> Chat {
    Chat::new("main", "m@1", "weigh crate 7").with_id(id)
}

#[parameterized(
    at_once = { 0.0 },
    token_by_token = { 0.5 },
)]
fn streamed_and_unstreamed_answers_are_equal(token_ms: f64) {
    run(async {
        let (_directory, engine) = engine(Version { token_ms, ..Version::default() }, &[]);
        let streamed = chat("r1").streamed().send(&engine.addr()).await.expect("it answers");
        let unstreamed = chat("r1").send(&engine.addr()).await.expect("it answers");
        assert!(streamed.is_whole() && unstreamed.is_whole(), "{streamed:?} {unstreamed:?}");
        assert_eq!(streamed.text(), unstreamed.text());
        assert_eq!(streamed.header(header::REQUEST_ID), Some("r1"));
        let pieces = streamed.pieces();
        let usage = pieces.last().and_then(|it| it.usage).expect("the last event has the usage");
        assert_eq!(usage.completion_tokens, pieces.len() as u64);
        let runs = engine.runs().await.expect("it keeps a record");
        assert!(runs.iter().all(|run| run.outcome == Outcome::Done), "{runs:?}");
        assert_eq!(runs[0].tokens, usage.completion_tokens);
    });
}

/// A stream is cut after some tokens. A request to resume it returns only the remaining tokens.
#[test]
fn a_cut_stream_resumes_at_the_next_token() -> anyhow::Result<()> {
    run(async {
        let (_directory, engine) = engine(Version::default(), &[]);
        let whole = chat("r1").send(&engine.addr()).await?.text();
        let cut = Faults { cut_after_tokens: Some(3), cut_next: Some(1), ..Faults::default() };
        engine.set(&cut).await?;
        let first = chat("r1").streamed().send(&engine.addr()).await?;
        assert!(first.broken.is_some() && !first.is_whole(), "{first:?}");
        assert_eq!(first.events.len(), 3);
        let rest = chat("r1").streamed().with_header(header::RESUME_FROM, "3");
        let rest = rest.send(&engine.addr()).await?;
        assert!(rest.is_whole());
        assert_eq!(first.text() + &rest.text(), whole);
        let outcomes: Vec<_> =
            engine.runs().await?.iter().map(|run| (run.outcome, run.from_token)).collect();
        assert_eq!(outcomes[1..], [(Outcome::Failed, 0), (Outcome::Done, 3)]);
        Ok(())
    })
}

#[test]
fn a_disconnected_caller_cancels_its_run() -> anyhow::Result<()> {
    run(async {
        let slow = Version { token_ms: 50.0, tokens: 1_000, ..Version::default() };
        let (_directory, engine) = engine(slow, &[]);
        let mut stream = chat("r1").streamed().open(&engine.addr()).await?;
        stream.read_events(2).await?;
        drop(stream);
        let is_cancelled = async || Ok(engine.runs().await?[0].outcome == Outcome::Cancelled);
        eventually(TIMEOUT, is_cancelled).await
    })
}

/// The quality of a version is the fraction of prompts with a good answer. A prompt with a good
/// answer from the version of lower quality gets one from the version of higher quality too.
#[test]
fn the_share_of_good_answers_matches_the_quality() -> anyhow::Result<()> {
    run(async {
        let quick = Version { first_token_ms: 0.0, token_ms: 0.0, ..Version::default() };
        let (_directory, engine) = engine(quick, &[]);
        let quality = [("m@1".to_owned(), 0.6), ("m@2".to_owned(), 0.9)].into();
        engine.set(&Faults { quality, ..Faults::default() }).await?;
        let mut n_good = [0, 0];
        for n in 0..200 {
            let prompt = format!("prompt {n}");
            let mut good = [false, false];
            for (index, version) in ["m@1", "m@2"].iter().enumerate() {
                let answer = Chat::new("main", version, &prompt).send(&engine.addr()).await?;
                good[index] = answer.text().starts_with(answer::GOOD_MARKER);
                n_good[index] += usize::from(good[index]);
            }
            assert!(good[0] <= good[1], "{prompt} is answered well by the worse version only");
        }
        assert!((100..=140).contains(&n_good[0]), "{n_good:?}");
        assert!((165..=195).contains(&n_good[1]), "{n_good:?}");
        Ok(())
    })
}

#[parameterized(
    checked = { &["--checks-fencing"], Verdict::Stale, &["m@2"] },
    ignored = { &[], Verdict::Executed, &["m@1", "m@2"] },
)]
fn an_order_with_a_stale_fencing_token(args: &[&str], verdict: Verdict, loaded: &[&str]) {
    run(async {
        let (_directory, engine) = engine(Version::default(), args);
        for (action, fence) in [("unload", 8), ("load", 7)] {
            let order = serde_json::json!({ "action": action, "version": "m@1" });
            let call = Exchange::post(engine.addr(), "/orders").with_json(&order);
            let call = call.with_header(header::FENCING, fence.to_string());
            call.run(pool()).await.expect("it answers");
        }
        let orders = engine.orders().await.expect("it logs orders");
        assert_eq!(orders[1].verdict, verdict);
        assert_eq!(engine.versions().await.expect("it knows its versions"), loaded);
    });
}

#[parameterized(
    leaving = { Faults { leaving: true, ..Faults::default() } },
    refusing = { Faults { refuse: Count::Always(true), ..Faults::default() } },
)]
fn a_rejected_request_is_marked_not_started_and_not_run(faults: Faults) {
    run(async {
        let (_directory, engine) = engine(Version::default(), &[]);
        engine.set(&faults).await.expect("the fault is set");
        let answer = chat("r1").send(&engine.addr()).await.expect("it answers");
        assert_eq!((answer.status, answer.header(header::NOT_STARTED)), (503, Some("true")));
        assert_eq!(answer.header(header::LEAVING).is_some(), faults.leaving);
        assert!(engine.runs().await.expect("it keeps a record").is_empty());
    });
}

/// One request runs and two wait. The one with the lower priority number runs first although it
/// arrived last, and a request beyond the queue's capacity is rejected.
#[test]
fn the_queue_is_served_by_priority() -> anyhow::Result<()> {
    run(async {
        let slow = Version { token_ms: 20.0, tokens: 20, ..Version::default() };
        let profile = Profile { default: slow, slots: 1, queue: 2, ..Profile::default() };
        let (_directory, engine) = start_with_profile(&profile, &[]);
        let addr = engine.addr();
        let mut tasks = Vec::new();
        for (n, priority) in ["0", "5", "1"].iter().enumerate() {
            let call = chat(&format!("r{n}")).with_header(header::PRIORITY, priority);
            tasks.push(executor().spawn(async move { call.send(&addr).await }));
            let is_taken = async || Ok(engine.runs().await?.len() == n + 1);
            eventually(TIMEOUT, is_taken).await?;
        }
        assert_eq!(chat("r3").send(&addr).await?.status, 503);
        for task in tasks {
            assert!(task.await?.is_whole());
        }
        let mut runs = engine.runs().await?;
        runs.sort_by_key(|run| run.finished_millis);
        let order: Vec<_> = runs.iter().map(|run| run.request_id.as_str()).collect();
        assert_eq!(order, ["r0", "r2", "r1"]);
        Ok(())
    })
}

/// A prompt that contains the configured text crashes the engine that runs it.
#[test]
fn a_poison_prompt_aborts_the_process() -> anyhow::Result<()> {
    run(async {
        let (_directory, mut engine) = engine(Version::default(), &[]);
        let faults = Faults { die_on: Some("crate 7".to_owned()), ..Faults::default() };
        engine.set(&faults).await?;
        assert!(chat("r1").send(&engine.addr()).await.is_err());
        assert!(!engine.process.ended(TIMEOUT).await?.success());
        Ok(())
    })
}

/// What the caller sees of a streamed answer under a fault, and what is recorded.
#[parameterized(
    foreign_id = {
        Faults { foreign_id: Count::Next(1), ..Faults::default() }, "not-r1", true, Outcome::Done
    },
    no_end_marker = {
        Faults { no_end_marker: Count::Next(1), ..Faults::default() }, "r1", false, Outcome::Done
    },
    error = {
        Faults { error_rate: Some(1.0), ..Faults::default() }, "", false, Outcome::Failed
    },
    late = {
        Faults { answer_late_ms: 100, ..Faults::default() }, "r1", true, Outcome::Done
    },
)]
fn a_streamed_answer_under_a_fault(faults: Faults, id: &str, is_whole: bool, outcome: Outcome) {
    run(async {
        let (_directory, engine) = engine(Version::default(), &[]);
        engine.set(&faults).await.expect("the fault is set");
        let answer = chat("r1").streamed().send(&engine.addr()).await.expect("it answers");
        assert_eq!(answer.header(header::REQUEST_ID).unwrap_or_default(), id);
        assert!(answer.pieces().iter().all(|piece| piece.id == id), "{answer:?}");
        assert_eq!(answer.is_whole(), is_whole, "{answer:?}");
        assert!(Duration::from_millis(faults.answer_late_ms) <= answer.head_after);
        let runs = engine.runs().await.expect("it keeps a record");
        assert_eq!((runs[0].request_id.as_str(), runs[0].outcome), ("r1", outcome));
    });
}

/// The engine starts the work and never responds, and the caller disconnects.
#[test]
fn a_hung_run_is_cancelled_when_its_caller_disconnects() -> anyhow::Result<()> {
    run(async {
        let (_directory, engine) = engine(Version::default(), &[]);
        engine.set(&Faults { hang_before_head: Count::Next(1), ..Faults::default() }).await?;
        let addr = engine.addr();
        let hung = executor().spawn(async move { chat("r1").send(&addr).await });
        let is_taken = async || Ok(engine.runs().await?.len() == 1);
        eventually(TIMEOUT, is_taken).await?;
        assert_eq!(engine.runs().await?[0].outcome, Outcome::Running);
        hung.cancel().await;
        let is_cancelled = async || Ok(engine.runs().await?[0].outcome == Outcome::Cancelled);
        eventually(TIMEOUT, is_cancelled).await
    })
}

/// A cached first message halves the time to the first token. The cache events become visible
/// after the lag.
#[test]
fn a_cached_prefix_shortens_the_time_to_first_token() -> anyhow::Result<()> {
    run(async {
        let slow = Version { first_token_ms: 400.0, ..Version::default() };
        let profile = Profile {
            default: slow,
            cache: 1,
            cache_lag_ms: 300,
            cache_gaps: 0.0,
            ..Profile::default()
        };
        let (_directory, engine) = start_with_profile(&profile, &[]);
        let addr = engine.addr();
        let events = async || -> anyhow::Result<usize> {
            let res = Exchange::get(addr, "/cache-events").run(pool()).await?;
            Ok(serde_json::from_slice::<Vec<serde_json::Value>>(res.body())?.len())
        };
        let first = chat("r1").send(&addr).await?.head_after;
        let second = chat("r2").send(&addr).await?.head_after;
        assert!(second + Duration::from_millis(100) < first, "{first:?} {second:?}");
        // Another prompt takes the only cache entry: one eviction and one insertion.
        Chat::new("main", "m@1", "another prompt").send(&addr).await?;
        eventually(TIMEOUT, async || Ok(events().await? == 3)).await?;
        let third = chat("r3").send(&addr).await?.head_after;
        assert!(second + Duration::from_millis(100) < third, "{second:?} {third:?}");
        Ok(())
    })
}
