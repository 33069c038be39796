//! An endpoint that is leaving gets no new work after a few seconds.

use std::time::Duration;

use async_io::Timer;
use curranthook_standin::{
    engine::faults,
    platform::fault::{Fault, Faults, Mode},
    proxy::link,
    service,
};
use curranthook_tests::{
    Site,
    call::{Answer, Call, Chat},
    eventually, executor, program, run,
};
use curranthook_types::header;

const LIMIT: Duration = Duration::from_secs(30);
/// How far the platform's list is behind.
const LAG: Duration = Duration::from_secs(2);
/// An endpoint must get no new work this long after a router can know that it leaves.
const FEW_SECONDS: Duration = Duration::from_secs(5);
/// Longer than two reads of the list.
const TWO_LOOKS: Duration = Duration::from_millis(4_500);
/// Enough requests for each of two or three endpoints to get some.
const MANY: usize = 30;

/// Two routers and engines that serve the same version.
async fn site(engines: &[&str]) -> anyhow::Result<Site> {
    let lag = LAG.as_millis().to_string();
    let builder = Site::builder().platform_args(&["--vm-list-lag-ms", &lag]).behind_proxy();
    let builder = engines.iter().fold(builder, |it, id| it.engine(id, &["m@1"]));
    let builder = builder.config(|config| {
        let main = config.accounts.get_mut("main").expect("it's there unless named otherwise");
        main.limit.requests = 10_000.0;
        main.limit.burst = 10_000.0;
    });
    builder.routers(2).start().await
}

fn leaving() -> faults::Faults {
    faults::Faults { leaving: true, ..faults::Faults::default() }
}

async fn ask(site: &Site, vm: &str, text: &str) -> anyhow::Result<Answer> {
    let chat = Chat::new("main", "m@1", text).with_max_tokens(2);
    let answer = chat.send(&site.router(vm)).await?;
    anyhow::ensure!(answer.is_whole(), "{answer:?}");
    Ok(answer)
}

/// Has many requests answered by both routers, each with a prompt of its own.
async fn ask_many(site: &Site, text: &str) -> anyhow::Result<()> {
    for n in 0..MANY {
        ask(site, ["r1", "r2"][n % 2], &format!("{text} {n}")).await?;
    }
    Ok(())
}

async fn n_runs(site: &Site, engine: &str) -> anyhow::Result<usize> {
    Ok(site.engine(engine).runs().await?.len())
}

/// Checks that `engine` runs none of many requests.
async fn check_idle(site: &Site, engine: &str, text: &str) -> anyhow::Result<()> {
    let before = n_runs(site, engine).await?;
    ask_many(site, text).await?;
    assert_eq!(n_runs(site, engine).await?, before, "{engine} got new work");
    Ok(())
}

/// Checks that `engine` isn't even sent any of many long requests, which it would refuse.
async fn check_not_asked(site: &Site, engine: &str) -> anyhow::Result<()> {
    let bytes_up = async || {
        let links = site.proxy().links().await?;
        anyhow::Ok(links[&format!("endpoint/{engine}")].bytes_up)
    };
    let before = bytes_up().await?;
    let long = "crate ".repeat(2_000);
    ask_many(site, &long).await?;
    let sent = bytes_up().await? - before;
    assert!(sent < long.len() as u64, "{sent} bytes went to {engine}, which leaves");
    Ok(())
}

async fn wait_busy(site: &Site, engine: &str) -> anyhow::Result<()> {
    let before = n_runs(site, engine).await?;
    eventually(LIMIT, async || {
        ask_many(site, "is it back").await?;
        Ok(before < n_runs(site, engine).await?)
    })
    .await
}

