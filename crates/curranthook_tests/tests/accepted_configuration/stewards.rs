//! A steward that was paused wakes with an old lease.

use std::time::Duration;

use async_io::Timer;
use curranthook_http::Exchange;
use curranthook_settings::rollout::{Rollout, State};
use curranthook_standin::{
    engine::order::{Action, Order, Verdict},
    platform::fault,
};
use curranthook_tests::{Site, call::Chat, eventually, pool, run};
use curranthook_types::{Clock, clock, header, refusal::Reason};

/// Longer than the time in which a steward looks at all engines again.
const SWEEP_LIMIT: Duration = Duration::from_secs(50);
/// How long a steward that woke is watched.
const WATCHED: Duration = Duration::from_secs(3);

/// A steward decides to move a roll-out on and is paused while its change is on the way; the
/// platform takes the change in very late. Meanwhile the lease lapses and an operator withdraws
/// the version. If the late change took effect, the version would be back with callers.
#[test]
fn a_change_that_a_paused_steward_sent_does_not_undo_a_later_one() -> anyhow::Result<()> {
    const STAGE: Duration = Duration::from_secs(3);
    run(async {
        let mut site = Site::builder()
            .engine("e1", &["m@1", "m@2"])
            .routers(2)
            .stewards(2)
            .steward_args(&["--stage-ms", "3000", "--stage-answers", "0", "--stage-ratings", "0"])
            .start()
            .await?;
        let holder = site.wait_lease("rollouts", "").await?.holder.vm;
        let rollout = Rollout {
            from: "m@1".into(),
            to: "m@2".into(),
            stages: vec![0.5, 1.0],
            stage: 0,
            state: State::Running,
            since_millis: clock::System.unix_millis(),
        };
        let started =
            site.publish(|it| _ = it.rollouts.insert("m".to_owned(), rollout)).await?.epoch;
        // Takes effect long after the operator's change.
        let late = fault::Fault {
            mode: fault::Mode::Slow,
            delay_ms: 6_000,
            key_prefix: "config/".to_owned(),
            next: Some(1),
            ..fault::Fault::default()
        };
        site.platform.set(&fault::Faults { table: late, ..fault::Faults::default() }).await?;
        Timer::after(STAGE + Duration::from_secs(1)).await;
        site.steward_process(holder.as_str()).freeze()?;
        assert_eq!(site.document().await?.epoch, started, "the change is on the way");

        site.platform.mend().await?;
        let withdrawn = site
            .publish(|it| {
                it.withdrawn.insert("m@2".into());
                it.rollouts.get_mut("m").expect("it was begun").state = State::Aborted;
            })
            .await?;
        site.wait_lease("rollouts", holder.as_str()).await?;
        site.steward_process(holder.as_str()).thaw()?;
        Timer::after(WATCHED).await;
        let document = site.document().await?;
        assert_eq!(document, withdrawn);
        Ok(())
    })
}

/// A steward is paused past the end of its lease, and another one takes over. The paused one
/// wakes when a version has been withdrawn, and leaves the engines to its successor. But an order
/// that it sent before it noticed, with its old fencing number, may still come late and load
/// the version again.
///
/// An engine that checks the number refuses. One that doesn't obeys: until the next look at all
/// engines the version is loaded there, and only routers keep work away from it.
#[test]
fn an_order_under_an_old_lease_is_refused_or_undone() -> anyhow::Result<()> {
    /// Both engines' ids fall to this shard.
    const SHARD: &str = "orders-test-0";
    run(async {
        let mut site = Site::builder()
            .engine("e1", &["m@1", "m@2"])
            .engine("e5", &["m@1", "m@2"])
            .checks_fencing("e1")
            .routers(2)
            .stewards(2)
            .start()
            .await?;
        let old = site.wait_lease(SHARD, "").await?;
        let former = old.holder.vm.as_str();
        site.steward_process(former).freeze()?;
        let new = site.wait_lease(SHARD, former).await?;
        assert!(old.fencing < new.fencing, "{old:?} {new:?}");
        // The successor stands still for a moment, so that what the old holder does is seen.
        site.steward_process(new.holder.vm.as_str()).freeze()?;
        let epoch = site.withdraw("m@1").await?.epoch;
        site.steward_process(former).thaw()?;
        Timer::after(WATCHED).await;
        site.steward_process(new.holder.vm.as_str()).thaw()?;
        for id in ["e1", "e5"] {
            let is_unloaded = async || Ok(site.engine(id).versions().await? == ["m@2"]);
            eventually(SWEEP_LIMIT, is_unloaded).await?;
            let orders = site.engine(id).orders().await?;
            assert!(orders.iter().all(|it| Some(new.fencing) <= it.fence), "{id}: {orders:?}");
        }

        let late = Order { action: Action::Load, version: "m@1".to_owned() };
        for (id, verdict) in [("e1", Verdict::Stale), ("e5", Verdict::Executed)] {
            Exchange::post(site.engine(id).addr(), "/orders")
                .with_header(header::FENCING, old.fencing.to_string())
                .with_json(&late)
                .run(pool())
                .await?;
            let last = site.engine(id).orders().await?.pop().expect("there was an order");
            assert_eq!((last.fence, last.verdict), (Some(old.fencing), verdict), "{id}");
        }
        assert_eq!(site.engine("e1").versions().await?, ["m@2"]);
        site.wait_epoch(&["r1", "r2"], epoch).await?;
        for vm in ["r1", "r2"] {
            let answer = Chat::new("main", "m@1", "weigh crate 7").send(&site.router(vm)).await?;
            assert_eq!(answer.refusal().map(|it| it.code), Some(Reason::Withdrawn), "{answer:?}");
        }
        let is_undone = async || Ok(site.engine("e5").versions().await? == ["m@2"]);
        eventually(SWEEP_LIMIT, is_undone).await?;
        assert!(site.runs_of("m@1").await?.is_empty());
        Ok(())
    })
}
