//! Every reason for a refusal or a retry has its counter.

use std::{
    cell::Cell,
    collections::BTreeSet,
    fs,
    net::{SocketAddr, UdpSocket},
    path::Path,
    sync::Arc,
    thread,
    time::Duration,
};

use curranthook_standin::{
    engine::faults,
    fault::Count,
    platform::fault::{Fault, Faults, Mode},
    service,
};
use curranthook_tests::{
    Site,
    call::{Answer, Call, Chat},
    eventually, executor, run,
    site::offer,
};
use curranthook_types::{header, refusal::Reason, retry};
use parking_lot::Mutex;

const LIMIT: Duration = Duration::from_secs(30);

/// Takes in statsd datagrams and keeps the names in them.
#[derive(Debug, Clone)]
struct Receiver {
    addr: SocketAddr,
    names: Arc<Mutex<BTreeSet<String>>>,
}

impl Receiver {
    fn bind(addr: &str) -> anyhow::Result<Self> {
        let socket = UdpSocket::bind(addr)?;
        let receiver = Self { addr: socket.local_addr()?, names: Arc::default() };
        let names = Arc::clone(&receiver.names);
        thread::spawn(move || {
            let mut buffer = [0; 2_048];
            while let Ok(n) = socket.recv(&mut buffer) {
                let text = String::from_utf8_lossy(&buffer[..n]);
                let new = text.lines().filter_map(|it| it.split(':').next().map(str::to_owned));
                names.lock().extend(new);
            }
        });
        Ok(receiver)
    }

    fn has(&self, name: &str) -> bool {
        self.names.lock().contains(&format!("curranthook.router.{name}"))
    }
}

/// A site that sends its counters to a receiver.
struct Counted {
    site: Site,
    receiver: Receiver,
}

impl Counted {
    async fn start() -> anyhow::Result<Self> {
        let receiver = Receiver::bind("127.0.0.1:0")?;
        let addr = receiver.addr;
        let builder = Site::builder()
            .node(move |settings| settings.statsd = Some(addr))
            .engine("e1", &["m@1"])
            .engine("e2", &["m@1"])
            .engine("old", &["old@1"])
            .engine("cheap", &["c@1"])
            .engine("good", &["c@2"])
            .engine("p1", &["p@1"])
            .engine("p2", &["p@1"])
            .engine("p3", &["p@1"])
            .service("s1", "ledger")
            .service("s2", "archive")
            .profile("cheap", quality(0.0))
            .profile("good", quality(1.0))
            .account("main")
            .account("small")
            .rater(0.0)
            .config(edit);
        Ok(Self { site: builder.routers(1).start().await?, receiver })
    }

    async fn send(&self, chat: &Chat) -> anyhow::Result<Answer> {
        chat.send(&self.site.router("r1")).await
    }

    async fn call(&self, call: &Call) -> anyhow::Result<Answer> {
        call.send(&self.site.router("r1")).await
    }

    async fn wait(&self, name: &str) -> anyhow::Result<()> {
        let seen = eventually(LIMIT, async || Ok(self.receiver.has(name))).await;
        seen.map_err(|_| anyhow::anyhow!("{name} wasn't counted: {:?}", self.receiver.names.lock()))
    }

    /// Checks that `answer` is a refusal for `reason` and waits until it's counted.
    async fn refused(&self, reason: Reason, answer: &Answer) -> anyhow::Result<()> {
        let refusal = answer.refusal();
        anyhow::ensure!(refusal.is_some_and(|it| it.code == reason), "{reason:?}: {answer:?}");
        self.wait(&format!("refusal.{}", reason.name())).await
    }

    /// Puts a fault of `e1` in force and asks until the retry that follows is counted.
    async fn retried(&self, reason: retry::Reason, fault: faults::Faults) -> anyhow::Result<()> {
        let name = format!("retry.{}", reason.name());
        self.site.engine("e1").set(&fault).await?;
        let n = Cell::new(0);
        eventually(LIMIT, async || {
            n.set(n.get() + 1);
            let chat = chat("m@1", &format!("{name} {}", n.get())).streamed();
            self.send(&chat).await?;
            Ok(self.receiver.has(&name))
        })
        .await
        .map_err(|_| anyhow::anyhow!("{name} wasn't counted after {} requests", n.get()))?;
        self.site.engine("e1").set(&faults::Faults::default()).await
    }
}

