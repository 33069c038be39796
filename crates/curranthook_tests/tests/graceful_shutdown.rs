//! A graceful shutdown cuts no request.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use async_io::Timer;
use curranthook_http::Exchange;
use curranthook_standin::{
    engine::profile::Profile,
    platform::fault::{Fault, Faults, Mode},
    service,
};
use curranthook_tests::{
    Site,
    bills::Bills,
    call::{Answer, Call, Chat},
    eventually, executor, pool, run,
};
use curranthook_types::header;
use parking_lot::{Mutex, RwLock};

const LIMIT: Duration = Duration::from_secs(60);
/// How often the balancer looks whether a router is ready.
const CHECK: Duration = Duration::from_millis(200);
/// How many streams are open when a router is asked to end.
const N_STREAMS: usize = 20;
/// How many tokens each has; at the engine's pace they take about two seconds.
const N_TOKENS: u64 = 80;

/// Engines that take their time.
fn slow() -> Profile {
    let mut profile = Profile { slots: 64, ..Profile::default() };
    profile.default.token_ms = 25.0;
    profile.default.tokens = 4 * N_TOKENS;
    profile
}

async fn site(n_routers: usize) -> anyhow::Result<Site> {
    let builder = Site::builder().engine("e1", &["m@1"]).profile("e1", slow());
    let builder = builder.engine("e2", &["m@1"]).profile("e2", slow());
    let builder = builder.service("s1", "ledger").config(|config| {
        let main = config.accounts.get_mut("main").expect("it's there unless named otherwise");
        main.limit.requests = 10_000.0;
        main.limit.burst = 10_000.0;
    });
    let site = builder.routers(n_routers).start().await?;
    site.wait_met(n_routers - 1).await?;
    Ok(site)
}

fn chat(id: &str) -> Chat {
    Chat::new("main", "m@1", &format!("summary {id}")).with_max_tokens(N_TOKENS).with_id(id)
}

/// Opens streams at a router and returns once each has begun.
async fn open(router: SocketAddr, prefix: &str) -> anyhow::Result<Streams> {
    let (mut ids, mut answers) = (Vec::new(), Vec::new());
    for n in 0..N_STREAMS {
        let id = format!("{prefix}-{n}");
        let mut stream = chat(&id).streamed().open(&router).await?;
        stream.read_events(1).await?;
        answers.push(executor().spawn(stream.finish()));
        ids.push(id);
    }
    Ok(Streams { ids, answers })
}

/// Streams that are being read to their end.
struct Streams {
    ids: Vec<String>,
    answers: Vec<async_executor::Task<anyhow::Result<Answer>>>,
}

impl Streams {
    async fn check_whole(self) -> anyhow::Result<Vec<String>> {
        for answer in self.answers {
            let answer = answer.await?;
            assert!(answer.is_whole(), "{answer:?}");
            let n_tokens = answer.pieces().iter().filter(|it| !it.choices.is_empty()).count();
            assert_eq!(n_tokens as u64, N_TOKENS);
        }
        Ok(self.ids)
    }
}

async fn wait_billed(site: &Site, ids: &[String]) -> anyhow::Result<()> {
    let all = eventually(LIMIT, async || Ok(Bills::read(site).await?.have_all(ids))).await;
    let bills = Bills::read(site).await?;
    assert!(all.is_ok(), "no line for {:?}", bills.missing(ids));
    assert!(bills.contradictory().is_empty(), "{:?}", bills.contradictory());
    Ok(())
}

async fn ready(router: SocketAddr) -> Option<u16> {
    let res = Exchange::get(router, "/readyz").with_timeout(CHECK).run(pool()).await;
    res.ok().map(|it| it.status().as_u16())
}

/// Ends a router and checks that it says it ended well.
async fn end(site: &mut Site, vm: &str) -> anyhow::Result<()> {
    let status = site.router_process(vm).ended(LIMIT).await?;
    assert!(status.success(), "{vm}: {status}");
    Ok(())
}