#[test]
fn an_endpoint_that_the_list_names_as_leaving_gets_nothing_new() -> anyhow::Result<()> {
    // A VM is about to be taken away and the platform's list says so, if late. Work that is
    // still sent there is cut off with the VM, and a summary comes late.
    run(async {
        let site = site(&["e1", "e2"]).await?;
        ask_many(&site, "before").await?;
        assert!(0 < n_runs(&site, "e1").await?, "both get work at first");
        site.publish_vms(&["e1"]).await?;
        Timer::after(LAG + FEW_SECONDS).await;
        check_idle(&site, "e1", "after").await
    })
}

#[test]
fn an_endpoint_that_says_itself_that_it_leaves_gets_nothing_new() -> anyhow::Result<()> {
    // The list still calls the VM live, yet its engine says that it leaves. What it has begun it
    // finishes; what is new must go elsewhere, and no caller may notice anything.
    run(async {
        let site = site(&["e1", "e2"]).await?;
        let slow = faults::Faults { token_ms: Some(50.0), ..faults::Faults::default() };
        site.engine("e1").set(&slow).await?;
        let mut begun = Vec::new();
        while n_runs(&site, "e1").await? == 0 {
            let chat = Chat::new("main", "m@1", &format!("long {}", begun.len())).streamed();
            let mut stream = chat.with_max_tokens(30).open(&site.router("r1")).await?;
            stream.read_events(1).await?;
            begun.push(stream);
        }
        site.engine("e1").set(&faults::Faults { leaving: true, ..slow }).await?;
        // The first request of each router may find out; it is refused there and goes on.
        ask_many(&site, "finding out").await?;
        check_idle(&site, "e1", "after").await?;
        for stream in begun {
            assert!(stream.finish().await?.is_whole(), "what was begun is finished");
        }
        Ok(())
    })
}

#[test]
fn once_known_a_leaving_endpoint_is_not_even_asked() -> anyhow::Result<()> {
    // An engine that leaves refuses work before it begins. A router that went on asking it
    // would cost each caller a round trip, and would send work to an engine that only says that
    // it leaves and refuses nothing.
    run(async {
        let site = site(&["e1", "e2"]).await?;
        site.engine("e1").set(&leaving()).await?;
        ask_many(&site, "finding out").await?;
        check_not_asked(&site, "e1").await
    })
}

#[test]
fn a_session_goes_on_at_another_endpoint_of_its_version() -> anyhow::Result<()> {
    // A session works best on one version, and its endpoint leaves. The session has to go on
    // with the same version elsewhere; bound to the endpoint, it would end.
    run(async {
        let builder = Site::builder().engine("e1", &["m@1"]).engine("e2", &["m@1"]);
        let builder = builder.engine("e3", &["m@2"]).config(|config| {
            // Without a session the cheaper version would answer.
            let dear = config.versions.get_mut("m@1").expect("the engines serve it");
            dear.price.completion.0 *= 10;
        });
        let site = builder.routers(2).start().await?;
        let chat = |model: &str, text: &str| {
            Chat::new("main", model, text).with_max_tokens(2).with_header(header::SESSION, "yard-7")
        };
        let first = chat("m@1", "first").send(&site.router("r1")).await?;
        let token = first.header(header::SESSION_TOKEN).expect("a token").to_owned();
        site.engine("e1").set(&leaving()).await?;
        for n in 0..MANY {
            let vm = ["r1", "r2"][n % 2];
            let next = chat("m", &format!("next {n}")).with_header(header::SESSION_TOKEN, &token);
            let next = next.send(&site.router(vm)).await?;
            assert!(next.is_whole(), "{next:?}");
            assert_eq!(next.header(header::VERSION), Some("m@1"));
        }
        assert!(site.engine("e3").runs().await?.is_empty());
        Ok(())
    })
}

