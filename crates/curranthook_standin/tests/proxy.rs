//! Tests of the fault proxy's behaviour that other tests depend on.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use curranthook_http::{Exchange, client::Freshness, exchange};
use curranthook_standin::proxy::link::{Fault, Mode};
use curranthook_tests::{
    eventually, executor, pool, run,
    standin::{Proxy, Service},
};
use yare::parameterized;

const LINK_NAME: &str = "endpoint/s1";
const TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct Fixture {
    addr: SocketAddr,
    proxy: Proxy,
    service: Service,
    _directory: tempfile::TempDir,
}

async fn setup() -> anyhow::Result<Fixture> {
    let directory = tempfile::tempdir()?;
    let proxy = Proxy::start(directory.path())?;
    let service = Service::start(directory.path(), "s1")?;
    let addr = proxy.open(LINK_NAME, service.addr()).await?;
    Ok(Fixture { addr, proxy, service, _directory: directory })
}

async fn post(addr: SocketAddr, freshness: Freshness) -> Result<(), exchange::Error> {
    let call = Exchange::post(addr, "/entries").with_freshness(freshness).with_timeout(TIMEOUT);
    call.run(pool()).await.map(drop)
}

/// A middlebox loses the state of an open connection. Neither side sees a FIN or an RST: a call
/// on the old connection never ends, while a call on a new connection works.
#[test]
fn open_connections_go_silent_while_new_ones_work() -> anyhow::Result<()> {
    run(async {
        let fixture = setup().await?;
        post(fixture.addr, Freshness::Any).await?;
        fixture.proxy.set_mode(LINK_NAME, Mode::SilenceOpen).await?;
        let on_old = post(fixture.addr, Freshness::Any).await;
        assert!(matches!(on_old, Err(exchange::Error::Timeout(_))), "{on_old:?}");
        post(fixture.addr, Freshness::New).await?;
        // The old connection stays silent, and what was sent on it was dropped.
        fixture.proxy.set_mode(LINK_NAME, Mode::Pass).await?;
        assert_eq!(fixture.service.calls().await?.len(), 2);
        Ok(())
    })
}

/// The result of a call on a new connection in each mode, and whether the call was run.
#[parameterized(
    pass = { Mode::Pass, "done", 1 },
    refuse = { Mode::Refuse, "unsent", 0 },
    cut = { Mode::Cut, "unsent", 0 },
    silent = { Mode::SilenceAll, "timeout", 0 },
    only_up = { Mode::OneWayUp, "timeout", 1 },
    only_down = { Mode::OneWayDown, "timeout", 0 },
    paused = { Mode::Pause, "timeout", 0 },
)]
fn a_call_on_a_new_connection(mode: Mode, end: &str, n_run: usize) {
    run(async {
        let fixture = setup().await.expect("everything starts");
        fixture.proxy.set_mode(LINK_NAME, mode).await.expect("the mode is set");
        let found = match post(fixture.addr, Freshness::New).await {
            Ok(()) => "done",
            Err(exchange::Error::Timeout(_)) => "timeout",
            Err(e) if e.is_unsent() => "unsent",
            Err(_) => "closed",
        };
        assert_eq!(found, end);
        assert_eq!(fixture.service.calls().await.expect("it keeps a record").len(), n_run);
    });
}

#[test]
fn cut_resets_open_connections_and_pass_accepts_new_ones() -> anyhow::Result<()> {
    run(async {
        let fixture = setup().await?;
        post(fixture.addr, Freshness::Any).await?;
        fixture.proxy.set_mode(LINK_NAME, Mode::Cut).await?;
        let is_closed = async || Ok(fixture.proxy.links().await?[LINK_NAME].open == 0);
        eventually(Duration::from_secs(10), is_closed).await?;
        assert!(post(fixture.addr, Freshness::Any).await.is_err());
        fixture.proxy.set_mode(LINK_NAME, Mode::Pass).await?;
        Ok(post(fixture.addr, Freshness::Any).await?)
    })
}

