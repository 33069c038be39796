//! A session keeps the version it started on.

use curranthook_settings::rollout::State;
use curranthook_standin::{platform::fault, proxy::link::Mode};
use curranthook_tests::{
    Site,
    call::{Answer, Chat},
    executor, run,
    site::Builder,
};
use curranthook_types::{header, refusal::Reason, refusal::Run};
use yare::parameterized;

fn assert_refused(answer: &Answer, code: Reason, not_run: Run) {
    let refusal = answer.refusal().unwrap_or_else(|| panic!("no refusal: {answer:?}"));
    assert_eq!((refusal.code, refusal.not_run), (code, not_run), "{answer:?}");
}

fn version(answer: &Answer) -> &str {
    assert!(answer.is_whole(), "{answer:?}");
    answer.header(header::VERSION).expect("an answer names its version")
}

fn token(answer: &Answer) -> String {
    answer.header(header::SESSION_TOKEN).expect("an answer of a session has a token").to_owned()
}

fn chat() -> Chat {
    Chat::new("main", "m", "weigh crate 7")
}

fn in_session(id: &str) -> Chat {
    chat().with_header(header::SESSION, id)
}

fn with_token(token: &str) -> Chat {
    chat().with_header(header::SESSION_TOKEN, token)
}

fn two_versions() -> Builder {
    Site::builder().engine("e1", &["m@1"]).engine("e2", &["m@2"]).routers(2).behind_proxy()
}

/// A site on which new sessions get `m@1`, and the token of a session that began on `r1`.
async fn begin(builder: Builder) -> anyhow::Result<(Site, String)> {
    let site = builder.start().await?;
    let epoch = site.set_rollout(State::Aborted).await?.epoch;
    site.wait_epoch(&["r1", "r2"], epoch).await?;
    let first = in_session("new").send(&site.router("r1")).await?;
    assert_eq!(version(&first), "m@1");
    Ok((site, token(&first)))
}

async fn finish_rollout(site: &Site, vms: &[&str]) -> anyhow::Result<()> {
    let epoch = site.set_rollout(State::Done).await?.epoch;
    site.wait_epoch(vms, epoch).await
}

/// A session begins, then the roll-out gives the new version to everyone, and the balancer
/// sends the session's next requests to another router. Without a pin that travels with the
/// caller the tone and the facts of the session would change in the middle.
#[test]
fn a_session_keeps_its_version_when_the_rollout_moves_on() -> anyhow::Result<()> {
    run(async {
        let (site, mut token) = begin(two_versions()).await?;
        finish_rollout(&site, &["r1", "r2"]).await?;
        for vm in ["r2", "r1", "r2"] {
            let next = with_token(&token).send(&site.router(vm)).await?;
            assert_eq!(version(&next), "m@1");
            token = self::token(&next);
        }
        let other = in_session("new").send(&site.router("r2")).await?;
        assert_eq!(version(&other), "m@2", "new sessions get the new version");
        assert_eq!((site.runs_of("m@1").await?.len(), site.runs_of("m@2").await?.len()), (4, 1));
        Ok(())
    })
}

/// The router on which a session began is killed, and the platform is out, so there is nobody
/// who could be asked for the session's version but the caller itself.
#[test]
fn a_token_holds_without_the_router_that_gave_it_and_without_the_platform() -> anyhow::Result<()> {
    run(async {
        let (mut site, token) = begin(two_versions()).await?;
        finish_rollout(&site, &["r1", "r2"]).await?;
        site.router_process("r1").kill()?;
        let down = || fault::Fault { mode: fault::Mode::Down, ..fault::Fault::default() };
        let faults = fault::Faults { table: down(), objects: down(), vms: down() };
        site.platform.set(&faults).await?;
        let next = with_token(&token).send(&site.router("r2")).await?;
        assert_eq!(version(&next), "m@1");

        // A session known by its id only can't be looked up now, and isn't guessed.
        let unknown = in_session("gate-7").with_id("unknown").send(&site.router("r2")).await?;
        assert_refused(&unknown, Reason::PlatformDown, Run::Not);
        let runs = [site.runs_of("m@1").await?, site.runs_of("m@2").await?].concat();
        assert!(runs.iter().all(|it| it.request_id != "unknown"), "{runs:?}");
        let new = in_session("new").send(&site.router("r2")).await?;
        assert_eq!(version(&new), "m@2", "a new session needs no platform");
        Ok(())
    })
}

