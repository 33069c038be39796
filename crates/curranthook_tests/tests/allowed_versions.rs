//! A request runs only on versions that its account allows.

use std::time::Duration;

use async_io::Timer;
use curranthook_router::token;
use curranthook_settings::config::Key;
use curranthook_standin::{
    engine::profile::{Profile, Version},
    proxy::link::Mode,
};
use curranthook_tests::{
    Site,
    call::{Answer, Chat},
    executor, run,
};
use curranthook_types::{clock, header, refusal::Reason, refusal::Run};
use yare::parameterized;

/// Longer than any step of a request that has been admitted takes.
const SETTLE: Duration = Duration::from_millis(300);

fn assert_refused(answer: &Answer, code: Reason, not_run: Run) {
    let refusal = answer.refusal().unwrap_or_else(|| panic!("no refusal: {answer:?}"));
    assert_eq!((refusal.code, refusal.not_run), (code, not_run), "{answer:?}");
}

/// An engine that runs one request at a time, each for many seconds.
fn one_slow_slot() -> Profile {
    let version = Version { token_ms: 500.0, tokens: 60, ..Version::default() };
    Profile { slots: 1, default: version, ..Profile::default() }
}

/// A request is admitted while its account may use the version, then waits for a busy endpoint.
/// Meanwhile an operator takes the version away from the account. Without a second look before
/// the request is sent, the account's work would still run on it.
#[test]
fn a_request_that_waits_is_refused_once_its_account_lost_the_version() -> anyhow::Result<()> {
    run(async {
        let site = Site::builder()
            .engine("e1", &["m@1"])
            .profile("e1", one_slow_slot())
            .account("yard")
            .account("co-op")
            .routers(1)
            .start()
            .await?;
        let r1 = site.router("r1");
        let mut running = Chat::new("co-op", "m", "crate log").streamed().open(&r1).await?;
        running.read_events(1).await?;
        let chat = Chat::new("yard", "m", "weigh crate 7").with_id("waits");
        let waiting = executor().spawn(async move { chat.send(&r1).await });
        site.wait_in_flight("r1", 2).await?;
        Timer::after(SETTLE).await;

        let epoch = site.disallow("yard", "m@1").await?.epoch;
        site.wait_epoch(&["r1"], epoch).await?;
        drop(running);
        assert_refused(&waiting.await?, Reason::NotAllowed, Run::Not);
        let runs = site.engine("e1").runs().await?;
        assert!(runs.iter().all(|it| it.request_id != "waits"), "{runs:?}");
        Ok(())
    })
}

/// All endpoints that a request was sent to break while the account loses the version. The
/// retry on an endpoint that works would be new work on a version that isn't allowed any more.
#[test]
fn a_retry_is_not_made_on_a_version_that_the_account_lost() -> anyhow::Result<()> {
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
        let chat = Chat::new("main", "m", "weigh crate 7");
        let pending = executor().spawn(async move { chat.send(&r1).await });
        site.wait_in_flight("r1", 1).await?;
        // Time for a second attempt beside the first one, which is late.
        Timer::after(SETTLE * 4).await;

        let epoch = site.disallow("main", "m@1").await?.epoch;
        site.wait_epoch(&["r1"], epoch).await?;
        site.fail_used_endpoints().await?;
        assert_refused(&pending.await?, Reason::NotAllowed, Run::Unknown);
        assert!(site.runs_of("m@1").await?.is_empty());
        Ok(())
    })
}

/// A cheap version is asked first, and its answer turns out to be poor. While it was at work
/// the account lost the dearer version that would be asked next. The caller gets the answer
/// that there is; the dearer version mustn't see the request.
#[test]
fn a_cascade_does_not_escalate_to_a_version_that_the_account_lost() -> anyhow::Result<()> {
    run(async {
        let site = Site::builder().poor_cascade().routers(1).behind_proxy().start().await?;
        let r1 = site.router("r1");
        let chat = Chat::new("main", "auto", "crate log").with_header(header::KIND, "summary");

        site.proxy().set_mode("endpoint/cheap", Mode::Pause).await?;
        let pending = executor().spawn(async move { chat.with_max_tokens(3).send(&r1).await });
        site.wait_in_flight("r1", 1).await?;
        let epoch = site.disallow("main", "m@2").await?.epoch;
        site.wait_epoch(&["r1"], epoch).await?;
        site.proxy().set_mode("endpoint/cheap", Mode::Pass).await?;
        let answer = pending.await?;
        // It was a cascade, and it would have escalated.
        let counters = site.status("r1").await?.counters;
        assert_eq!(counters.get("choice.cascade"), Some(&1), "{counters:?}");
        assert_eq!(counters.get("cascade.fell_back"), Some(&1), "{counters:?}");
        assert!(answer.is_whole(), "{answer:?}");
        assert_eq!(answer.header(header::VERSION), Some("m@1"), "{answer:?}");
        assert!(site.engine("dear").runs().await?.is_empty());
        Ok(())
    })
}

