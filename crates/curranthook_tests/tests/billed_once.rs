//! Each whole answer is billed once.

use std::time::Duration;

use curranthook_standin::{
    engine::{faults, profile::Profile, record},
    platform::fault::{Fault, Faults, Mode},
};
use curranthook_tests::{
    Site,
    bills::{self, Bills},
    call::{Answer, Chat},
    eventually, run,
    site::offer,
};
use curranthook_types::header;

/// Longer than replicas wait for a silent owner, with room for a busy machine.
const LIMIT: Duration = Duration::from_secs(60);

/// A site of `n` routers in three failure domains with one engine.
async fn site(n: usize) -> anyhow::Result<Site> {
    let site = Site::builder().engine("e1", &["m@1"]).routers(n).start().await?;
    site.wait_met(n - 1).await?;
    Ok(site)
}

async fn store(site: &Site, mode: Mode) -> anyhow::Result<()> {
    let objects = Fault { mode, ..Fault::default() };
    site.platform.set(&Faults { objects, ..Faults::default() }).await
}

/// Has a whole answer given by the router of `vm`.
async fn ask(site: &Site, vm: &str, id: &str) -> anyhow::Result<Answer> {
    let chat = Chat::new("main", "m@1", &format!("weigh crate {id}")).with_max_tokens(4);
    let answer = chat.with_id(id).send(&site.router(vm)).await?;
    anyhow::ensure!(answer.is_whole(), "{answer:?}");
    Ok(answer)
}

async fn ask_all(site: &Site, vm: &str, ids: &[String]) -> anyhow::Result<()> {
    for id in ids {
        ask(site, vm, id).await?;
    }
    Ok(())
}

fn ids(prefix: &str, n: usize) -> Vec<String> {
    (0..n).map(|it| format!("{prefix}-{it}")).collect()
}

async fn wait_billed(site: &Site, ids: &[String]) -> anyhow::Result<()> {
    let all = eventually(LIMIT, async || Ok(Bills::read(site).await?.have_all(ids))).await;
    let bills = Bills::read(site).await?;
    assert!(all.is_ok(), "no line for {:?}", bills.missing(ids));
    Ok(())
}

/// The runs that an engine finished.
///
/// A second attempt beside a late first one is dropped when the first one answers, and may have
/// reached the engine. It's nobody's answer, so nobody pays for it; anything else that wasn't
/// finished is a fault.
async fn answers(site: &Site, engine: &str) -> anyhow::Result<Vec<record::Run>> {
    let runs = site.engine(engine).runs().await?;
    let (done, given_up): (Vec<_>, Vec<_>) =
        runs.into_iter().partition(|it| it.outcome == record::Outcome::Done);
    for run in given_up {
        assert_eq!(run.outcome, record::Outcome::Cancelled, "{run:?}");
        let n_done = done.iter().filter(|it| it.request_id == run.request_id).count();
        assert_eq!(n_done, 1, "{run:?}");
    }
    Ok(done)
}

/// Checks that the lines and the operators' sum agree with what the engine recorded.
async fn check(site: &Site, ids: &[String]) -> anyhow::Result<()> {
    wait_billed(site, ids).await?;
    let bills = Bills::read(site).await?;
    assert!(bills.contradictory().is_empty(), "{:?}", bills.contradictory());
    let mut tokens = 0;
    let runs = answers(site, "e1").await?;
    assert!(ids.iter().all(|id| runs.iter().any(|it| it.request_id == *id)), "{runs:?}");
    for run in runs {
        let [line, ..] = bills.of(&run.request_id) else { panic!("no line for {run:?}") };
        assert_eq!(line.completion_tokens, run.tokens, "{run:?}");
        tokens += run.tokens;
    }
    let sum = bills::sum(site).await?;
    assert_eq!(sum.rows.iter().map(|it| it.n_requests).sum::<u64>(), ids.len() as u64, "{sum:?}");
    assert_eq!(sum.rows.iter().map(|it| it.completion_tokens).sum::<u64>(), tokens, "{sum:?}");
    Ok(())
}

#[test]
fn a_router_killed_right_after_the_last_byte_has_billed() -> anyhow::Result<()> {
    // A VM is lost just after it gave an answer and before its next write to the store. The
    // caller has the whole answer; without replicas nobody would ever pay for it.
    run(async {
        let mut site = site(3).await?;
        store(&site, Mode::Down).await?;
        let ids = ids("killed", 5);
        ask_all(&site, "r1", &ids).await?;
        site.router_process("r1").kill()?;
        store(&site, Mode::Up).await?;
        check(&site, &ids).await
    })
}