fn edit(config: &mut curranthook_settings::Config) {
    for (id, price, quality) in [("c@1", 10, 0.6), ("c@2", 1_000, 0.99)] {
        offer(config, id, price, quality);
    }
    config.kinds.get_mut("summary").expect("it is there").quality = 0.7;
    config.policy.queue = 4;
    let main = config.accounts.get_mut("main").expect("it was added");
    main.limit.requests = 10_000.0;
    main.limit.burst = 10_000.0;
    let mut unserved = config.versions["m@1"].clone();
    unserved.quality.clear();
    config.versions.insert("gone@1".into(), unserved);
    let main = config.accounts.get_mut("main").expect("it was added");
    main.versions.insert("gone@1".into());
    let small = config.accounts.get_mut("small").expect("it was added");
    small.limit.requests = 0.01;
    small.limit.burst = 2.0;
    small.versions.remove("old@1");
}

fn quality(quality: f64) -> curranthook_standin::engine::profile::Profile {
    let mut profile = curranthook_standin::engine::profile::Profile::default();
    profile.default.quality = quality;
    profile
}

fn chat(model: &str, text: &str) -> Chat {
    Chat::new("main", model, text).with_max_tokens(6)
}

fn posting(key: &str, body: &str) -> Call {
    Call::post("main", "ledger", "crates").with_idempotency_key(key).with_body(body.to_owned())
}

#[test]
fn each_refusal_is_counted_at_a_statsd_receiver() -> anyhow::Result<()> {
    // Operators look at counters to see why callers are turned away. A reason that isn't
    // counted, or is counted under another name, would have them look in the wrong place.
    run(async {
        let mut counted = Counted::start().await?;
        refuse_bad_input(&counted).await?;
        refuse_by_rights(&counted).await?;
        refuse_claims(&counted).await?;
        refuse_for_want_of_endpoints(&mut counted).await?;
        // Last, since the site is no longer named afterwards.
        counted.site.publish(|document| document.sites.clear()).await?;
        eventually(LIMIT, async || {
            let answer = counted.send(&chat("m@1", "nowhere")).await?;
            Ok(answer.refusal().is_some_and(|it| it.code == Reason::NotReady))
        })
        .await?;
        counted.wait("refusal.not_ready").await?;
        let counted = |it: &&Reason| counted.receiver.has(&format!("refusal.{}", it.name()));
        let missing: Vec<_> = Reason::ALL.iter().filter(|it| !counted(it)).collect();
        assert!(missing.is_empty(), "{missing:?}");
        Ok(())
    })
}

async fn refuse_bad_input(counted: &Counted) -> anyhow::Result<()> {
    let answer = counted.send(&Chat::new("nobody", "m@1", "hello")).await?;
    counted.refused(Reason::Unauthenticated, &answer).await?;
    let path = "/v1/chat/completions";
    let post = |body: &'static str| Call::new("main", http::Method::POST, path).with_body(body);
    counted.refused(Reason::Malformed, &counted.call(&post("{")).await?).await?;
    let large = Call::new("main", http::Method::POST, path).with_body(vec![b' '; 2 << 20]);
    counted.refused(Reason::TooLarge, &counted.call(&large).await?).await?;
    let elsewhere = Call::new("main", http::Method::GET, "/elsewhere");
    counted.refused(Reason::NotFound, &counted.call(&elsewhere).await?).await?;
    counted.refused(Reason::UnknownModel, &counted.send(&chat("x", "hello")).await?).await?;
    let token = chat("m@1", "hello").with_header(header::SESSION_TOKEN, "forged");
    counted.refused(Reason::BadToken, &counted.send(&token).await?).await?;
    let late = chat("m@1", "hello").with_header(header::DEADLINE_MS, "0");
    counted.refused(Reason::Deadline, &counted.send(&late).await?).await
}

