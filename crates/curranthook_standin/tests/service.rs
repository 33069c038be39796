//! Tests of the simulated service's and rater's behaviour that other tests depend on.

use std::time::Duration;

use curranthook_http::Exchange;
use curranthook_standin::{
    fault::Count,
    rater::Case,
    service::{Faults, Outcome},
};
use curranthook_tests::{
    call::Call,
    pool, run,
    standin::{Rater, Service},
};
use curranthook_types::header;

#[test]
fn each_call_is_run_and_recorded() -> anyhow::Result<()> {
    run(async {
        let directory = tempfile::tempdir()?;
        let service = Service::start(directory.path(), "s1")?;
        let call = Call::new("main", http::Method::POST, "/entries?crate=7")
            .with_id("r1")
            .with_idempotency_key("k1")
            .with_body("82 kg");
        for n in 1..=2 {
            let answer = call.send(&service.addr()).await?;
            assert_eq!(answer.json()?["posted"], n);
            assert_eq!(answer.json()?["id"], "r1");
            assert_eq!(answer.header(header::LOAD), Some("1"));
        }
        let calls = service.calls().await?;
        assert_eq!(calls[0].path, "/entries?crate=7");
        assert_eq!(calls[0].body, "82 kg");
        assert_eq!(calls[1].idempotency_key.as_deref(), Some("k1"));
        Ok(())
    })
}

/// The service runs a call and never responds, so the caller can't tell whether it ran.
#[test]
fn a_call_without_a_response_may_have_run() -> anyhow::Result<()> {
    run(async {
        let directory = tempfile::tempdir()?;
        let service = Service::start(directory.path(), "s1")?;
        let faults = Faults { hang_after_run: Count::Next(1), ..Faults::default() };
        service.set(&faults).await?;
        let limit = Duration::from_millis(300);
        let hung = Exchange::post(service.addr(), "/entries").with_timeout(limit);
        assert!(hung.run(pool()).await.is_err());
        let calls = service.calls().await?;
        assert_eq!((calls.len(), calls[0].outcome), (1, Outcome::Running));
        Ok(())
    })
}

#[test]
fn the_rater_recognizes_good_answers() -> anyhow::Result<()> {
    run(async {
        let directory = tempfile::tempdir()?;
        let rater = Rater::start(directory.path(), 0.0)?;
        for (answer, expected) in [("[good] w1", 1.0), ("[bad] w1", 0.0)] {
            let case = Case {
                version: "m@1".to_owned(),
                kind: "summary".to_owned(),
                prompt: "weigh crate 7".to_owned(),
                answer: answer.to_owned(),
            };
            let call = Exchange::post(rater.addr(), "/rate").with_json(&case);
            let rating: serde_json::Value = serde_json::from_slice(call.run(pool()).await?.body())?;
            assert_eq!(rating["rating"], expected);
        }
        assert_eq!(rater.counts().await?.versions["m@1"], 2);
        Ok(())
    })
}
