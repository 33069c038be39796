//! A platform that is out, or whose answers are lost.

use std::time::{Duration, Instant};

use async_io::Timer;
use curranthook_standin::{
    platform::fault::{Fault, Faults, Mode},
    proxy::link,
};
use curranthook_tests::{eventually, run};
use curranthook_types::refusal::{Reason, Run};

use super::{AT_ONCE, LIMIT, code, n_runs, posting, repeat, site, spawn};

/// Long enough for a call to have reached the platform.
const UNDER_WAY: Duration = Duration::from_millis(300);

fn claims(fault: Fault) -> Faults {
    Faults { table: Fault { key_prefix: "claims/".to_owned(), ..fault }, ..Faults::default() }
}

// The platform writes the claim and its answer is lost on the way back. The router that takes
// this for a failure refuses a posting that nobody else may send any more.
#[test]
fn a_lost_answer_to_the_claim_doesnt_lose_the_call() -> anyhow::Result<()> {
    run(async {
        let site = site().start().await?;
        for (key, next) in [("once", Some(1)), ("each-time", None)] {
            site.platform
                .set(&claims(Fault { mode: Mode::Lost, next, ..Fault::default() }))
                .await?;
            let first = posting(key).send(&site.router("r1")).await?;
            assert_eq!(first.status, 200, "{first:?}");
            site.platform.mend().await?;
            assert_eq!(repeat(&site, "r2", key).await?.body, first.body);
            assert_eq!(n_runs(&site, key).await?, 1);
        }
        Ok(())
    })
}

// Every answer of the platform is lost for a while, reads too, so the router can't know whether
// it holds the claim and has to refuse. A row left behind then would lock the caller out: each
// further try would be told that the call is running.
#[test]
fn a_claim_whose_fate_is_unknown_is_given_up_and_the_next_try_runs() -> anyhow::Result<()> {
    run(async {
        let site = site().start().await?;
        let lost = Fault { mode: Mode::Lost, any: true, ..Fault::default() };
        site.platform.set(&claims(lost)).await?;
        let start = Instant::now();
        let refused = posting("fate").send(&site.router("r1")).await?;
        assert_eq!(code(&refused), Some((Reason::PlatformDown, Run::Not)), "{refused:?}");
        assert!(start.elapsed() < AT_ONCE, "{:?}", start.elapsed());
        assert_eq!(n_runs(&site, "fate").await?, 0);
        site.platform.mend().await?;
        repeat(&site, "r2", "fate").await?;
        assert_eq!(n_runs(&site, "fate").await?, 1);
        Ok(())
    })
}

// The claim is written, its answer is lost, and in the same moment the platform goes down. The
// router refuses because of the outage, but the row is there: unless somebody takes it back the
// caller is locked out for good.
#[test]
fn a_claim_lost_as_the_platform_goes_down_is_given_up() -> anyhow::Result<()> {
    run(async {
        let site = site().start().await?;
        let lost = Fault { mode: Mode::Lost, delay_ms: 700, ..Fault::default() };
        site.platform.set(&claims(lost)).await?;
        let first = spawn(posting("down"), &site, "r1");
        Timer::after(UNDER_WAY).await;
        site.platform.set(&claims(Fault { mode: Mode::Down, ..Fault::default() })).await?;
        let refused = first.await?;
        assert_eq!(code(&refused), Some((Reason::PlatformDown, Run::Not)), "{refused:?}");
        assert_eq!(n_runs(&site, "down").await?, 0);
        site.platform.mend().await?;
        repeat(&site, "r2", "down").await?;
        assert_eq!(n_runs(&site, "down").await?, 1);
        Ok(())
    })
}

// The claim is held up in the network, the caller is refused, and only then does the claim reach
// the platform. Nobody will send under it; unless it is taken back the caller is locked out.
#[test]
fn a_claim_that_lands_after_the_refusal_is_given_up() -> anyhow::Result<()> {
    run(async {
        let site = site().behind_proxy().start().await?;
        let late = link::Fault { delay_ms: 4_000, ..link::Fault::default() };
        site.proxy().set("platform/r1", &late).await?;
        let start = Instant::now();
        let refused = posting("held").send(&site.router("r1")).await?;
        assert_eq!(code(&refused), Some((Reason::PlatformDown, Run::Not)), "{refused:?}");
        assert!(start.elapsed() < AT_ONCE, "{:?}", start.elapsed());
        assert!(site.platform.rows("claims").await?.is_empty());
        eventually(LIMIT, async || Ok(!site.platform.rows("claims").await?.is_empty())).await?;
        site.proxy().set_mode("platform/r1", link::Mode::Pass).await?;
        assert_eq!(n_runs(&site, "held").await?, 0);
        repeat(&site, "r2", "held").await?;
        assert_eq!(n_runs(&site, "held").await?, 1);
        Ok(())
    })
}

// With the platform's table out nobody can claim, and a router that sent all the same could be
// the second to do so. The caller is told at once, with the time to come back.
#[test]
fn an_outage_is_refused_at_once_and_the_later_try_runs() -> anyhow::Result<()> {
    run(async {
        let site = site().behind_proxy().start().await?;
        for key in ["503", "unreachable"] {
            if key == "503" {
                site.platform.set(&claims(Fault { mode: Mode::Down, ..Fault::default() })).await?;
            } else {
                site.proxy().set_mode("platform/r1", link::Mode::Cut).await?;
            }
            let start = Instant::now();
            let refused = posting(key).send(&site.router("r1")).await?;
            assert_eq!(code(&refused), Some((Reason::PlatformDown, Run::Not)), "{refused:?}");
            assert!(refused.refusal().is_some_and(|it| it.retry_after.is_some()), "{refused:?}");
            assert!(refused.header("retry-after").is_some());
            assert!(start.elapsed() < AT_ONCE, "{:?}", start.elapsed());
            assert_eq!(n_runs(&site, key).await?, 0);
            site.platform.mend().await?;
            site.proxy().set_mode("platform/r1", link::Mode::Pass).await?;
            let first = repeat(&site, "r1", key).await?;
            assert_eq!(repeat(&site, "r2", key).await?.body, first.body);
            assert_eq!(n_runs(&site, key).await?, 1);
        }
        Ok(())
    })
}