#[test]
fn a_write_whose_answer_was_lost_is_not_stored_twice() -> anyhow::Result<()> {
    // The store takes a segment and its answer gets lost, so the router writes the lines again,
    // with newer ones behind them. A buyer would find the first ones on the bill twice.
    run(async {
        let site = site(3).await?;
        store(&site, Mode::Lost).await?;
        let ids = ids("lost", 30);
        let (first, rest) = ids.split_at(10);
        ask_all(&site, "r1", first).await?;
        // The router takes what it wrote for not stored; what it writes next begins with it again.
        let is_written = async || Ok(Bills::read(&site).await?.requests().next().is_some());
        eventually(LIMIT, is_written).await?;
        ask_all(&site, "r1", rest).await?;
        store(&site, Mode::Up).await?;
        check(&site, &ids).await?;
        let bills = Bills::read(&site).await?;
        assert!(ids.iter().all(|it| bills.of(it).len() == 1), "one writer, so no line twice");
        Ok(())
    })
}

#[test]
fn a_request_repeated_over_another_router_is_billed_once() -> anyhow::Result<()> {
    // A caller loses its connection and sends the same request to another router. Both
    // answer; the account would be charged for both.
    run(async {
        let site = site(3).await?;
        ask(&site, "r1", "twice").await?;
        ask(&site, "r2", "twice").await?;
        eventually(LIMIT, async || Ok(Bills::read(&site).await?.of("twice").len() == 2)).await?;
        let sum = bills::sum(&site).await?;
        assert_eq!((sum.rows[0].n_requests, sum.n_duplicates), (1, 1), "{sum:?}");
        assert_eq!(sum.rows[0].completion_tokens, 4);
        assert_eq!(bills::sum(&site).await?, sum, "the same line counts each time");
        Ok(())
    })
}

#[test]
fn two_accounts_that_use_the_same_request_id_both_pay() -> anyhow::Result<()> {
    // Callers choose their request ids, and two accounts may well both count from 1. Were lines
    // told apart by the id alone, one of them would get its answers for nothing.
    run(async {
        let builder = Site::builder().engine("e1", &["m@1"]).account("yard").account("coop");
        let site = builder.routers(1).start().await?;
        for account in ["yard", "coop"] {
            let chat = Chat::new(account, "m@1", "weigh crate 1").with_id("1");
            assert!(chat.send(&site.router("r1")).await?.is_whole());
        }
        eventually(LIMIT, async || Ok(Bills::read(&site).await?.of("1").len() == 2)).await?;
        let sum = bills::sum(&site).await?;
        let accounts: Vec<_> = sum.rows.iter().map(|it| it.account.as_str()).collect();
        assert_eq!(accounts, ["coop", "yard"], "{sum:?}");
        assert_eq!(sum.n_duplicates, 0);
        Ok(())
    })
}

#[test]
fn a_cascade_gives_one_line_with_the_cost_of_both_answers() -> anyhow::Result<()> {
    // A cheap answer is rated too low and a better version is asked. Two lines would bill the
    // request twice, a line for the last answer alone would give the first away.
    run(async {
        let site = Site::builder()
            .engine("cheap", &["m@1"])
            .engine("good", &["m@2"])
            .rater(0.0)
            .config(|config| {
                for (id, price, quality) in [("m@1", 10_000, 0.6), ("m@2", 1_000_000, 0.99)] {
                    offer(config, id, price, quality);
                }
                config.kinds.get_mut("summary").expect("it is there").quality = 0.7;
            })
            .profile("cheap", profile(0.0))
            .profile("good", profile(1.0))
            .routers(2)
            .start()
            .await?;
        let ids = ids("cascade", 20);
        for id in &ids {
            let chat = Chat::new("main", "auto", &format!("crate log {id}")).with_max_tokens(3);
            let chat = chat.with_header(header::KIND, "summary").with_id(id);
            assert!(chat.send(&site.router("r1")).await?.is_whole());
        }
        wait_billed(&site, &ids).await?;
        let (bills, cheap) = (Bills::read(&site).await?, answers(&site, "cheap").await?);
        let good = answers(&site, "good").await?;
        let (mut n_both, words) = (0, 3);
        for id in &ids {
            let cheap = cheap.iter().filter(|it| it.request_id == *id);
            let good = good.iter().filter(|it| it.request_id == *id);
            let cost = |runs: u64, price: u64, tokens: u64| (words * runs + tokens) * price / 1_000;
            let count = |runs: Vec<&record::Run>| {
                (runs.len() as u64, runs.iter().map(|it| it.tokens).sum::<u64>())
            };
            let ((n_cheap, cheap), (n_good, good)) =
                (count(cheap.collect()), count(good.collect()));
            n_both += u64::from(n_cheap == 1 && n_good == 1);
            let [line] = bills.of(id) else { panic!("{:?}", bills.of(id)) };
            let expected = cost(n_cheap, 10_000, cheap) + cost(n_good, 1_000_000, good);
            assert_eq!(line.cost.0, expected, "{line:?}");
            assert_eq!(line.completion_tokens, cheap + good, "{line:?}");
        }
        assert!(0 < n_both, "at least one request went through both versions");
        Ok(())
    })
}

