//! A request that crashes each endpoint that runs it is stopped.

use std::time::Duration;

use curranthook_standin::{engine::faults::Faults, proxy::link, service};
use curranthook_tests::{
    Site,
    call::{Answer, Call, Chat},
    eventually, run,
};
use curranthook_types::refusal::{Reason, Run};

const POISON: &str = "weigh the crate that isn't there";
/// How many endpoints a request may take down.
const ENOUGH: usize = 2;
const LIMIT: Duration = Duration::from_secs(30);

async fn engines(n: usize) -> anyhow::Result<Site> {
    let mut builder = Site::builder().routers(2);
    for n in 1..=n {
        builder = builder.engine(&format!("e{n}"), &["m@1"]);
    }
    let site = builder.start().await?;
    for engine in site.engines.values() {
        engine.set(&Faults { die_on: Some(POISON.to_owned()), ..Faults::default() }).await?;
    }
    Ok(site)
}

fn poison() -> Chat {
    Chat::new("main", "m", POISON)
}

fn n_dead(site: &mut Site) -> usize {
    let engines = site.engines.values_mut().map(|it| &mut it.process);
    let services = site.services.values_mut().map(|it| &mut it.process);
    engines.chain(services).filter_map(|it| (!it.is_running()).then_some(())).count()
}

fn code(answer: &Answer) -> Option<(Reason, Run)> {
    answer.refusal().map(|it| (it.code, it.not_run))
}

/// Waits until what a router knows by now has reached the other.
async fn await_exchange(site: &Site) -> anyhow::Result<()> {
    const WHOLE_EXCHANGES: u64 = 2;
    let before = n_exchanges(site).await?;
    let is_later = async || Ok(before + WHOLE_EXCHANGES <= n_exchanges(site).await?);
    eventually(LIMIT, is_later).await
}

async fn n_exchanges(site: &Site) -> anyhow::Result<u64> {
    let status = Call::new("main", http::Method::GET, "/status").send(&site.router("r2")).await?;
    Ok(status.json()?["peers"]["counters"]["exchange_ok"].as_u64().unwrap_or_default())
}

async fn assert_others_are_served(site: &Site) -> anyhow::Result<()> {
    for n in 0..10 {
        for vm in ["r1", "r2"] {
            let answer =
                Chat::new("main", "m", &format!("weigh crate {n}")).send(&site.router(vm)).await?;
            assert!(answer.is_whole(), "{answer:?}");
        }
    }
    Ok(())
}

// One prompt trips a fault in the engine and its process dies. The router tries the next engine,
// the caller sends the prompt again, perhaps elsewhere, and one engine after the other is gone.
#[test]
fn a_request_that_kills_engines_is_stopped_after_two() -> anyhow::Result<()> {
    run(async {
        let mut site = engines(5).await?;
        let first = poison().send(&site.router("r1")).await?;
        assert_eq!(code(&first), Some((Reason::Poison, Run::Unknown)), "{first:?}");
        assert_eq!(n_dead(&mut site), ENOUGH);
        for chat in [poison(), poison(), poison().with_id("again")] {
            let again = chat.send(&site.router("r1")).await?;
            assert_eq!(code(&again), Some((Reason::Poison, Run::Not)), "{again:?}");
        }
        await_exchange(&site).await?;
        for _ in 0..3 {
            let again = poison().send(&site.router("r2")).await?;
            assert_eq!(code(&again), Some((Reason::Poison, Run::Not)), "{again:?}");
        }
        assert_eq!(n_dead(&mut site), ENOUGH);
        assert_others_are_served(&site).await
    })
}

// The same as a stream: the engine dies before the first token.
#[test]
fn a_stream_that_kills_engines_is_stopped_after_two() -> anyhow::Result<()> {
    run(async {
        let mut site = engines(4).await?;
        for _ in 0..4 {
            let answer = poison().streamed().send(&site.router("r1")).await?;
            assert_eq!(code(&answer).map(|it| it.0), Some(Reason::Poison), "{answer:?}");
        }
        assert_eq!(n_dead(&mut site), ENOUGH);
        assert_others_are_served(&site).await
    })
}

