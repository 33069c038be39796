//! A withdrawn version gets no new work.

use std::time::Duration;

use async_io::Timer;
use curranthook_standin::{
    engine::profile::{Profile, Version},
    engine::record::Outcome,
    platform::fault,
    proxy::link::{Fault, Mode},
};
use curranthook_tests::{
    Site,
    call::{Answer, Chat},
    eventually, executor, run,
};
use curranthook_types::{chat::END_MARKER, header, refusal::Reason, refusal::Run};
use yare::parameterized;

/// Longer than any step of a request that has been admitted takes.
const SETTLE: Duration = Duration::from_millis(300);
const LIMIT: Duration = Duration::from_secs(30);

fn assert_refused(answer: &Answer, code: Reason, not_run: Run) {
    let refusal = answer.refusal().unwrap_or_else(|| panic!("no refusal: {answer:?}"));
    assert_eq!((refusal.code, refusal.not_run), (code, not_run), "{answer:?}");
}

fn chat() -> Chat {
    Chat::new("main", "m", "weigh crate 7")
}

fn profile(slots: usize, token_ms: f64, tokens: u64) -> Profile {
    let version = Version { token_ms, tokens, ..Version::default() };
    Profile { slots, default: version, ..Profile::default() }
}

/// Some nodes can't reach the platform when a version is withdrawn, nor any peer. They can't
/// know, and callers may still be served by the version there. Once the platform is back the
/// nodes must follow by themselves, and the callers get a refusal that says so.
#[test]
fn nodes_that_missed_the_withdrawal_follow_when_the_platform_is_back() -> anyhow::Result<()> {
    run(async {
        let site = Site::builder().engine("e1", &["m@1"]).routers(3).behind_proxy().start().await?;
        site.set_peers(Mode::Cut).await?;
        for link in ["platform/r2", "platform/r3"] {
            site.proxy().set_mode(link, Mode::SilenceAll).await?;
        }
        let epoch = site.withdraw("m@1").await?.epoch;
        site.wait_epoch(&["r1"], epoch).await?;
        assert_refused(&chat().send(&site.router("r1")).await?, Reason::Withdrawn, Run::Not);
        for vm in ["r2", "r3"] {
            assert!(site.status(vm).await?.epoch < epoch, "{vm} is cut off");
        }

        for link in ["platform/r2", "platform/r3"] {
            site.proxy().set_mode(link, Mode::Pass).await?;
        }
        site.wait_epoch(&["r2", "r3"], epoch).await?;
        let n_runs = site.engine("e1").runs().await?.len();
        for vm in ["r1", "r2", "r3"] {
            assert_refused(&chat().send(&site.router(vm)).await?, Reason::Withdrawn, Run::Not);
        }
        assert_eq!(site.engine("e1").runs().await?.len(), n_runs);
        Ok(())
    })
}

/// A node has lost the platform for good while its peers still have it. A caller on that node
/// would go on being served by the withdrawn version, if peers didn't pass the news on.
#[test]
fn a_node_without_the_platform_hears_of_the_withdrawal_from_peers() -> anyhow::Result<()> {
    run(async {
        let site = Site::builder().engine("e1", &["m@1"]).routers(3).behind_proxy().start().await?;
        site.wait_peers().await?;
        site.proxy().set_mode("platform/r2", Mode::Cut).await?;
        let epoch = site.withdraw("m@1").await?.epoch;
        site.wait_epoch(&["r2"], epoch).await?;
        assert_refused(&chat().send(&site.router("r2")).await?, Reason::Withdrawn, Run::Not);
        assert!(site.engine("e1").runs().await?.is_empty());
        Ok(())
    })
}

/// All endpoints that a request was sent to break after the version was withdrawn. The retry on
/// an endpoint that works would be new work for the version. The caller is told why there is
/// none, and that the request may have run.
#[test]
fn a_retry_is_not_made_on_a_withdrawn_version() -> anyhow::Result<()> {
    run(async {
        let site = Site::builder()
            .engine("e1", &["m@1"])
            .engine("e2", &["m@1"])
            .engine("e3", &["m@1"])
            .routers(1)
            .behind_proxy()
            .start()
            .await?;
        site.set_endpoints(Mode::Pause).await?;
        let r1 = site.router("r1");
        let pending = executor().spawn(async move { chat().send(&r1).await });
        site.wait_in_flight("r1", 1).await?;
        // Time for a second attempt beside the first one, which is late.
        Timer::after(SETTLE * 4).await;

        let epoch = site.withdraw("m@1").await?.epoch;
        site.wait_epoch(&["r1"], epoch).await?;
        site.fail_used_endpoints().await?;
        assert_refused(&pending.await?, Reason::Withdrawn, Run::Unknown);
        assert!(site.runs_of("m@1").await?.is_empty());
        Ok(())
    })
}