async fn refuse_by_rights(counted: &Counted) -> anyhow::Result<()> {
    let small = Chat::new("small", "old@1", "hello");
    counted.refused(Reason::NotAllowed, &counted.send(&small).await?).await?;
    let mut last = counted.send(&small).await?;
    while last.status != 429 {
        last = counted.send(&small).await?;
    }
    counted.refused(Reason::OverLimit, &last).await?;
    let pinned = chat("old@1", "hello").with_header(header::SESSION, "new");
    let first = counted.send(&pinned).await?;
    let token = first.header(header::SESSION_TOKEN).expect("a token").to_owned();
    let document = counted.site.withdraw("old@1").await?;
    counted.site.wait_epoch(&["r1"], document.epoch).await?;
    counted.refused(Reason::Withdrawn, &counted.send(&chat("old@1", "hi")).await?).await?;
    let next = chat("old", "hello").with_header(header::SESSION_TOKEN, &token);
    counted.refused(Reason::PinnedWithdrawn, &counted.send(&next).await?).await
}

async fn refuse_claims(counted: &Counted) -> anyhow::Result<()> {
    let no_key = Call::post("main", "ledger", "crates").with_body("1");
    counted.refused(Reason::KeyMissing, &counted.call(&no_key).await?).await?;
    assert_eq!(counted.call(&posting("used", "1")).await?.status, 200);
    counted.refused(Reason::KeyReused, &counted.call(&posting("used", "2")).await?).await?;
    let table = Fault { mode: Mode::Down, ..Fault::default() };
    counted.site.platform.set(&Faults { table, ..Faults::default() }).await?;
    let down = counted.call(&posting("down", "1")).await?;
    counted.site.platform.mend().await?;
    counted.refused(Reason::PlatformDown, &down).await?;
    let hang = service::Faults { hang_after_run: Count::Next(1), ..service::Faults::default() };
    counted.site.service("s1").set(&hang).await?;
    let hung = posting("hung", "1").with_header(header::DEADLINE_MS, "500");
    counted.refused(Reason::EndpointFailed, &counted.call(&hung).await?).await?;
    counted.refused(Reason::KeyClaimed, &counted.call(&posting("hung", "1")).await?).await
}

async fn refuse_for_want_of_endpoints(counted: &mut Counted) -> anyhow::Result<()> {
    counted.refused(Reason::NoEndpoint, &counted.send(&chat("gone@1", "hello")).await?).await?;
    overload(counted).await?;
    for engine in ["p1", "p2", "p3"] {
        let fault = faults::Faults { die_on: Some("poison".to_owned()), ..Default::default() };
        counted.site.engine(engine).set(&fault).await?;
    }
    let poison = chat("p@1", "poison");
    let mut last = counted.send(&poison).await?;
    for _ in 0..5 {
        if last.refusal().is_some_and(|it| it.code == Reason::Poison) {
            break;
        }
        last = counted.send(&poison).await?;
    }
    counted.refused(Reason::Poison, &last).await
}

/// Fills the only endpoint of a service, so that a call which can't wait long is refused.
async fn overload(counted: &Counted) -> anyhow::Result<()> {
    const MORE_THAN_SLOTS: usize = 40;
    let slow = service::Faults { answer_late_ms: 1_500, ..service::Faults::default() };
    counted.site.service("s2").set(&slow).await?;
    let router = counted.site.router("r1");
    let get = Call::new("main", http::Method::GET, "/services/archive/dossier");
    let get = get.with_header(header::DEADLINE_MS, "2000");
    let calls = (0..MORE_THAN_SLOTS).map(|_| {
        let get = get.clone();
        executor().spawn(async move { get.send(&router).await })
    });
    let mut refused = None;
    for call in calls.collect::<Vec<_>>() {
        let answer = call.await?;
        if answer.refusal().is_some_and(|it| it.code == Reason::Overloaded) {
            refused = Some(answer);
        }
    }
    counted.refused(Reason::Overloaded, &refused.expect("more calls than slots")).await
}