fn profile(quality: f64) -> Profile {
    let mut profile = Profile::default();
    profile.default.quality = quality;
    profile
}

#[test]
fn an_answer_resumed_on_another_endpoint_is_billed_once_and_whole() -> anyhow::Result<()> {
    // An engine breaks off in the middle and another one goes on. A line for each part would
    // bill the request twice, a line for the last part alone would bill too little.
    run(async {
        let builder = Site::builder().engine("e1", &["m@1"]).engine("e2", &["m@1"]);
        let site = builder.routers(2).start().await?;
        let cut = faults::Faults {
            cut_after_tokens: Some(3),
            cut_next: Some(4),
            ..faults::Faults::default()
        };
        site.engine("e1").set(&cut).await?;
        let ids = ids("resumed", 24);
        for id in &ids {
            let chat = Chat::new("main", "m@1", &format!("log {id}")).with_max_tokens(8);
            let answer = chat.streamed().with_id(id).send(&site.router("r1")).await?;
            assert!(answer.is_whole(), "{answer:?}");
        }
        let runs = [site.engine("e1").runs().await?, site.engine("e2").runs().await?].concat();
        assert!(ids.len() < runs.len(), "some answers were cut");
        wait_billed(&site, &ids).await?;
        let bills = Bills::read(&site).await?;
        for id in &ids {
            let [line] = bills.of(id) else { panic!("{:?}", bills.of(id)) };
            assert_eq!(line.completion_tokens, 8, "{line:?}");
        }
        Ok(())
    })
}

#[test]
fn a_long_outage_of_the_store_under_load_loses_and_doubles_nothing() -> anyhow::Result<()> {
    // The store is out for a while, as it is at times. Lines pile up in memory; callers see
    // nothing of it, and afterwards each answer must stand on the bill once.
    const OUTAGE_ROUNDS: usize = 8;
    run(async {
        let site = site(3).await?;
        store(&site, Mode::Down).await?;
        let all = ids("outage", OUTAGE_ROUNDS * 3 * 10);
        for (n, part) in all.chunks(10).enumerate() {
            ask_all(&site, &format!("r{}", n % 3 + 1), part).await?;
            async_io::Timer::after(Duration::from_millis(150)).await;
        }
        assert_eq!(Bills::read(&site).await?.requests().count(), 0, "the store was out");
        store(&site, Mode::Up).await?;
        check(&site, &all).await
    })
}

#[test]
fn an_owner_and_its_replica_that_both_store_a_line_bill_it_once() -> anyhow::Result<()> {
    // A router is paused, its replicas take it for gone and store its lines. Then it wakes and
    // stores them too. The buyer must not find them twice.
    run(async {
        let mut site = site(3).await?;
        store(&site, Mode::Down).await?;
        let ids = ids("both", 5);
        ask_all(&site, "r1", &ids).await?;
        site.router_process("r1").freeze()?;
        store(&site, Mode::Up).await?;
        wait_billed(&site, &ids).await?;
        site.router_process("r1").thaw()?;
        let more = ask(&site, "r1", "both-after").await;
        assert!(more.is_ok(), "the router goes on: {more:?}");
        let ids = [ids, vec!["both-after".to_owned()]].concat();
        check(&site, &ids).await
    })
}

#[test]
fn routers_killed_one_after_the_other_lose_no_line() -> anyhow::Result<()> {
    // Two VMs are lost within a second while the store is out, the second one holding lines of
    // the first. What both have billed is then with the third alone.
    run(async {
        let mut site = site(3).await?;
        store(&site, Mode::Down).await?;
        let (first, second) = (ids("first", 3), ids("second", 3));
        ask_all(&site, "r1", &first).await?;
        site.router_process("r1").kill()?;
        ask_all(&site, "r2", &second).await?;
        site.router_process("r2").kill()?;
        store(&site, Mode::Up).await?;
        check(&site, &[first, second].concat()).await
    })
}