/// A session's version is withdrawn. The session can't keep it, and moving on to another one
/// unasked would break the other promise, so the caller is told and decides.
#[test]
fn a_session_whose_version_was_withdrawn_is_refused() -> anyhow::Result<()> {
    run(async {
        let (site, token) = begin(two_versions()).await?;
        let by_id = in_session("gate-7").send(&site.router("r1")).await?;
        assert_eq!(version(&by_id), "m@1");
        let epoch = site.withdraw("m@1").await?.epoch;
        site.wait_epoch(&["r1", "r2"], epoch).await?;
        for vm in ["r1", "r2"] {
            for chat in [with_token(&token), in_session("gate-7")] {
                let answer = chat.send(&site.router(vm)).await?;
                assert_refused(&answer, Reason::PinnedWithdrawn, Run::Not);
            }
        }
        assert_eq!(site.runs_of("m@1").await?.len(), 2);
        assert!(site.runs_of("m@2").await?.is_empty());
        Ok(())
    })
}

fn may_move() -> Builder {
    Site::builder()
        .engine("e1", &["m@1", "m@2"])
        .engine("e2", &["m@3"])
        .routers(2)
        .behind_proxy()
        .config(|config| {
            config.accounts.values_mut().for_each(|it| it.sessions_may_move = true);
            // The dearest is only taken where nothing else is left.
            for (id, price) in [("m@1", 1), ("m@2", 10), ("m@3", 100)] {
                let rate = &mut config.versions.get_mut(id).expect("it is served").price;
                (rate.prompt.0, rate.completion.0) = (price, price);
            }
        })
}

/// The account lets its sessions move. Once a session has moved it's on its new version and
/// stays there as before, whatever new sessions get by then: a caller that only has a session
/// id would otherwise be moved back and forth as the choice changes.
#[parameterized(by_token = { Known::Token }, by_id = { Known::Id })]
fn a_session_that_may_move_does_so_once(known: Known) -> anyhow::Result<()> {
    run(async {
        let site = may_move().start().await?;
        let epoch = site.set_rollout(State::Aborted).await?.epoch;
        site.wait_epoch(&["r1", "r2"], epoch).await?;
        let id = if known == Known::Token { "new" } else { "gate-7" };
        let first = in_session(id).send(&site.router("r1")).await?;
        assert_eq!(version(&first), "m@1");
        let next = |last: &Answer| match known {
            Known::Token => with_token(&token(last)),
            Known::Id => in_session(id),
        };
        let epoch = site.withdraw("m@1").await?.epoch;
        site.wait_epoch(&["r1", "r2"], epoch).await?;
        let moved = next(&first).send(&site.router("r2")).await?;
        assert_eq!(version(&moved), "m@2");

        // From now on new sessions get another version.
        let epoch = site
            .publish(|document| {
                for config in document.sites.values_mut() {
                    let version = config.versions.get_mut("m@2").expect("it is served");
                    (version.price.prompt.0, version.price.completion.0) = (1_000, 1_000);
                }
            })
            .await?
            .epoch;
        site.wait_epoch(&["r1", "r2"], epoch).await?;
        let other = in_session("new").send(&site.router("r1")).await?;
        assert_eq!(version(&other), "m@3");
        let mut last = moved;
        for vm in ["r1", "r2"] {
            last = next(&last).send(&site.router(vm)).await?;
            assert_eq!(version(&last), "m@2", "on {vm}");
        }
        Ok(())
    })
}

/// How a caller names its session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Known {
    Token,
    Id,
}