#[test]
fn retries_do_not_go_to_a_leaving_endpoint() -> anyhow::Result<()> {
    // One engine leaves, another one breaks answers off, a third is well. A retry that took the
    // leaving one would be new work there.
    run(async {
        let site = site(&["e1", "e2", "e3"]).await?;
        site.engine("e1").set(&leaving()).await?;
        ask_many(&site, "finding out").await?;
        let before = n_runs(&site, "e1").await?;
        let cut = faults::Faults {
            cut_after_tokens: Some(1),
            cut_next: Some(3),
            ..faults::Faults::default()
        };
        site.engine("e2").set(&cut).await?;
        ask_many(&site, "broken off").await?;
        let runs = n_runs(&site, "e2").await? + n_runs(&site, "e3").await?;
        assert!(2 * MANY < runs, "some answers were resumed: {runs}");
        assert_eq!(n_runs(&site, "e1").await?, before, "a retry went to the leaving endpoint");
        Ok(())
    })
}

#[test]
fn only_direct_contact_brings_an_endpoint_back() -> anyhow::Result<()> {
    // An engine said that it leaves, and the list, which lags, calls it live. Nobody's word but
    // the engine's own counts, and that only when it is reached.
    run(async {
        let site = site(&["e1", "e2"]).await?;
        site.engine("e1").set(&leaving()).await?;
        ask_many(&site, "finding out").await?;
        Timer::after(TWO_LOOKS).await;
        check_not_asked(&site, "e1").await?;
        site.proxy().set_mode("endpoint/e1", link::Mode::Cut).await?;
        site.engine("e1").set(&faults::Faults::default()).await?;
        Timer::after(TWO_LOOKS).await;
        check_idle(&site, "e1", "it stays but isn't reached").await?;
        site.proxy().set_mode("endpoint/e1", link::Mode::Pass).await?;
        wait_busy(&site, "e1").await
    })
}

#[test]
fn an_endpoint_comes_back_while_the_list_is_out() -> anyhow::Result<()> {
    // Engines restart one by one while the platform is out. Each says that it leaves and is back
    // a moment later; were the list needed to take them back, none would be left in the end.
    run(async {
        let site = site(&["e1", "e2"]).await?;
        let vms = Fault { mode: Mode::Down, ..Fault::default() };
        site.platform.set(&Faults { vms, ..Faults::default() }).await?;
        for engine in ["e1", "e2"] {
            site.engine(engine).set(&leaving()).await?;
            ask_many(&site, "finding out").await?;
            site.engine(engine).set(&faults::Faults::default()).await?;
            wait_busy(&site, engine).await?;
        }
        Ok(())
    })
}

/// Guards against refusals while each endpoint is marked as leaving and one of them is back.
#[test]
fn an_endpoint_that_is_back_is_used_at_once_if_no_other_is_left() -> anyhow::Result<()> {
    run(async {
        let site = site(&["e1", "e2"]).await?;
        for (leaves, stays) in [("e1", "e2"), ("e2", "e1"), ("e1", "e2")] {
            site.engine(stays).set(&faults::Faults::default()).await?;
            site.engine(leaves).set(&leaving()).await?;
            ask_many(&site, "finding out").await?;
        }
        Ok(())
    })
}

#[test]
fn an_endpoint_that_refuses_connections_costs_no_request() -> anyhow::Result<()> {
    // A VM is gone before the list says so. Its port refuses connections; requests go elsewhere.
    run(async {
        let mut site = site(&["e1", "e2"]).await?;
        ask_many(&site, "before").await?;
        site.engines.get_mut("e1").expect("it was started").process.kill()?;
        site.proxy().set_mode("endpoint/e1", link::Mode::Cut).await?;
        ask_many(&site, "after").await
    })
}

#[test]
fn many_endpoints_that_leave_at_once_cost_no_request() -> anyhow::Result<()> {
    // A failure domain is emptied: five of six engines say within a moment that they leave. Forty
    // requests meet one refusal after the other before they find the engine that stays, and the
    // refusals aren't the requests' fault.
    run(async {
        let engines = ["e1", "e2", "e3", "e4", "e5", "e6"];
        let site = site(&engines).await?;
        for engine in &engines[..5] {
            site.engine(engine).set(&leaving()).await?;
        }
        let addr = site.router("r1");
        let asked: Vec<_> = (0..40)
            .map(|n| {
                let chat = Chat::new("main", "m", &format!("pen {n}")).with_max_tokens(2);
                executor().spawn(async move { chat.send(&addr).await })
            })
            .collect();
        for answer in asked {
            let answer = answer.await?;
            assert!(answer.is_whole(), "{answer:?}");
        }
        Ok(())
    })
}

