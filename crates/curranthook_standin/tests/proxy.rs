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

const LINK: &str = "endpoint/s1";
const LIMIT: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct Setup {
    addr: SocketAddr,
    proxy: Proxy,
    service: Service,
    _directory: tempfile::TempDir,
}

async fn setup() -> anyhow::Result<Setup> {
    let directory = tempfile::tempdir()?;
    let proxy = Proxy::start(directory.path())?;
    let service = Service::start(directory.path(), "s1")?;
    let addr = proxy.open(LINK, service.addr()).await?;
    Ok(Setup { addr, proxy, service, _directory: directory })
}

async fn post(addr: SocketAddr, freshness: Freshness) -> Result<(), exchange::Error> {
    let call = Exchange::post(addr, "/entries").with_freshness(freshness).with_timeout(LIMIT);
    call.run(pool()).await.map(drop)
}

/// A middlebox loses the state of an open connection. Neither side sees a FIN or an RST: a call
/// on the old connection never ends, while a call on a new connection works.
#[test]
fn open_connections_go_silent_while_new_ones_work() -> anyhow::Result<()> {
    run(async {
        let it = setup().await?;
        post(it.addr, Freshness::Any).await?;
        it.proxy.set_mode(LINK, Mode::SilenceOpen).await?;
        let on_old = post(it.addr, Freshness::Any).await;
        assert!(matches!(on_old, Err(exchange::Error::Timeout(_))), "{on_old:?}");
        post(it.addr, Freshness::New).await?;
        // The old connection stays silent, and what was sent on it was dropped.
        it.proxy.set_mode(LINK, Mode::Pass).await?;
        assert_eq!(it.service.calls().await?.len(), 2);
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
fn a_new_connection(mode: Mode, end: &str, n_run: usize) {
    run(async {
        let it = setup().await.expect("everything starts");
        it.proxy.set_mode(LINK, mode).await.expect("the mode is set");
        let found = match post(it.addr, Freshness::New).await {
            Ok(()) => "done",
            Err(exchange::Error::Timeout(_)) => "timeout",
            Err(e) if e.is_unsent() => "unsent",
            Err(_) => "closed",
        };
        assert_eq!(found, end);
        assert_eq!(it.service.calls().await.expect("it keeps a record").len(), n_run);
    });
}

#[test]
fn a_cut_resets_open_connections_and_a_pass_lets_new_ones_in() -> anyhow::Result<()> {
    run(async {
        let it = setup().await?;
        post(it.addr, Freshness::Any).await?;
        it.proxy.set_mode(LINK, Mode::Cut).await?;
        let is_closed = async || Ok(it.proxy.links().await?[LINK].open == 0);
        eventually(Duration::from_secs(10), is_closed).await?;
        assert!(post(it.addr, Freshness::Any).await.is_err());
        it.proxy.set_mode(LINK, Mode::Pass).await?;
        Ok(post(it.addr, Freshness::Any).await?)
    })
}

/// The request arrives complete and is run; its response is cut in the middle of the head.
#[test]
fn an_answer_is_cut_after_some_bytes_once() -> anyhow::Result<()> {
    run(async {
        let it = setup().await?;
        let fault = Fault { cut_after_bytes_down: Some(20), ..Fault::default() };
        it.proxy.set(LINK, &fault).await?;
        let cut = post(it.addr, Freshness::New).await.expect_err("the answer is cut");
        assert!(!cut.is_unsent(), "{cut}");
        post(it.addr, Freshness::New).await?;
        assert_eq!(it.service.calls().await?.len(), 2);
        Ok(())
    })
}

/// The proxy forwards the first bytes of the request and drops the rest, so it never arrives.
#[test]
fn a_request_is_swallowed_once() -> anyhow::Result<()> {
    run(async {
        let it = setup().await?;
        let fault = Fault { swallow_up_after_bytes: Some(20), ..Fault::default() };
        it.proxy.set(LINK, &fault).await?;
        let swallowed = post(it.addr, Freshness::New).await;
        assert!(matches!(swallowed, Err(exchange::Error::Timeout(_))), "{swallowed:?}");
        post(it.addr, Freshness::New).await?;
        assert_eq!(it.service.calls().await?.len(), 1);
        Ok(())
    })
}

/// A replaced process listens on another address; the link's address stays the same.
#[test]
fn a_link_gets_a_new_target() -> anyhow::Result<()> {
    run(async {
        let it = setup().await?;
        let directory = tempfile::tempdir()?;
        let other = Service::start(directory.path(), "s2")?;
        let fault = Fault { target: Some(other.addr()), ..Fault::default() };
        assert_eq!(it.proxy.set(LINK, &fault).await?.listen, it.addr);
        post(it.addr, Freshness::New).await?;
        assert_eq!((it.service.calls().await?.len(), other.calls().await?.len()), (0, 1));
        Ok(())
    })
}

/// A suspended process keeps its connections open and doesn't respond. It works again once resumed.
#[test]
fn a_frozen_process_goes_on_when_thawed() -> anyhow::Result<()> {
    run(async {
        let mut it = setup().await?;
        it.service.process.freeze()?;
        let frozen = post(it.addr, Freshness::New).await;
        assert!(matches!(frozen, Err(exchange::Error::Timeout(_))), "{frozen:?}");
        it.service.process.thaw()?;
        post(it.addr, Freshness::New).await?;
        it.service.process.terminate()?;
        assert!(it.service.process.ended(Duration::from_secs(10)).await?.success());
        Ok(())
    })
}

/// Bytes held back are forwarded completely and in order when the pause ends.
#[test]
fn a_pause_and_a_delay_only_make_calls_late() -> anyhow::Result<()> {
    run(async {
        let it = setup().await?;
        it.proxy.set_mode(LINK, Mode::Pause).await?;
        let (addr, limit) = (it.addr, Duration::from_secs(10));
        let call = Exchange::post(addr, "/entries").with_timeout(limit);
        let held = executor().spawn(async move { call.run(pool()).await });
        let is_open = async || Ok(it.proxy.links().await?[LINK].open == 1);
        eventually(limit, is_open).await?;
        assert_eq!(it.service.calls().await?.len(), 0);
        let late = Fault { delay_ms: 50, ..Fault::default() };
        it.proxy.set(LINK, &late).await?;
        assert_eq!(held.await?.status(), 200);
        let start = Instant::now();
        post(addr, Freshness::New).await?;
        let both_ways = Duration::from_millis(100);
        assert!(both_ways <= start.elapsed(), "{:?}", start.elapsed());
        Ok(())
    })
}