fn key(id: &str, secret: u8) -> Key {
    Key { id: id.to_owned(), secret: vec![secret; 32] }
}

/// The key that signs tokens in [`Site`]s.
const SECRET: u8 = 9;

fn signed(account: &str, age: Duration, key: &Key) -> String {
    let now = curranthook_types::Clock::unix_millis(&clock::System);
    let age = u64::try_from(age.as_millis()).expect("an age is short");
    let claims = token::Claims {
        session: "s1".into(),
        account: account.into(),
        version: "m@2".into(),
        signed_millis: now - age,
        key: key.id.clone(),
    };
    token::sign(&claims, key)
}

fn token_of_another_account() -> String {
    signed("other", Duration::ZERO, &key("k1", SECRET))
}

fn token_expired() -> String {
    let lifetime = Duration::from_millis(token::LIFETIME_MILLIS);
    signed("main", lifetime + Duration::from_secs(60), &key("k1", SECRET))
}

fn token_forged_secret() -> String {
    signed("main", Duration::ZERO, &key("k1", 8))
}

fn token_unknown_key() -> String {
    signed("main", Duration::ZERO, &key("k7", SECRET))
}

/// The claims of one token under the signature of another.
fn token_spliced() -> String {
    let (ours, theirs) =
        (signed("main", Duration::ZERO, &key("k1", SECRET)), token_of_another_account());
    let claims = ours.split_once('.').map(|it| it.0).unwrap_or_default();
    let signature = theirs.split_once('.').map(|it| it.1).unwrap_or_default();
    format!("{claims}.{signature}")
}

fn token_garbled() -> String {
    "bm90IGpzb24.AAAA".to_owned()
}

fn token_without_signature() -> String {
    let token = signed("main", Duration::ZERO, &key("k1", SECRET));
    token.split_once('.').map(|it| format!("{}.", it.0)).unwrap_or_default()
}

/// A caller gets hold of a token that isn't its own, or makes one up, in which a version is
/// named. If a router took its word, the caller could choose a version by it, and its session
/// would run on what somebody else's started on.
#[parameterized(
    of_another_account = { token_of_another_account() },
    expired = { token_expired() },
    forged_secret = { token_forged_secret() },
    unknown_key = { token_unknown_key() },
    spliced = { token_spliced() },
    garbled = { token_garbled() },
    without_signature = { token_without_signature() },
)]
fn a_token_that_is_not_the_callers_own_is_refused(token: String) -> anyhow::Result<()> {
    run(async {
        let site = Site::builder()
            .engine("e1", &["m@1", "m@2"])
            .account("main")
            .account("other")
            .routers(1)
            .start()
            .await?;
        let chat = Chat::new("main", "m", "weigh crate 7");
        let answer =
            chat.with_header(header::SESSION_TOKEN, &token).send(&site.router("r1")).await?;
        assert_refused(&answer, Reason::BadToken, Run::Not);
        assert!(site.engine("e1").runs().await?.is_empty());
        Ok(())
    })
}

/// A session started on a version that the account then lost. The token is genuine, and its
/// signature proves only which version the session is on, not that it's still allowed.
#[test]
fn a_genuine_token_does_not_give_back_a_version_that_the_account_lost() -> anyhow::Result<()> {
    run(async {
        let site = Site::builder().engine("e1", &["m@1", "m@2"]).routers(1).start().await?;
        let r1 = site.router("r1");
        let chat = Chat::new("main", "m@2", "weigh crate 7");
        let first = chat.clone().with_header(header::SESSION, "new").send(&r1).await?;
        let token = first.header(header::SESSION_TOKEN).expect("a new session has a token");
        let epoch = site.disallow("main", "m@2").await?.epoch;
        site.wait_epoch(&["r1"], epoch).await?;
        let chat = Chat::new("main", "m", "weigh crate 7").with_id("second");
        let second = chat.with_header(header::SESSION_TOKEN, token).send(&r1).await?;
        assert_refused(&second, Reason::NotAllowed, Run::Not);
        assert_eq!(site.engine("e1").runs().await?.len(), 1);
        Ok(())
    })
}
