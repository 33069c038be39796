//! Control work goes on when stewards die, and bad versions are kept away.

use std::time::Duration;

use async_executor::Task;
use async_io::Timer;
use curranthook_settings::{
    Config,
    config::Kind,
    rollout::{Rollout, State},
};
use curranthook_standin::engine::{
    faults::Faults,
    profile::{Profile, Version},
};
use curranthook_tests::{
    Site,
    call::{Answer, Chat},
    eventually, executor, run,
    site::Builder,
};
use curranthook_types::{Clock, Epoch, clock, header, refusal::Reason, version};

const LIMIT: Duration = Duration::from_secs(45);

fn version(answer: &Answer) -> Option<&str> {
    answer.header(header::VERSION)
}

/// Sends requests for `model` to a router, one after another, for as long as the task lives.
fn traffic(site: &Site, vm: &str, model: &str) -> Task<()> {
    const PAUSE: Duration = Duration::from_millis(15);
    let (addr, vm, model) = (site.router(vm), vm.to_owned(), model.to_owned());
    executor().spawn(async move {
        for n in 0_u64.. {
            let chat =
                Chat::new("main", &model, &format!("{vm}: crate log {n}")).with_max_tokens(3);
            // What comes of it is for the test to look up at the endpoints.
            let _answer = chat.send(&addr).await;
            Timer::after(PAUSE).await;
        }
    })
}

/// Every answer is rated, and good until a test makes it bad, so that no verdict depends on
/// chance. The account's limit is out of the way.
fn rated() -> Builder {
    let good = Version { quality: 1.0, ..Version::default() };
    let profile = Profile { default: good, ..Profile::default() };
    Site::builder()
        .engine("e1", &["m@1"])
        .engine("e2", &["m@2"])
        .profile("e1", profile.clone())
        .profile("e2", profile)
        .rater(0.0)
        .config(|config| {
            config.policy.rating_sample = 1.0;
            for account in config.accounts.values_mut() {
                (account.limit.requests, account.limit.burst) = (10_000.0, 10_000.0);
            }
        })
}

/// The steward that holds a shard is killed. If nobody took the shard over, a version withdrawn
/// after that would stay loaded at the engines, and the second line of defence would be gone.
#[test]
fn a_shard_moves_when_its_steward_is_killed() -> anyhow::Result<()> {
    /// The shard of the engine `e1`.
    const SHARD: &str = "orders-test-0";
    run(async {
        let mut site = Site::builder()
            .engine("e1", &["m@1", "m@2"])
            .checks_fencing("e1")
            .routers(2)
            .stewards(2)
            .start()
            .await?;
        let old = site.wait_lease(SHARD, "").await?;
        site.steward_process(old.holder.vm.as_str()).kill()?;
        site.withdraw("m@1").await?;
        let new = site.wait_lease(SHARD, old.holder.vm.as_str()).await?;
        assert_eq!(new.fencing, old.fencing + 1);
        let is_unloaded = async || Ok(site.engine("e1").versions().await? == ["m@2"]);
        eventually(LIMIT, is_unloaded).await?;
        Ok(())
    })
}

/// The steward that moves a roll-out on dies in the middle of it. Its successor goes on from the
/// stage that was reached: a stage left out would expose callers to a version that wasn't
/// watched, and one begun again would take sessions' share back.
#[test]
fn a_rollout_is_resumed_after_its_steward_died() -> anyhow::Result<()> {
    const STAGES: [f64; 4] = [0.25, 0.5, 0.75, 1.0];
    const LOOK: Duration = Duration::from_millis(20);
    run(async {
        let args = ["--stage-ms", "2000", "--stage-answers", "5", "--stage-ratings", "0"];
        let mut site = rated().routers(2).stewards(2).steward_args(&args).start().await?;
        let holder = site.wait_lease("rollouts", "").await?.holder.vm;
        let rollout = Rollout {
            from: "m@1".into(),
            to: "m@2".into(),
            stages: STAGES.to_vec(),
            stage: 0,
            state: State::Running,
            since_millis: clock::System.unix_millis(),
        };
        let begun = site.publish(|it| _ = it.rollouts.insert("m".to_owned(), rollout)).await?;
        let _traffic = [traffic(&site, "r1", "m"), traffic(&site, "r2", "m")];

        let mut steps: Vec<(Epoch, usize, State)> = Vec::new();
        let mut is_killed = false;
        let start = std::time::Instant::now();
        loop {
            let document = site.document().await?;
            let it = &document.rollouts["m"];
            let step = (document.epoch, it.stage, it.state);
            if steps.last() != Some(&step) {
                steps.push(step);
            }
            if it.stage == 1 && !is_killed {
                site.steward_process(holder.as_str()).kill()?;
                is_killed = true;
            }
            if it.state != State::Running {
                break;
            }
            assert!(start.elapsed() < LIMIT, "{steps:?}");
            Timer::after(LOOK).await;
        }
        // Each publication is one step, and no step is missing or made twice.
        let first = begun.epoch.0;
        let wanted: Vec<_> = (first..)
            .zip([0, 1, 2, 3, 3])
            .map(|(epoch, stage)| (Epoch(epoch), stage))
            .zip([State::Running, State::Running, State::Running, State::Running, State::Done])
            .map(|((epoch, stage), state)| (epoch, stage, state))
            .collect();
        assert_eq!(steps, wanted);
        let epoch = Epoch(first + 4);
        site.wait_epoch(&["r1", "r2"], epoch).await?;
        let answer = Chat::new("main", "m", "weigh crate 7").send(&site.router("r1")).await?;
        assert_eq!(version(&answer), Some("m@2"), "{answer:?}");
        Ok(())
    })
}