/// The cheap version of a cascade is at work when the dearer one, which would be asked next, is
/// withdrawn. Its answer turns out poor. The caller gets it all the same, and the withdrawn
/// version isn't asked.
#[test]
fn a_cascade_does_not_escalate_to_a_withdrawn_version() -> anyhow::Result<()> {
    run(async {
        let site = Site::builder().poor_cascade().routers(1).behind_proxy().start().await?;
        let r1 = site.router("r1");
        let chat = Chat::new("main", "auto", "crate log").with_header(header::KIND, "summary");

        site.proxy().set_mode("endpoint/cheap", Mode::Pause).await?;
        let pending = executor().spawn(async move { chat.with_max_tokens(3).send(&r1).await });
        site.wait_in_flight("r1", 1).await?;
        let epoch = site.withdraw("m@2").await?.epoch;
        site.wait_epoch(&["r1"], epoch).await?;
        site.proxy().set_mode("endpoint/cheap", Mode::Pass).await?;
        let answer = pending.await?;
        assert!(answer.is_whole(), "{answer:?}");
        assert_eq!(answer.header(header::VERSION), Some("m@1"), "{answer:?}");
        assert!(site.engine("dear").runs().await?.is_empty());
        // It was a cascade, and it would have escalated.
        let counters = site.status("r1").await?.counters;
        assert_eq!(counters.get("choice.cascade"), Some(&1), "{counters:?}");
        assert_eq!(counters.get("cascade.fell_back"), Some(&1), "{counters:?}");
        Ok(())
    })
}

