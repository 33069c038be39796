//! Operators who race, and answers that are lost.

use std::{
    path::{Path, PathBuf},
    process::{Child, Output},
};

use curranthook_settings::Document;
use curranthook_standin::platform::fault;
use curranthook_tests::{Site, program, run};
use curranthook_types::Epoch;
use serde_json::{Value, json};

/// Exit codes of the command line, as its `--help` lists them.
const DONE: i32 = 0;
const CONFLICT: i32 = 3;

/// Starts the operators' command line.
fn operate(site: &Site, by: &str, args: &[&str]) -> anyhow::Result<Child> {
    let platform = site.platform.addr().to_string();
    let common = ["--platform", &platform, "--by", by, "--output", "json"];
    program::spawn("curranthook", &[&common, args].concat())
}

/// Writes the published configuration to files, the account's limit in the overlay.
fn files(directory: &Path, document: &Document, requests: f64) -> anyhow::Result<[PathBuf; 2]> {
    let mut base = serde_json::to_value(&document.sites["test"])?;
    base.as_object_mut().map(|it| it.remove("site"));
    let overlay = json!({"site": "test", "accounts": {"main": {"limit": {"requests": requests}}}});
    let paths = ["base", "overlay"].map(|it| directory.join(format!("{it}-{requests}.yaml")));
    // JSON is YAML too.
    std::fs::write(&paths[0], serde_json::to_string_pretty(&base)?)?;
    std::fs::write(&paths[1], overlay.to_string())?;
    Ok(paths)
}

/// Each call for the document takes a second, so that operators who start at the same time
/// both read before either writes.
fn slow() -> fault::Faults {
    let table = fault::Fault {
        mode: fault::Mode::Slow,
        delay_ms: 1_000,
        key_prefix: "config/".to_owned(),
        ..fault::Fault::default()
    };
    fault::Faults { table, ..fault::Faults::default() }
}

fn limit(document: &Document) -> f64 {
    document.sites["test"].accounts["main"].limit.requests
}

/// Two operators publish different files at the same moment, each on top of what both have
/// read. If both went through, one would undo the other's change without anybody having looked.
/// One wins; the other is told what the winner changed.
#[test]
fn of_two_operators_who_publish_at_once_one_wins() -> anyhow::Result<()> {
    run(async {
        let site = Site::builder().engine("e1", &["m@1"]).routers(2).start().await?;
        let directory = tempfile::tempdir()?;
        let before = site.document().await?;
        site.platform.set(&slow()).await?;
        let mut racing = Vec::new();
        for (by, requests) in [("lan", 51.0), ("minh", 52.0)] {
            let [base, overlay] = files(directory.path(), &before, requests)?;
            let (base, overlay) = (base.display().to_string(), overlay.display().to_string());
            let child = operate(&site, by, &["publish", &base, "--overlay", &overlay])?;
            racing.push((by, requests, child));
        }
        let mut ended = Vec::new();
        for (by, requests, child) in racing {
            ended.push((by, requests, child.wait_with_output()?));
        }
        ended.sort_by_key(|(.., it)| it.status.code());
        let [(winner, won, first), (_, _, second)] = &ended[..] else { panic!("two operators") };
        assert_eq!(first.status.code(), Some(DONE), "{first:?}");
        assert_eq!(second.status.code(), Some(CONFLICT), "{second:?}");
        let told = told(second)?;
        assert_eq!(told["by"], json!(winner), "{told}");
        assert!(told["changes"].to_string().contains(&won.to_string()), "{told}");

        site.platform.mend().await?;
        let document = site.document().await?;
        assert_eq!((document.epoch, limit(&document)), (before.epoch.next(), *won));
        site.wait_epoch(&["r1", "r2"], document.epoch).await
    })
}

/// The error that the command line printed for scripts.
fn told(output: &Output) -> anyhow::Result<Value> {
    let text = String::from_utf8_lossy(&output.stderr);
    let start = text.find('{').unwrap_or_default();
    Ok(serde_json::from_str(&text[start..])?)
}

/// Two operators withdraw different versions at the same moment. Neither withdrawal undoes the
/// other, so both are to hold; a lost one would leave a bad version with callers.
#[test]
fn withdrawals_at_once_both_hold() -> anyhow::Result<()> {
    run(async {
        let site = Site::builder().engine("e1", &["m@1", "m@2", "m@3"]).routers(1).start().await?;
        site.platform.set(&slow()).await?;
        let racing = [
            operate(&site, "lan", &["withdraw", "m@1"])?,
            operate(&site, "minh", &["withdraw", "m@2"])?,
        ];
        for child in racing {
            let output = child.wait_with_output()?;
            assert_eq!(output.status.code(), Some(DONE), "{output:?}");
        }
        site.platform.mend().await?;
        let document = site.document().await?;
        assert_eq!(document.withdrawn, ["m@1".into(), "m@2".into()].into());
        assert_eq!(document.epoch, Epoch(3));
        site.wait_epoch(&["r1"], document.epoch).await
    })
}

/// The platform takes a publication in and its answer is lost. The operator must neither be
/// told that nothing happened nor publish twice.
#[test]
fn a_publication_whose_answer_was_lost_is_reported_as_done() -> anyhow::Result<()> {
    run(async {
        let site = Site::builder().engine("e1", &["m@1", "m@2"]).routers(2).start().await?;
        let table = fault::Fault {
            mode: fault::Mode::Lost,
            key_prefix: "config/".to_owned(),
            next: Some(1),
            ..fault::Fault::default()
        };
        site.platform.set(&fault::Faults { table, ..fault::Faults::default() }).await?;
        let output = operate(&site, "lan", &["withdraw", "m@1"])?.wait_with_output()?;
        assert_eq!(output.status.code(), Some(DONE), "{output:?}");
        let document = site.document().await?;
        assert_eq!((document.epoch, document.by.as_str()), (Epoch(2), "lan"));
        site.wait_epoch(&["r1", "r2"], document.epoch).await
    })
}