#[test]
fn long_streams_end_whole_and_late_requests_are_served() -> anyhow::Result<()> {
    // A VM is replaced under load. Its streams are minutes from their end, and the balancer goes
    // on sending to it until its next check. Nobody must see a stream break off or a refusal.
    run(async {
        let mut site = site(2).await?;
        let router = site.router("r1");
        let streams = open(router, "long").await?;
        site.router_process("r1").terminate()?;
        eventually(LIMIT, async || Ok(ready(router).await == Some(503))).await?;
        // The balancer hasn't noticed yet.
        let late = open(router, "late").await?;
        let ids = [streams.check_whole().await?, late.check_whole().await?].concat();
        end(&mut site, "r1").await?;
        wait_billed(&site, &ids).await
    })
}

#[test]
fn readiness_ends_before_the_port_closes() -> anyhow::Result<()> {
    // The balancer learns from /readyz that a router is about to go. Were the port closed first,
    // everything it sends until its next check would be refused.
    run(async {
        let mut site = site(1).await?;
        let router = site.router("r1");
        site.router_process("r1").terminate()?;
        let start = Instant::now();
        let mut answers = Vec::new();
        while site.router_process("r1").is_running() && start.elapsed() < LIMIT {
            answers.push(ready(router).await);
            Timer::after(Duration::from_millis(10)).await;
        }
        let n_not_ready = answers.iter().filter(|it| **it == Some(503)).count();
        assert!(10 < n_not_ready, "{answers:?}");
        let first_closed = answers.iter().position(Option::is_none).unwrap_or(answers.len());
        assert!(!answers[first_closed..].contains(&Some(200)), "{answers:?}");
        assert!(!answers.iter().skip(5).any(|it| *it == Some(200)), "at once: {answers:?}");
        end(&mut site, "r1").await
    })
}

#[test]
fn two_routers_that_end_together_cut_nothing() -> anyhow::Result<()> {
    // Two of three VMs are replaced at the same moment and hand their lines to each other and to
    // the third. Each line must still reach the store.
    run(async {
        let mut site = site(3).await?;
        let one = open(site.router("r1"), "one").await?;
        let two = open(site.router("r2"), "two").await?;
        for vm in ["r1", "r2"] {
            site.router_process(vm).terminate()?;
        }
        let ids = [one.check_whole().await?, two.check_whole().await?].concat();
        for vm in ["r1", "r2"] {
            end(&mut site, vm).await?;
        }
        wait_billed(&site, &ids).await
    })
}

#[test]
fn a_peer_that_is_gone_during_the_hand_over_loses_no_line() -> anyhow::Result<()> {
    // The store is out, so a router that ends hands its lines to peers, and one of these is
    // frozen at that moment. The lines must be with another one.
    run(async {
        let mut site = site(3).await?;
        let streams = open(site.router("r1"), "hand-over").await?;
        let objects = Fault { mode: Mode::Down, ..Fault::default() };
        site.platform.set(&Faults { objects, ..Faults::default() }).await?;
        site.router_process("r1").terminate()?;
        site.router_process("r2").freeze()?;
        let ids = streams.check_whole().await?;
        end(&mut site, "r1").await?;
        site.router_process("r2").kill()?;
        site.platform.mend().await?;
        wait_billed(&site, &ids).await
    })
}

#[test]
fn the_platform_down_ends_in_bounded_time_and_loses_nothing() -> anyhow::Result<()> {
    // The whole platform is out while a VM is replaced. The process must end all the same, since
    // the VM is taken away anyway, and its lines must be with its peers.
    const BOUND: Duration = Duration::from_secs(45);
    run(async {
        let mut site = site(3).await?;
        let streams = open(site.router("r1"), "down").await?;
        let down = Fault { mode: Mode::Down, ..Fault::default() };
        let faults = Faults { table: down.clone(), objects: down.clone(), vms: down };
        site.platform.set(&faults).await?;
        site.router_process("r1").terminate()?;
        let ids = streams.check_whole().await?;
        assert!(site.router_process("r1").ended(BOUND).await?.success());
        site.platform.mend().await?;
        wait_billed(&site, &ids).await
    })
}