/// The platform takes the pin of a session in and its answer is lost. If the router then let
/// the session go on unpinned, its next request on another router could get another version.
#[test]
fn a_pin_whose_insert_lost_its_answer_holds() -> anyhow::Result<()> {
    run(async {
        let (site, _) = begin(two_versions()).await?;
        let lost = fault::Fault {
            mode: fault::Mode::Lost,
            key_prefix: "sessions/".to_owned(),
            next: Some(1),
            ..fault::Fault::default()
        };
        site.platform.set(&fault::Faults { table: lost, ..fault::Faults::default() }).await?;
        let first = in_session("gate-7").send(&site.router("r1")).await?;
        assert_eq!(version(&first), "m@1");
        finish_rollout(&site, &["r1", "r2"]).await?;
        for vm in ["r2", "r1"] {
            let next = in_session("gate-7").send(&site.router(vm)).await?;
            assert_eq!(version(&next), "m@1", "on {vm}");
        }
        assert!(site.runs_of("m@2").await?.is_empty());
        Ok(())
    })
}

/// Callers that ask for a new session at the same moment must not share one: the second one's
/// version would be that of the first.
#[test]
fn each_new_session_is_one_of_its_own() -> anyhow::Result<()> {
    run(async {
        let (site, first) = begin(two_versions()).await?;
        finish_rollout(&site, &["r1", "r2"]).await?;
        let mut ids = std::collections::BTreeSet::new();
        for vm in ["r1", "r2", "r1", "r2"] {
            let answer = in_session("new").send(&site.router(vm)).await?;
            assert_eq!(version(&answer), "m@2");
            ids.insert(answer.header(header::SESSION).expect("a session has an id").to_owned());
        }
        assert_eq!(ids.len(), 4, "{ids:?}");
        // The token goes with its own session and with no other.
        let other = ids.first().expect("there are some");
        let chat = in_session(other).with_header(header::SESSION_TOKEN, &first);
        let answer = chat.send(&site.router("r1")).await?;
        assert_refused(&answer, Reason::BadToken, Run::Not);
        Ok(())
    })
}
/// Two first requests of a session that is known by its id only race to two routers, which
/// disagree on the version because one of them hasn't heard of the roll-out's end. Without the
/// conditional insert of the pin the caller would get answers of two versions.
#[test]
fn first_requests_that_race_on_two_routers_end_on_one_version() -> anyhow::Result<()> {
    const N_SESSIONS: usize = 10;
    run(async {
        let mut site = two_versions().start().await?;
        site.wait_peers().await?;
        let epoch = site.set_rollout(State::Aborted).await?.epoch;
        site.wait_epoch(&["r1", "r2"], epoch).await?;
        site.router_process("r2").freeze()?;
        finish_rollout(&site, &["r1"]).await?;
        site.set_peers(Mode::Cut).await?;
        let down = fault::Fault {
            mode: fault::Mode::Down,
            key_prefix: "config/".to_owned(),
            ..fault::Fault::default()
        };
        site.platform.set(&fault::Faults { table: down, ..fault::Faults::default() }).await?;
        site.router_process("r2").thaw()?;
        let (r1, r2) = (site.router("r1"), site.router("r2"));
        assert_eq!(version(&chat().send(&r1).await?), "m@2");
        assert_eq!(version(&chat().send(&r2).await?), "m@1");

        let mut races = Vec::new();
        for n in 0..N_SESSIONS {
            let send = |addr| {
                let chat = in_session(&format!("gate-{n}")).with_id(&format!("s{n}"));
                executor().spawn(async move { chat.send(&addr).await })
            };
            races.push((n, send(r1), send(r2)));
        }
        for (n, first, second) in races {
            let (first, second) = (first.await?, second.await?);
            assert_eq!(version(&first), version(&second), "session {n}");
            let session = format!("s{n}");
            let runs = [site.runs_of("m@1").await?, site.runs_of("m@2").await?].concat();
            let mut ran: Vec<_> = runs.into_iter().filter(|it| it.request_id == session).collect();
            ran.dedup_by(|a, b| a.version == b.version);
            assert_eq!(ran.len(), 1, "session {n} ran on {ran:?}");
        }
        Ok(())
    })
}