#[test]
fn a_drained_endpoint_gets_nothing_new_even_from_a_router_without_platform() -> anyhow::Result<()> {
    // An operator drains an endpoint before work on its VM. One router has lost the platform and
    // hears of it from its peers only.
    run(async {
        let site = site(&["e1", "e2"]).await?;
        site.wait_met(1).await?;
        site.proxy().set_mode("platform/r2", link::Mode::Cut).await?;
        let platform = site.platform.addr().to_string();
        program::run("curranthook", &["--platform", &platform, "drain", "e1"]).await?;
        Timer::after(FEW_SECONDS).await;
        check_idle(&site, "e1", "drained").await?;
        program::run("curranthook", &["--platform", &platform, "undrain", "e1"]).await?;
        wait_busy(&site, "e1").await
    })
}

#[test]
fn a_posting_runs_once_at_the_instance_that_stays() -> anyhow::Result<()> {
    // One of two instances of the ledger leaves. A posting that it refuses goes to the other,
    // and the farmer is paid once.
    run(async {
        let builder = Site::builder().service("s1", "ledger").service("s2", "ledger");
        let site = builder.routers(2).start().await?;
        let faults = service::Faults { leaving: true, ..service::Faults::default() };
        site.service("s1").set(&faults).await?;
        for n in 0..MANY {
            let call = Call::post("main", "ledger", "crates").with_body(format!("{n}"));
            let call = call.with_idempotency_key(&format!("crate-{n}"));
            let answer = call.send(&site.router(["r1", "r2"][n % 2])).await?;
            assert_eq!(answer.status, 200, "{answer:?}");
        }
        assert!(site.service("s1").calls().await?.is_empty());
        assert_eq!(site.service("s2").calls().await?.len(), MANY);
        Ok(())
    })
}

#[test]
fn silent_endpoints_do_not_hide_that_another_one_leaves() -> anyhow::Result<()> {
    // Some engines leave and their connections go silent, so they never say how they are. A
    // router that waits for them would learn of the next leaving VM far too late.
    run(async {
        const SILENT: [&str; 5] = ["e1", "e2", "e3", "e4", "e5"];
        let site = site(&[&SILENT[..], &["e6", "e7"]].concat()).await?;
        for engine in SILENT {
            site.engine(engine).set(&leaving()).await?;
            ask_many(&site, "finding out").await?;
        }
        for engine in SILENT {
            let link = format!("endpoint/{engine}");
            site.proxy().set_mode(&link, link::Mode::SilenceAll).await?;
        }
        Timer::after(TWO_LOOKS).await;
        site.publish_vms(&["e6"]).await?;
        Timer::after(LAG + FEW_SECONDS).await;
        check_idle(&site, "e6", "after").await
    })
}

#[test]
fn a_list_that_flips_to_live_again_does_not_bring_back_a_leaving_endpoint() -> anyhow::Result<()> {
    // The list lags and may show an old state again. An endpoint that was named as leaving and
    // says so itself stays away whatever the list shows next.
    run(async {
        let site = site(&["e1", "e2"]).await?;
        site.publish_vms(&["e1"]).await?;
        Timer::after(LAG + FEW_SECONDS).await;
        site.engine("e1").set(&leaving()).await?;
        site.publish_vms(&[]).await?;
        Timer::after(LAG + TWO_LOOKS).await;
        check_not_asked(&site, "e1").await?;
        site.engine("e1").set(&faults::Faults::default()).await?;
        wait_busy(&site, "e1").await
    })
}