#[test]
fn a_posting_under_way_is_finished_and_its_outcome_stored() -> anyhow::Result<()> {
    // A crate posting is with the ledger when its router is asked to end. Cut off, the caller
    // couldn't tell whether the farmer was paid; without the stored outcome neither could a
    // repeat over another router.
    run(async {
        let mut site = site(2).await?;
        let late = service::Faults { answer_late_ms: 3_000, ..service::Faults::default() };
        site.service("s1").set(&late).await?;
        let call = Call::post("main", "ledger", "crates").with_body("crate 7");
        let call = call.with_idempotency_key("crate-7");
        let (router, other) = (site.router("r1"), site.router("r2"));
        let posting = executor().spawn({
            let call = call.clone();
            async move { call.send(&router).await }
        });
        let has_begun = async || Ok(!site.service("s1").calls().await?.is_empty());
        eventually(LIMIT, has_begun).await?;
        // Slow enough that a router which didn't wait for the write would be gone before it.
        let table = Fault { mode: Mode::Slow, delay_ms: 700, ..Fault::default() };
        site.platform.set(&Faults { table, ..Faults::default() }).await?;
        site.router_process("r1").terminate()?;
        let first = posting.await?;
        assert_eq!(first.status, 200, "{first:?}");
        end(&mut site, "r1").await?;
        site.platform.mend().await?;
        let again = call.send(&other).await?;
        assert_eq!(again.header(header::REPLAYED), Some("true"), "{again:?}");
        assert_eq!(again.json()?, first.json()?);
        assert_eq!(site.service("s1").calls().await?.len(), 1);
        Ok(())
    })
}

#[test]
fn a_posting_whose_outcome_cannot_be_stored_does_not_hold_the_router_for_good() -> anyhow::Result<()>
{
    // The table goes out while a posting is with the ledger. Its outcome can't be stored, and a
    // router that waited for that through the whole outage would be killed in the end, with its
    // bill lines still on it.
    const BOUND: Duration = Duration::from_secs(50);
    run(async {
        let mut site = site(2).await?;
        let late = service::Faults { answer_late_ms: 1_000, ..service::Faults::default() };
        site.service("s1").set(&late).await?;
        let call = Call::post("main", "ledger", "crates").with_body("crate 8").with_id("crate-8");
        let call = call.with_idempotency_key("crate-8");
        let router = site.router("r1");
        let posting = executor().spawn({
            let call = call.clone();
            async move { call.send(&router).await }
        });
        let has_begun = async || Ok(!site.service("s1").calls().await?.is_empty());
        eventually(LIMIT, has_begun).await?;
        let table = Fault { mode: Mode::Down, ..Fault::default() };
        site.platform.set(&Faults { table, ..Faults::default() }).await?;
        site.router_process("r1").terminate()?;
        assert_eq!(posting.await?.status, 200);
        assert!(site.router_process("r1").ended(BOUND).await?.success());
        site.platform.mend().await?;
        wait_billed(&site, &["crate-8".to_owned()]).await?;
        let again = call.send(&site.router("r2")).await?;
        assert!(again.refusal().is_some() || again.header(header::REPLAYED) == Some("true"));
        assert_eq!(site.service("s1").calls().await?.len(), 1, "it never runs twice");
        Ok(())
    })
}

#[test]
fn a_second_sigterm_changes_nothing() -> anyhow::Result<()> {
    // Whoever replaces VMs may ask twice. A process that took the second time for an order to
    // end at once would cut its streams.
    run(async {
        let mut site = site(2).await?;
        let streams = open(site.router("r1"), "twice").await?;
        for _ in 0..3 {
            site.router_process("r1").terminate()?;
            Timer::after(Duration::from_millis(300)).await;
        }
        let ids = streams.check_whole().await?;
        end(&mut site, "r1").await?;
        wait_billed(&site, &ids).await
    })
}