/// A version does well for a while and then turns bad, on every engine that serves it. Callers
/// of all routers would go on getting its answers until an operator noticed.
#[test]
fn a_version_that_turns_bad_is_withdrawn_for_all() -> anyhow::Result<()> {
    run(async {
        let site = rated().routers(2).stewards(2).start().await?;
        let _traffic = [traffic(&site, "r1", "m@1"), traffic(&site, "r2", "m@1")];
        let is_known = async || Ok(200 <= site.runs_of("m@1").await?.len());
        eventually(LIMIT, is_known).await?;
        assert!(site.document().await?.withdrawn.is_empty());

        turn_bad(&site).await?;
        let is_withdrawn = async || Ok(site.document().await?.withdrawn.contains("m@1"));
        eventually(LIMIT, is_withdrawn).await?;
        let document = site.document().await?;
        assert!(document.by.starts_with("steward on "), "{}", document.by);
        assert_eq!(document.withdrawn, [version::Id::from("m@1")].into());
        site.wait_epoch(&["r1", "r2"], document.epoch).await?;
        for vm in ["r1", "r2"] {
            let answer = Chat::new("main", "m@1", "weigh crate 7").send(&site.router(vm)).await?;
            assert_eq!(answer.refusal().map(|it| it.code), Some(Reason::Withdrawn), "{answer:?}");
        }
        Ok(())
    })
}

async fn turn_bad(site: &Site) -> anyhow::Result<()> {
    let quality = [("m@1".to_owned(), 0.0)].into();
    site.engine("e1").set(&Faults { quality, ..Faults::default() }).await
}

/// A version turns bad and no steward runs, so nobody can withdraw it. The router that notices
/// leaves it alone by itself, and tells the other one, whose callers haven't met it yet.
#[test]
fn a_suspect_is_left_alone_before_anybody_withdraws_it() -> anyhow::Result<()> {
    run(async {
        let cheap_first = |config: &mut Config| {
            // Any answer will do, so the choice by price and quality never leaves the version.
            config.kinds.insert("summary".into(), Kind { quality: 0.0, priority: 0 });
            for (id, price) in [("m@1", 10), ("m@2", 1_000)] {
                let version = config.versions.get_mut(id).expect("the engines serve it");
                (version.price.prompt.0, version.price.completion.0) = (price, price);
            }
        };
        let site = rated().config(cheap_first).routers(2).start().await?;
        site.wait_peers().await?;
        let traffic = traffic(&site, "r1", "m@1");
        let is_known = async || Ok(200 <= site.runs_of("m@1").await?.len());
        eventually(LIMIT, is_known).await?;
        let ask = async |vm: &str| {
            let chat = Chat::new("main", "m", "weigh crate 7").with_header(header::KIND, "summary");
            chat.send(&site.router(vm)).await
        };
        assert_eq!(version(&ask("r2").await?), Some("m@1"));

        turn_bad(&site).await?;
        let is_suspect = async || {
            let counters = site.status("r1").await?.counters;
            Ok(counters.contains_key("suspect.rating"))
        };
        eventually(LIMIT, is_suspect).await?;
        drop(traffic);
        assert_eq!(version(&ask("r1").await?), Some("m@2"));
        let has_heard = async || Ok(version(&ask("r2").await?) == Some("m@2"));
        eventually(LIMIT, has_heard).await?;
        let n_runs = site.runs_of("m@1").await?.len();
        for vm in ["r1", "r2", "r1", "r2"] {
            assert_eq!(version(&ask(vm).await?), Some("m@2"), "on {vm}");
        }
        assert_eq!(site.runs_of("m@1").await?.len(), n_runs);
        assert!(site.document().await?.withdrawn.is_empty());
        Ok(())
    })
}