// A plain service dies of a call too. A status read is tried again by the router, a posting only
// by its caller, who takes a new key for it; either would take down every instance.
#[test]
fn a_call_that_kills_services_is_stopped_after_two() -> anyhow::Result<()> {
    run(async {
        for method in [http::Method::GET, http::Method::POST] {
            let mut builder = Site::builder().routers(1);
            for n in 1..=5 {
                builder = builder.service(&format!("s{n}"), "ledger");
            }
            let mut site = builder.start().await?;
            for service in site.services.values() {
                let dies = service::Faults { die_before_run: true, ..Default::default() };
                service.set(&dies).await?;
            }
            let mut last = None;
            for n in 0..6 {
                let call = Call::new("main", method.clone(), "/services/ledger/crates/7");
                let call = call.with_idempotency_key(&format!("k{n}"));
                last = code(&call.send(&site.router("r1")).await?);
            }
            assert_eq!(last, Some((Reason::Poison, Run::Not)), "{method}");
            assert_eq!(n_dead(&mut site), ENOUGH, "{method}");
        }
        Ok(())
    })
}

// The network resets connections under a good request, again and again. Taken for poison it
// would be refused everywhere, and its caller could never have it answered.
#[test]
fn a_request_whose_connections_are_cut_isnt_poison() -> anyhow::Result<()> {
    run(async {
        let mut builder = Site::builder().routers(2).behind_proxy();
        for n in 1..=4 {
            builder =
                builder.engine(&format!("e{n}"), &["m@1"]).service(&format!("s{n}"), "ledger");
        }
        let mut site = builder.start().await?;
        let good = Chat::new("main", "m", "weigh crate 7");
        let read = Call::new("main", http::Method::GET, "/services/ledger/crates/7");
        for _ in 0..3 {
            let cut = link::Fault { cut_after_bytes_down: Some(0), ..Default::default() };
            for id in site.engines.keys().chain(site.services.keys()) {
                site.proxy().set(&format!("endpoint/{id}"), &cut).await?;
            }
            for told in [good.send(&site.router("r1")).await?, read.send(&site.router("r1")).await?]
            {
                assert_ne!(code(&told).map(|it| it.0), Some(Reason::Poison), "{told:?}");
            }
        }
        for id in site.engines.keys().chain(site.services.keys()) {
            site.proxy().set_mode(&format!("endpoint/{id}"), link::Mode::Pass).await?;
        }
        for vm in ["r1", "r2"] {
            let answer = good.send(&site.router(vm)).await?;
            assert!(answer.is_whole(), "{answer:?}");
            assert_eq!(read.send(&site.router(vm)).await?.status, 200);
        }
        assert_eq!(n_dead(&mut site), 0);
        Ok(())
    })
}

// The whole network is down for a moment, in the middle of an answer: connections break and new
// ones are refused, as by a host whose endpoint is gone.
#[test]
fn a_request_hit_by_an_outage_of_the_network_isnt_poison() -> anyhow::Result<()> {
    run(async {
        let mut builder = Site::builder().routers(1).behind_proxy();
        for n in 1..=4 {
            builder = builder.engine(&format!("e{n}"), &["m@1"]);
        }
        let site = builder.start().await?;
        for engine in site.engines.values() {
            engine.set(&Faults { token_ms: Some(100.0), ..Faults::default() }).await?;
        }
        let good = Chat::new("main", "m", "weigh crate 7").with_max_tokens(8);
        let mut stream = good.clone().streamed().open(&site.router("r1")).await?;
        stream.read_events(2).await?;
        for id in site.engines.keys() {
            site.proxy().set_mode(&format!("endpoint/{id}"), link::Mode::Cut).await?;
        }
        assert!(!stream.finish().await?.is_whole());
        for id in site.engines.keys() {
            site.proxy().set_mode(&format!("endpoint/{id}"), link::Mode::Pass).await?;
        }
        // The bodies of the two differ in one field, so both are sent again.
        for chat in [good.clone().streamed(), good] {
            let answer = chat.send(&site.router("r1")).await?;
            assert!(answer.is_whole(), "{answer:?}");
        }
        Ok(())
    })
}