#[test]
fn the_store_and_a_failure_domain_gone_together_lose_no_line() -> anyhow::Result<()> {
    // A failure domain goes dark with all its VMs while the store is out. Its answers have been
    // read by then; their lines must be in the domains that are left.
    run(async {
        // r1 and r4 are in the same failure domain.
        let mut site = site(4).await?;
        store(&site, Mode::Down).await?;
        let (one, four) = (ids("one", 3), ids("four", 3));
        ask_all(&site, "r1", &one).await?;
        ask_all(&site, "r4", &four).await?;
        site.router_process("r1").kill()?;
        site.router_process("r4").kill()?;
        store(&site, Mode::Up).await?;
        check(&site, &[one, four].concat()).await
    })
}

#[test]
fn a_router_that_has_just_started_bills_as_safely_as_any() -> anyhow::Result<()> {
    // A VM is replaced, and the balancer sends requests as soon as the new one is ready. If it
    // is lost a moment later, the lines of its first answers must be with peers already.
    run(async {
        let mut site = site(3).await?;
        site.start_router("r1").await?;
        store(&site, Mode::Down).await?;
        let ids = ids("early", 5);
        ask_all(&site, "r1", &ids).await?;
        site.router_process("r1").kill()?;
        store(&site, Mode::Up).await?;
        check(&site, &ids).await
    })
}

#[test]
fn lines_whose_holders_are_lost_one_by_one_are_copied_anew() -> anyhow::Result<()> {
    // The store is out for long. Both VMs that hold a router's lines are lost meanwhile and
    // replaced by new ones, and then the router itself. The answers were given hours ago.
    run(async {
        let mut site = site(3).await?;
        store(&site, Mode::Down).await?;
        let ids = ids("anew", 5);
        ask_all(&site, "r1", &ids).await?;
        for vm in ["r2", "r3"] {
            site.router_process(vm).kill()?;
            site.start_router(vm).await?;
        }
        // What a replica says of itself only tells when to go on.
        let is_copied = async || {
            let status = site.status("r2").await?;
            Ok(status.peers.replica_lines == ids.len() as u64)
        };
        eventually(LIMIT, is_copied).await?;
        site.router_process("r1").kill()?;
        store(&site, Mode::Up).await?;
        check(&site, &ids).await
    })
}

#[test]
fn lines_of_a_lost_router_outlive_the_peers_that_hold_them() -> anyhow::Result<()> {
    // The store is out for long. A router is lost, then one after the other the VMs that hold
    // its lines, each replaced by a new one. The lines have to move on before the next loss.
    run(async {
        let mut site = site(4).await?;
        store(&site, Mode::Down).await?;
        let ids = ids("orphan", 5);
        ask_all(&site, "r1", &ids).await?;
        for vm in ["r1", "r2", "r3", "r4"] {
            // What replicas say of themselves only tells when to go on.
            let is_held_elsewhere = async || {
                let mut n_lines = 0;
                for other in ["r2", "r3", "r4"].into_iter().filter(|it| *it != vm) {
                    n_lines += site.status(other).await?.peers.replica_lines;
                }
                Ok(ids.len() as u64 <= n_lines)
            };
            let held = eventually(LIMIT, is_held_elsewhere).await;
            assert!(held.is_ok(), "only {vm} holds the lines");
            site.router_process(vm).kill()?;
            site.start_router(vm).await?;
        }
        store(&site, Mode::Up).await?;
        check(&site, &ids).await
    })
}

#[test]
fn all_routers_replaced_while_the_store_is_out_lose_no_line() -> anyhow::Result<()> {
    // The store is out for long, and meanwhile all VMs are replaced one by one, as on any day.
    // The lines have to travel on with every replacement; the last of the first holders would
    // take them along otherwise.
    run(async {
        let mut site = site(3).await?;
        store(&site, Mode::Down).await?;
        let ids = ids("moved", 5);
        ask_all(&site, "r1", &ids).await?;
        for vm in ["r1", "r2", "r3"] {
            site.router_process(vm).terminate()?;
            assert!(site.router_process(vm).ended(LIMIT).await?.success());
            site.start_router(vm).await?;
        }
        store(&site, Mode::Up).await?;
        check(&site, &ids).await
    })
}
