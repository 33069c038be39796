//! Requests served from end to end by separate processes.

use std::{collections::BTreeMap, time::Duration};

use curranthook_tests::{
    Site,
    call::{Call, Chat},
    eventually, run,
    site::offer,
};
use curranthook_types::{bill, header, refusal};

const LIMIT: Duration = Duration::from_secs(30);

async fn bill_lines(site: &Site) -> anyhow::Result<Vec<bill::Line>> {
    let objects = site.platform.objects().await?;
    let segments = objects.values().map(|it| serde_json::from_str::<bill::Segment>(it));
    let segments = segments.collect::<Result<Vec<_>, _>>()?;
    Ok(segments.into_iter().flat_map(|it| it.lines).collect())
}

#[test]
fn a_streamed_answer_reaches_its_caller_whole_and_is_billed_once() -> anyhow::Result<()> {
    run(async {
        let site = Site::builder().engine("e1", &["m@1"]).routers(2).start().await?;
        for (n, vm) in ["r1", "r2"].into_iter().enumerate() {
            let chat = Chat::new("main", "m", "weigh crate 7").streamed().with_max_tokens(5);
            let answer = chat.with_id(&format!("q{n}")).send(&site.router(vm)).await?;
            assert!(answer.is_whole(), "{answer:?}");
            assert_eq!(answer.pieces().iter().filter(|it| it.id == format!("q{n}")).count(), 5);
        }
        assert_eq!(site.engine("e1").runs().await?.len(), 2);
        eventually(LIMIT, async || Ok(bill_lines(&site).await?.len() == 2)).await?;
        let lines: BTreeMap<_, _> =
            bill_lines(&site).await?.into_iter().map(|it| (it.request.clone(), it)).collect();
        assert_eq!(lines.len(), 2, "one line for each request");
        assert!(lines.values().all(|it| it.completion_tokens == 5));
        Ok(())
    })
}

#[test]
fn a_posting_and_its_replay_on_another_router_run_once() -> anyhow::Result<()> {
    run(async {
        let site = Site::builder().service("s1", "ledger").routers(2).start().await?;
        let call = Call::post("main", "ledger", "/crates")
            .with_idempotency_key("crate-7")
            .with_body("{\"crate\":7}");
        let first = call.send(&site.router("r1")).await?;
        assert_eq!(first.status, 200, "{first:?}");
        let is_stored = async || {
            let again = call.send(&site.router("r2")).await?;
            Ok(again.header(header::REPLAYED) == Some("true") && again.json()? == first.json()?)
        };
        eventually(LIMIT, is_stored).await?;
        assert_eq!(site.service("s1").calls().await?.len(), 1);
        Ok(())
    })
}

#[test]
fn a_cheap_answer_that_is_rated_low_is_replaced_by_a_better_version() -> anyhow::Result<()> {
    run(async {
        let site = Site::builder()
            .engine("cheap", &["m@1"])
            .engine("good", &["m@2"])
            .rater(0.0)
            .config(|config| {
                for (id, price, quality) in [("m@1", 10, 0.6), ("m@2", 1_000, 0.99)] {
                    offer(config, id, price, quality);
                }
                config.kinds.insert(
                    "summary".into(),
                    curranthook_settings::config::Kind { quality: 0.9, priority: 0 },
                );
            })
            .profile("cheap", quality("m@1", 0.3))
            .profile("good", quality("m@2", 1.0))
            .routers(1)
            .start()
            .await?;
        let mut versions = Vec::new();
        for n in 0..20 {
            let chat = Chat::new("main", "auto", &format!("crate log {n}")).with_max_tokens(3);
            let answer = chat.with_header(header::KIND, "summary").send(&site.router("r1")).await?;
            assert_eq!(answer.status, 200, "{answer:?}");
            assert!(answer.text().contains("[good]"), "{answer:?}");
            versions.push(answer.header(header::VERSION).unwrap_or_default().to_owned());
        }
        assert!(versions.iter().any(|it| it == "m@1") && versions.iter().any(|it| it == "m@2"));
        Ok(())
    })
}

fn quality(version: &str, quality: f64) -> curranthook_standin::engine::profile::Profile {
    let text = format!("versions: {{\"{version}\": {{quality: {quality}}}}}");
    serde_json::from_value(serde_json::json!({"versions": {version: {"quality": quality}}}))
        .unwrap_or_else(|e| panic!("{text}: {e}"))
}

#[test]
fn a_wrong_key_is_refused_and_nothing_runs() -> anyhow::Result<()> {
    run(async {
        let site = Site::builder().engine("e1", &["m@1"]).routers(1).start().await?;
        let answer = Chat::new("nobody", "m", "weigh crate 7").send(&site.router("r1")).await?;
        let refusal = answer.refusal().expect("a typed refusal");
        assert_eq!(answer.status, 401);
        assert_eq!(refusal.code, refusal::Reason::Unauthenticated);
        assert_eq!(refusal.not_run, refusal::Run::Not);
        assert!(site.engine("e1").runs().await?.is_empty());
        Ok(())
    })
}