#[test]
fn each_retry_is_counted_at_a_statsd_receiver() -> anyhow::Result<()> {
    // Retries hide faults from callers, so their counters are the first sign of an endpoint that
    // goes bad. One that isn't counted hides the fault from operators too.
    run(async {
        let mut counted = Counted::start().await?;
        let n = Cell::new(0);
        eventually(LIMIT, async || {
            n.set(n.get() + 1);
            let log = chat("auto", &format!("crate log {}", n.get()));
            counted.send(&log.with_header(header::KIND, "summary")).await?;
            Ok(counted.receiver.has("retry.escalated"))
        })
        .await?;
        let none = faults::Faults::default;
        let cut = |n| faults::Faults { cut_after_tokens: Some(n), cut_next: Some(1), ..none() };
        for (reason, fault) in [
            (retry::Reason::EndpointFull, faults::Faults { refuse: Count::Next(1), ..none() }),
            (retry::Reason::ForeignAnswer, faults::Faults { foreign_id: Count::Next(1), ..none() }),
            (retry::Reason::ServerError, faults::Faults { error_rate: Some(1.0), ..none() }),
            (retry::Reason::ClosedEarly, cut(0)),
            (retry::Reason::Resumed, cut(3)),
            (
                retry::Reason::SlowFirstByte,
                faults::Faults { hang_before_head: Count::Next(1), ..none() },
            ),
            (retry::Reason::EndpointLeaving, faults::Faults { leaving: true, ..none() }),
        ] {
            counted.retried(reason, fault).await?;
        }
        // It is asked again only once it has said that it stays.
        let n_before = counted.site.engine("e1").runs().await?.len();
        eventually(LIMIT, async || {
            counted.send(&chat("m@1", "is it back")).await?;
            Ok(n_before < counted.site.engine("e1").runs().await?.len())
        })
        .await?;
        counted.site.engines.get_mut("e1").expect("it's there").process.kill()?;
        let n = Cell::new(0);
        eventually(LIMIT, async || {
            n.set(n.get() + 1);
            counted.send(&chat("m@1", &format!("gone {}", n.get()))).await?;
            Ok(counted.receiver.has("retry.connect"))
        })
        .await?;
        let counted = |it: &&retry::Reason| counted.receiver.has(&format!("retry.{}", it.name()));
        let missing: Vec<_> = retry::Reason::ALL.iter().filter(|it| !counted(it)).collect();
        assert!(missing.is_empty(), "{missing:?}");
        Ok(())
    })
}

#[test]
fn counters_reach_a_receiver_that_is_not_in_the_same_address_family() -> anyhow::Result<()> {
    // The receiver is hardly ever on the router's own VM. A socket that is tied to the IPv4
    // loopback reaches nothing else; operators would see no counter at all.
    run(async {
        let Ok(receiver) = Receiver::bind("[::1]:0") else {
            // This machine has no IPv6.
            return Ok(());
        };
        let addr = receiver.addr;
        let builder = Site::builder().engine("e1", &["m@1"]);
        let builder = builder.node(move |settings| settings.statsd = Some(addr));
        let site = builder.routers(1).start().await?;
        Chat::new("main", "m@1", "hello").send(&site.router("r1")).await?;
        let seen = eventually(LIMIT, async || Ok(receiver.has("answer.whole"))).await;
        assert!(seen.is_ok(), "{:?}", receiver.names.lock());
        let seen = eventually(LIMIT, async || Ok(receiver.has("peers.table_reads"))).await;
        assert!(seen.is_ok(), "{:?}", receiver.names.lock());
        Ok(())
    })
}

#[test]
fn the_page_lists_every_counter() -> anyhow::Result<()> {
    // Operators read the page to learn what a counter means. One that is missing there, or there
    // but nowhere else, leaves them guessing.
    run(async {
        let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/METRICS.md");
        let page = fs::read_to_string(page)?;
        let listed: BTreeSet<&str> = page
            .lines()
            .filter_map(|line| line.strip_prefix("| `")?.split('`').next())
            .filter(|name| name.contains(['.', '_']))
            .collect();
        let site = Site::builder().routers(1).stewards(1).start().await?;
        let peers = site.status("r1").await?.peers.counters;
        let refusals = Reason::ALL.iter().map(|it| format!("refusal.{}", it.name()));
        let retries = retry::Reason::ALL.iter().map(|it| format!("retry.{}", it.name()));
        let peers = peers.into_keys().map(|it| format!("peers.{it}"));
        let expected: BTreeSet<String> = refusals.chain(retries).chain(peers).collect();
        let missing: Vec<_> = expected.iter().filter(|it| !listed.contains(it.as_str())).collect();
        assert!(missing.is_empty(), "not on the page: {missing:?}");
        let is_group =
            |name: &str| ["refusal.", "retry.", "peers."].iter().any(|it| name.starts_with(it));
        let unknown: Vec<_> =
            listed.iter().filter(|it| is_group(it) && !expected.contains(**it)).collect();
        assert!(unknown.is_empty(), "no such counters: {unknown:?}");
        Ok(())
    })
}