/// A stream is cut in the middle after its version was withdrawn. To resume it on another
/// endpoint would be new work for the version, and another version must not go on where this
/// one stopped. So the stream ends without its end marker, and its last event tells why.
#[test]
fn a_cut_stream_is_not_resumed_on_a_withdrawn_version() -> anyhow::Result<()> {
    run(async {
        let site = Site::builder()
            .engine("e1", &["m@1"])
            .engine("e2", &["m@1"])
            .profile("e1", profile(16, 100.0, 100))
            .profile("e2", profile(16, 100.0, 100))
            .routers(1)
            .behind_proxy()
            .start()
            .await?;
        let mut stream = chat().streamed().open(&site.router("r1")).await?;
        stream.read_events(2).await?;
        let epoch = site.withdraw("m@1").await?.epoch;
        site.wait_epoch(&["r1"], epoch).await?;
        site.fail_used_endpoints().await?;
        let answer = stream.finish().await?;
        assert!(!answer.is_whole(), "{answer:?}");
        let last = answer.events.last().map(|it| it.data.as_str()).unwrap_or_default();
        assert!(last.contains(r#""code":"withdrawn""#), "{last}");
        assert!(last.contains(r#""not_run":"unknown""#), "{last}");
        let runs = site.runs_of("m@1").await?;
        assert!(runs.iter().all(|it| it.from_token == 0), "nothing resumed: {runs:?}");
        assert_eq!(runs.len(), 1, "{runs:?}");
        Ok(())
    })
}

/// An answer is under way when its version is withdrawn. The withdrawal keeps new work away; to
/// cut the answer would lose work that the caller waits for.
#[test]
fn an_answer_under_way_is_finished() -> anyhow::Result<()> {
    run(async {
        let site = Site::builder()
            .engine("e1", &["m@1"])
            .profile("e1", profile(16, 100.0, 40))
            .routers(1)
            .start()
            .await?;
        let mut stream = chat().streamed().open(&site.router("r1")).await?;
        stream.read_events(1).await?;
        let epoch = site.withdraw("m@1").await?.epoch;
        site.wait_epoch(&["r1"], epoch).await?;
        let answer = stream.finish().await?;
        assert_eq!(answer.events.last().map(|it| it.data.as_str()), Some(END_MARKER));
        assert!(answer.is_whole(), "{answer:?}");
        Ok(())
    })
}

/// A node is cut off from the platform and from all peers, so nobody can tell it of the
/// withdrawal, and it sends its callers' requests on as before. The steward has ordered the
/// engines to unload the version, so they refuse what the node sends.
#[test]
fn engines_refuse_the_version_to_a_node_that_nobody_can_reach() -> anyhow::Result<()> {
    run(async {
        let site = Site::builder()
            .engine("e1", &["m@1", "m@2"])
            .routers(2)
            .stewards(1)
            .behind_proxy()
            .start()
            .await?;
        site.set_peers(Mode::Cut).await?;
        site.proxy().set_mode("platform/r2", Mode::Cut).await?;
        let epoch = site.withdraw("m@1").await?.epoch;
        let is_unloaded = async || Ok(site.engine("e1").versions().await? == ["m@2"]);
        eventually(LIMIT, is_unloaded).await?;
        assert!(site.status("r2").await?.epoch < epoch, "r2 is cut off");
        let answer = Chat::new("main", "m@1", "weigh crate 7").send(&site.router("r2")).await?;
        assert_refused(&answer, Reason::NoEndpoint, Run::Not);
        assert!(site.runs_of("m@1").await?.is_empty());
        Ok(())
    })
}

/// A VM is replaced while the platform is out. One of its peers was frozen during the
/// withdrawal and answers at once with what it knew before; the other is slow and knows better.
/// A node that took the first answer would serve its callers from the withdrawn version.
#[test]
fn a_node_that_starts_in_an_outage_takes_the_newest_of_its_peers() -> anyhow::Result<()> {
    run(async {
        let mut site =
            Site::builder().engine("e1", &["m@1"]).routers(3).behind_proxy().start().await?;
        site.router_process("r3").freeze()?;
        let epoch = site.withdraw("m@1").await?.epoch;
        site.wait_epoch(&["r1", "r2"], epoch).await?;
        let down = || fault::Fault { mode: fault::Mode::Down, ..fault::Fault::default() };
        let faults = fault::Faults { table: down(), vms: down(), ..fault::Faults::default() };
        site.platform.set(&faults).await?;
        site.router_process("r2").kill()?;
        let slow = Fault { delay_ms: 400, ..Fault::default() };
        site.proxy().set("peer/r1", &slow).await?;

        site.router_process("r3").thaw()?;
        site.launch_router("r2").await?;
        site.wait_ready("r2").await?;
        assert_refused(&chat().send(&site.router("r2")).await?, Reason::Withdrawn, Run::Not);
        assert!(epoch <= site.status("r2").await?.epoch);
        assert!(site.engine("e1").runs().await?.is_empty());
        Ok(())
    })
}

/// A router is frozen with a request in its queue, and a caller sends another one to it. The
/// version is withdrawn meanwhile. When the router wakes, both requests are ready to be sent
/// before any news has come in, since the way to the platform and to peers is slower. With the
/// platform out of reach, the peers have to tell.
#[parameterized(with_platform = { Mode::Pass }, with_peers_only = { Mode::Cut })]
fn a_router_that_was_frozen_asks_for_news_before_it_sends(platform: Mode) -> anyhow::Result<()> {
    run(async {
        let mut site = Site::builder()
            .engine("e1", &["m@1"])
            .profile("e1", profile(1, 100.0, 20))
            .routers(2)
            .behind_proxy()
            .start()
            .await?;
        site.wait_peers().await?;
        let r2 = site.router("r2");
        let mut running = chat().with_id("running").streamed().open(&r2).await?;
        running.read_events(1).await?;
        let queued = executor().spawn(async move { chat().with_id("queued").send(&r2).await });
        site.wait_in_flight("r2", 2).await?;
        Timer::after(SETTLE).await;

        site.router_process("r2").freeze()?;
        let sent = executor().spawn(async move { chat().with_id("sent").send(&r2).await });
        let slow = Fault { delay_ms: 300, ..Fault::default() };
        for link in ["peer/r1", "peer/r2"] {
            site.proxy().set(link, &slow).await?;
        }
        site.proxy().set("platform/r2", &Fault { mode: platform, ..slow }).await?;
        let epoch = site.withdraw("m@1").await?.epoch;
        site.wait_epoch(&["r1"], epoch).await?;
        let is_free = async || {
            let runs = site.engine("e1").runs().await?;
            Ok(runs.iter().all(|it| it.outcome != Outcome::Running))
        };
        eventually(LIMIT, is_free).await?;
        // Well past the time after which a router doubts what it knows.
        Timer::after(Duration::from_secs(3)).await;
        site.router_process("r2").thaw()?;

        for answer in [queued.await?, sent.await?] {
            assert_refused(&answer, Reason::Withdrawn, Run::Not);
        }
        let runs = site.engine("e1").runs().await?;
        assert!(runs.iter().all(|it| it.request_id == "running"), "{runs:?}");
        Ok(())
    })
}