/// A balancer: it knows which routers said that they are ready when it last looked.
#[derive(Debug, Default)]
struct Balancer {
    /// The routers by VM, and whether they are ready.
    routers: RwLock<Vec<(SocketAddr, bool)>>,
    is_over: AtomicBool,
}

impl Balancer {
    async fn check(self: Arc<Self>) {
        while !self.is_over.load(Ordering::SeqCst) {
            let all: Vec<_> = self.routers.read().iter().map(|it| it.0).collect();
            for addr in all {
                let is_ready = ready(addr).await == Some(200);
                let mut routers = self.routers.write();
                routers.iter_mut().filter(|it| it.0 == addr).for_each(|it| it.1 = is_ready);
            }
            Timer::after(CHECK).await;
        }
    }

    fn pick(&self, n: usize) -> Option<SocketAddr> {
        let routers = self.routers.read();
        let ready: Vec<_> = routers.iter().filter(|it| it.1).map(|it| it.0).collect();
        ready.get(n % ready.len().max(1)).copied()
    }

    fn set(&self, addrs: impl Iterator<Item = SocketAddr>) {
        let mut routers = self.routers.write();
        let before = std::mem::take(&mut *routers);
        let is_ready = |addr| before.contains(&(addr, true));
        *routers = addrs.map(|it| (it, is_ready(it))).collect();
    }
}

#[test]
fn all_routers_replaced_one_by_one_under_load_fail_no_request() -> anyhow::Result<()> {
    // A new release is rolled out: each VM is replaced while callers go on. Through a balancer
    // that looks at /readyz now and then, not one of them may notice.
    const N_CALLERS: usize = 8;
    const VMS: [&str; 4] = ["r1", "r2", "r3", "r4"];
    run(async {
        let mut site = site(VMS.len()).await?;
        let balancer = Arc::new(Balancer::default());
        balancer.set(VMS.iter().map(|vm| site.router(vm)));
        let check = executor().spawn(Arc::clone(&balancer).check());
        eventually(LIMIT, async || Ok(balancer.pick(0).is_some())).await?;
        let answered = Arc::new(Mutex::new(Vec::new()));
        let callers: Vec<_> = (0..N_CALLERS)
            .map(|n| executor().spawn(call_on(Arc::clone(&balancer), n, Arc::clone(&answered))))
            .collect();
        for vm in VMS {
            let old = site.router(vm);
            site.router_process(vm).terminate()?;
            end(&mut site, vm).await?;
            site.start_router(vm).await?;
            assert_ne!(site.router(vm), old, "a new process has a new port");
            balancer.set(VMS.iter().map(|vm| site.router(vm)));
        }
        balancer.is_over.store(true, Ordering::SeqCst);
        check.await;
        for caller in callers {
            caller.await?;
        }
        let ids = answered.lock().clone();
        assert!(100 < ids.len(), "{} requests were made", ids.len());
        wait_billed(&site, &ids).await
    })
}

/// Calls until the balancer is over; an error at the first answer that isn't whole.
async fn call_on(
    balancer: Arc<Balancer>,
    caller: usize,
    answered: Arc<Mutex<Vec<String>>>,
) -> anyhow::Result<()> {
    for n in 0.. {
        if balancer.is_over.load(Ordering::SeqCst) {
            break;
        }
        let Some(router) = balancer.pick(caller + n) else {
            anyhow::bail!("no router is ready");
        };
        let id = format!("rolled-{caller}-{n}");
        let chat = chat(&id).with_max_tokens(8);
        let chat = if n % 2 == 0 { chat.streamed() } else { chat };
        let answer = chat.send(&router).await?;
        anyhow::ensure!(answer.is_whole(), "{id}: {answer:?}");
        answered.lock().push(id);
    }
    Ok(())
}
