//! Routers that stand still, as a VM does that is paused, and go on later.

use std::time::Duration;

use async_io::Timer;
use curranthook_standin::{
    platform::fault::{Fault, Faults, Mode},
    service,
};
use curranthook_tests::{Site, call::Call, eventually, run, site::Builder};
use curranthook_types::{
    header,
    refusal::{Reason, Run},
};

use super::{LIMIT, Waiting, code, n_runs, posting, repeat, site, spawn};

/// Longer than the router waits for the platform, for a connection and for the callers here.
const PAST_LIMITS: Duration = Duration::from_secs(4);
/// Long enough for a claim to have reached the platform.
const UNDER_WAY: Duration = Duration::from_millis(300);

// A VM stands still between claim and send, longer than any limit, and its caller asks another
// router. Once awake the first goes on as if nothing had happened: with a lease on the claim the
// other router would have sent the posting by now, and the buyer would be billed twice.
#[test]
fn a_router_frozen_between_claim_and_send_sends_alone() -> anyhow::Result<()> {
    run(async {
        let mut site = site_with_one_slot().start().await?;
        let (busy, first) = freeze_between_claim_and_send(&mut site, posting("frozen")).await?;
        let other = posting("frozen").send(&site.router("r2")).await?;
        assert_eq!(code(&other), Some((Reason::KeyClaimed, Run::Unknown)), "{other:?}");
        assert_eq!(n_runs(&site, "frozen").await?, 0, "nobody may send but the frozen router");
        site.router_process("r1").thaw()?;
        let first = first.await?;
        assert_eq!(first.status, 200, "{first:?}");
        assert_eq!(repeat(&site, "r2", "frozen").await?.body, first.body);
        assert_eq!(n_runs(&site, "frozen").await?, 1);
        assert_eq!(busy.await?.status, 200);
        Ok(())
    })
}

// The VM stands still past the caller's deadline too. A posting that goes out after its caller
// was given up on surprises everyone; the caller's next try has to be the one that runs.
#[test]
fn a_router_frozen_past_the_deadline_sends_nothing() -> anyhow::Result<()> {
    run(async {
        let mut site = site_with_one_slot().start().await?;
        let call = posting("late").with_header(header::DEADLINE_MS, "2500");
        let (_busy, first) = freeze_between_claim_and_send(&mut site, call).await?;
        site.router_process("r1").thaw()?;
        let first = first.await?;
        assert_eq!(code(&first), Some((Reason::Deadline, Run::Not)), "{first:?}");
        assert_eq!(n_runs(&site, "late").await?, 0);
        repeat(&site, "r2", "late").await?;
        assert_eq!(n_runs(&site, "late").await?, 1);
        Ok(())
    })
}

// The VM stands still while the platform writes its claim. When it wakes the wait for the answer
// is over, so it may go on or give up; either way the caller ends up with one posting.
#[test]
fn a_router_frozen_while_it_claims_loses_and_doubles_nothing() -> anyhow::Result<()> {
    run(async {
        let mut site = site().start().await?;
        let table = Fault {
            mode: Mode::Slow,
            delay_ms: 700,
            key_prefix: "claims/".to_owned(),
            ..Fault::default()
        };
        site.platform.set(&Faults { table, ..Faults::default() }).await?;
        let first = spawn(posting("claiming"), &site, "r1");
        // The verdict holds wherever this catches it; mostly that is before the answer.
        Timer::after(UNDER_WAY).await;
        site.router_process("r1").freeze()?;
        site.platform.mend().await?;
        Timer::after(PAST_LIMITS).await;
        site.router_process("r1").thaw()?;
        let first = first.await?;
        let told = first.refusal().map(|it| it.not_run);
        assert!(first.status == 200 || told == Some(Run::Not), "{first:?}");
        repeat(&site, "r2", "claiming").await?;
        assert_eq!(n_runs(&site, "claiming").await?, 1);
        Ok(())
    })
}

// The VM dies with a posting in it, sent or not. Nobody can tell which, so nobody may send it
// again, and no caller may be told that it didn't run.
#[test]
fn a_call_whose_router_was_killed_is_never_sent_again() -> anyhow::Result<()> {
    run(async {
        let mut site = site_with_one_slot().start().await?;
        let (_busy, waiting) = freeze_between_claim_and_send(&mut site, posting("killed")).await?;
        site.router_process("r1").kill()?;
        assert!(waiting.await.is_err(), "its connection is gone");
        let mut late = service::Faults { answer_late_ms: 1_000, ..Default::default() };
        site.service("s1").set(&late).await?;
        site.start_router("r1").await?;
        let sent = spawn(posting("sent"), &site, "r1");
        eventually(LIMIT, async || Ok(n_runs(&site, "sent").await? == 1)).await?;
        site.router_process("r1").kill()?;
        assert!(sent.await.is_err(), "its connection is gone");
        late.answer_late_ms = 0;
        site.service("s1").set(&late).await?;
        for key in ["killed", "sent"] {
            for _ in 0..3 {
                let again = posting(key).send(&site.router("r2")).await?;
                assert_eq!(code(&again), Some((Reason::KeyClaimed, Run::Unknown)), "{again:?}");
            }
        }
        assert_eq!(n_runs(&site, "killed").await?, 0);
        assert_eq!(n_runs(&site, "sent").await?, 1);
        Ok(())
    })
}

fn site_with_one_slot() -> Builder {
    site().config(|config| config.endpoints.values_mut().for_each(|it| it.slots = 1))
}

/// Freezes `r1` past all limits with `call` in it, claimed and waiting for the only slot.
/// Returns the call that holds the slot, and `call`.
async fn freeze_between_claim_and_send(
    site: &mut Site,
    call: Call,
) -> anyhow::Result<(Waiting, Waiting)> {
    let late = service::Faults { answer_late_ms: 3_000, ..Default::default() };
    site.service("s1").set(&late).await?;
    let busy = spawn(posting("busy"), site, "r1");
    eventually(LIMIT, async || Ok(n_runs(site, "busy").await? == 1)).await?;
    let waiting = spawn(call, site, "r1");
    eventually(LIMIT, async || Ok(site.platform.rows("claims").await?.len() == 2)).await?;
    site.router_process("r1").freeze()?;
    site.service("s1").set(&service::Faults::default()).await?;
    Timer::after(PAST_LIMITS).await;
    Ok((busy, waiting))
}

// The VM stands still while the endpoint works. Another router must neither send the posting
// again nor say that it didn't run.
#[test]
fn a_router_frozen_during_the_call_gives_the_answer_when_it_wakes() -> anyhow::Result<()> {
    run(async {
        let mut site = site().start().await?;
        site.service("s1")
            .set(&service::Faults { answer_late_ms: 500, ..Default::default() })
            .await?;
        let first = spawn(posting("during"), &site, "r1");
        eventually(LIMIT, async || Ok(n_runs(&site, "during").await? == 1)).await?;
        site.router_process("r1").freeze()?;
        Timer::after(PAST_LIMITS).await;
        let other = posting("during").send(&site.router("r2")).await?;
        assert_eq!(code(&other), Some((Reason::KeyClaimed, Run::Unknown)), "{other:?}");
        site.router_process("r1").thaw()?;
        let first = first.await?;
        assert_eq!(first.status, 200, "{first:?}");
        assert_eq!(repeat(&site, "r2", "during").await?.body, first.body);
        assert_eq!(n_runs(&site, "during").await?, 1);
        Ok(())
    })
}