/// The request arrives complete and is run; its response is cut in the middle of the head.
#[test]
fn a_response_is_cut_once_after_a_byte_limit() -> anyhow::Result<()> {
    run(async {
        let fixture = setup().await?;
        let fault = Fault { cut_after_bytes_down: Some(20), ..Fault::default() };
        fixture.proxy.set(LINK_NAME, &fault).await?;
        let cut = post(fixture.addr, Freshness::New).await.expect_err("the answer is cut");
        assert!(!cut.is_unsent(), "{cut}");
        post(fixture.addr, Freshness::New).await?;
        assert_eq!(fixture.service.calls().await?.len(), 2);
        Ok(())
    })
}

/// The proxy forwards the first bytes of the request and drops the rest, so it never arrives.
#[test]
fn a_request_is_dropped_once_after_a_byte_limit() -> anyhow::Result<()> {
    run(async {
        let fixture = setup().await?;
        let fault = Fault { swallow_up_after_bytes: Some(20), ..Fault::default() };
        fixture.proxy.set(LINK_NAME, &fault).await?;
        let swallowed = post(fixture.addr, Freshness::New).await;
        assert!(matches!(swallowed, Err(exchange::Error::Timeout(_))), "{swallowed:?}");
        post(fixture.addr, Freshness::New).await?;
        assert_eq!(fixture.service.calls().await?.len(), 1);
        Ok(())
    })
}

/// A replaced process listens on another address; the link's address stays the same.
#[test]
fn the_target_of_a_link_can_be_replaced() -> anyhow::Result<()> {
    run(async {
        let fixture = setup().await?;
        let directory = tempfile::tempdir()?;
        let second_service = Service::start(directory.path(), "s2")?;
        let fault = Fault { target: Some(second_service.addr()), ..Fault::default() };
        assert_eq!(fixture.proxy.set(LINK_NAME, &fault).await?.listen, fixture.addr);
        post(fixture.addr, Freshness::New).await?;
        assert_eq!(
            (fixture.service.calls().await?.len(), second_service.calls().await?.len()),
            (0, 1)
        );
        Ok(())
    })
}

/// A suspended process keeps its connections open and doesn't respond. It works again once resumed.
#[test]
fn a_suspended_process_works_again_when_resumed() -> anyhow::Result<()> {
    run(async {
        let mut fixture = setup().await?;
        fixture.service.process.freeze()?;
        let frozen = post(fixture.addr, Freshness::New).await;
        assert!(matches!(frozen, Err(exchange::Error::Timeout(_))), "{frozen:?}");
        fixture.service.process.thaw()?;
        post(fixture.addr, Freshness::New).await?;
        fixture.service.process.terminate()?;
        assert!(fixture.service.process.ended(Duration::from_secs(10)).await?.success());
        Ok(())
    })
}

/// A call held back by a pause completes when the pause ends, and a delay is added in each direction
/// of a call.
#[test]
fn pause_and_delay_only_delay_calls() -> anyhow::Result<()> {
    run(async {
        let fixture = setup().await?;
        fixture.proxy.set_mode(LINK_NAME, Mode::Pause).await?;
        let (addr, limit) = (fixture.addr, Duration::from_secs(10));
        let call = Exchange::post(addr, "/entries").with_timeout(limit);
        let held = executor().spawn(async move { call.run(pool()).await });
        let is_open = async || Ok(fixture.proxy.links().await?[LINK_NAME].open == 1);
        eventually(limit, is_open).await?;
        assert_eq!(fixture.service.calls().await?.len(), 0);
        let delayed = Fault { delay_ms: 50, ..Fault::default() };
        fixture.proxy.set(LINK_NAME, &delayed).await?;
        assert_eq!(held.await?.status(), 200);
        let start = Instant::now();
        post(addr, Freshness::New).await?;
        let both_ways = Duration::from_millis(100);
        assert!(both_ways <= start.elapsed(), "{:?}", start.elapsed());
        Ok(())
    })
}
