//! Publications and edits against a platform that loses answers, and other operators.

mod fake;

use std::{path::Path, sync::Arc, time::Duration};

use async_io::block_on;
use curranthook_cli::{
    Context, Error, Platform,
    args::{Bills, Files, Publish},
    command::{bills, diff, publish, withdraw},
    exit::Code,
    store::Retry,
};
use curranthook_platform::Objects;
use curranthook_settings::{Document, document::Stamp};
use curranthook_types::{
    Epoch,
    bill::{Line, Origin, Segment},
    clock, price,
};
use fake::Fault;
use yare::parameterized;

const OTHER: Stamp<'static> = Stamp { by: "mai", at_millis: 1, publication: "other" };

fn context(fake: &Arc<fake::Platform>) -> Context {
    Context {
        platform: Some(Platform { table: Arc::clone(fake) as _, objects: Arc::clone(fake) as _ }),
        retry: Retry { max_attempts: 4, interval: Duration::ZERO },
        ..Context::new(Arc::new(clock::Manual::default()), "lan")
    }
}

fn example() -> Publish {
    let path = |name| Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name);
    let files =
        Files { base: path("mekong/base.yaml"), overlays: vec![path("mekong/vn-south.yaml")] };
    Publish { files, expect: None }
}

/// A platform on which the example files were published.
fn published() -> (Arc<fake::Platform>, Context) {
    let fake = Arc::new(fake::Platform::default());
    let ctx = context(&fake);
    let first = block_on(publish::run(&ctx, &example())).expect("published");
    assert_eq!(first.epoch, Epoch(1));
    (fake, ctx)
}

/// Files that differ from what is published.
fn changed() -> (tempfile::TempDir, Publish) {
    let dir = tempfile::tempdir().expect("a directory");
    let mut args = example();
    let base = std::fs::read_to_string(&args.files.base).expect("the example");
    args.files.base = dir.path().join("base.yaml");
    let base = base.replace("retry_budget: 0.1", "retry_budget: 0.05");
    std::fs::write(&args.files.base, base).expect("written");
    (dir, args)
}

fn withdraw_by_other(document: &Document) -> Document {
    document.withdraw(&"tally-llm-large@2".into(), &OTHER).expect("withdrawn")
}

fn drain_by_other(document: &Document) -> Document {
    document.drain(&"tally-llm-01".into(), &OTHER).expect("drained")
}

/// Two operators publish at the same time. If the slower one's files went on top, the faster
/// one's change would be undone and nobody would notice.
#[test]
fn slower_operator_is_told_what_the_other_changed() {
    let (fake, ctx) = published();
    let (_dir, args) = changed();
    fake.fail(&[Fault::Quicker(withdraw_by_other)]);
    let e = block_on(publish::run(&ctx, &args)).expect_err("the other was quicker");
    assert_eq!(e.code(), Code::Conflict);
    let Error::Conflict(conflict) = &e else { panic!("{e}") };
    assert_eq!((conflict.epoch, &*conflict.by), (Epoch(2), "mai"));
    assert_eq!(
        conflict.changes.iter().map(ToString::to_string).collect::<Vec<_>>(),
        ["~ withdrawn: [] -> [\"tally-llm-large@2\"]"]
    );
    assert_eq!(fake.document().publication, OTHER.publication);
}

#[test]
fn two_first_publications_are_a_conflict() {
    let fake = Arc::new(fake::Platform::default());
    fake.fail(&[Fault::Quicker(|_| Document::publish(None, [].into(), &OTHER))]);
    let e = block_on(publish::run(&context(&fake), &example())).expect_err("not the first");
    assert_eq!(e.code(), Code::Conflict);
    assert_eq!(fake.document().publication, OTHER.publication);
}

/// The table's answer is lost. An operator who is told of a failure publishes again; one who is
/// told of success goes home. So the command must find out which of both it was, and must not
/// publish twice.
#[parameterized(
    had_effect = { &[Fault::LostAfter] },
    had_no_effect = { &[Fault::LostBefore] },
    took_effect_late = { &[Fault::Late] },
    lost_twice = { &[Fault::LostBefore, Fault::LostAfter] },
    down_afterwards = { &[Fault::LostAfter, Fault::Down] },
    overtaken = { &[Fault::LostAfterThen(drain_by_other)] },
)]
fn lost_answer_is_settled(faults: &[Fault]) {
    let (fake, ctx) = published();
    let (_dir, args) = changed();
    fake.fail(faults);
    let done = block_on(publish::run(&ctx, &args)).expect("settled");
    assert_eq!(done.epoch, Epoch(2));
    let now = fake.document();
    let n_on_top = u64::from(now.publication == OTHER.publication);
    assert_eq!(now.epoch.0, 2 + n_on_top, "published once");
    assert_eq!(now.sites["vn-south"].policy.retry_budget, 0.05);
}

/// The answer is lost, the write had no effect, and another operator publishes before the
/// command can look.
#[test]
fn lost_publication_that_lost_the_race_is_a_conflict() {
    let (fake, ctx) = published();
    let (_dir, args) = changed();
    fake.fail(&[Fault::LostBefore, Fault::Quicker(drain_by_other)]);
    let e = block_on(publish::run(&ctx, &args)).expect_err("the other was quicker");
    assert_eq!(e.code(), Code::Conflict);
    assert_eq!(fake.document().publication, OTHER.publication);
}

/// The platform goes away for good just after a publication. Neither success nor failure would
/// be true, so the operator gets a code that says so. Running the command again settles it.
#[test]
fn answer_that_cannot_be_settled_has_its_own_code() {
    let (fake, ctx) = published();
    let (_dir, args) = changed();
    fake.fail(&[Fault::Outage]);
    let e = block_on(publish::run(&ctx, &args)).expect_err("nobody can know");
    assert_eq!(e.code(), Code::Unknown);
    fake.restore();
    let again = block_on(publish::run(&ctx, &args)).expect("the platform is back");
    assert_eq!((again.epoch, again.changes.len()), (Epoch(2), 0), "published once");
}

/// So many publications come on top before the command can look that the document no longer
/// names the command's own. Whether it was among them can't be told.
#[test]
fn publication_under_many_others_is_unknown() {
    let (fake, ctx) = published();
    let (_dir, args) = changed();
    fake.fail(&[Fault::LostAfterThen(|document| {
        let publish = |current: Document, _| Document::publish(Some(&current), [].into(), &OTHER);
        (0..20).fold(document.clone(), publish)
    })]);
    let e = block_on(publish::run(&ctx, &args)).expect_err("nobody can know");
    assert_eq!((e.code(), fake.document().epoch), (Code::Unknown, Epoch(22)));
}

#[test]
fn refused_write_is_an_outage() {
    let (fake, ctx) = published();
    let (_dir, args) = changed();
    fake.fail(&[Fault::Down]);
    let e = block_on(publish::run(&ctx, &args)).expect_err("down");
    assert_eq!((e.code(), fake.document().epoch), (Code::Down, Epoch(1)));
}

#[test]
fn files_in_force_are_not_published_again() {
    let (fake, ctx) = published();
    let again = block_on(publish::run(&ctx, &example())).expect("no change");
    assert_eq!((again.epoch, again.changes.len()), (Epoch(1), 0));
    assert_eq!(fake.document().epoch, Epoch(1));
}

#[test]
fn expected_epoch_must_be_in_force() {
    let (_fake, ctx) = published();
    let (_dir, args) = changed();
    let stale = Publish { expect: Some(0), ..args };
    let e = block_on(publish::run(&ctx, &stale)).expect_err("epoch 1 is in force");
    assert_eq!(e.code(), Code::Conflict);
    let right = Publish { expect: Some(1), ..stale };
    assert_eq!(block_on(publish::run(&ctx, &right)).expect("published").epoch, Epoch(2));
}

/// A version is withdrawn because it gives wrong weights. Publishing files that still have it
/// must not bring it back, and another operator's publication must not swallow the withdrawal.
#[test]
fn withdrawal_outlives_races_and_publications() {
    let (fake, ctx) = published();
    fake.fail(&[Fault::Quicker(drain_by_other), Fault::LostAfter]);
    let version = "tally-llm-large@1".into();
    let applied = block_on(withdraw::withdraw(&ctx, &version)).expect("withdrawn");
    assert_eq!(applied.epoch, Epoch(3));
    let (_dir, args) = changed();
    block_on(publish::run(&ctx, &args)).expect("published");
    let now = fake.document();
    assert!(now.withdrawn.contains(&version) && now.drained.contains("tally-llm-01"));
    let again = block_on(withdraw::withdraw(&ctx, &version)).expect("withdrawn already");
    assert_eq!(again.epoch, now.epoch);
}

#[test]
fn diff_shows_what_would_change() {
    let (_fake, ctx) = published();
    let (_dir, args) = changed();
    let diff = block_on(diff::run(&ctx, &args.files)).expect("compared");
    let lines: Vec<_> = diff.changes.iter().map(ToString::to_string).collect();
    assert_eq!(lines, ["~ sites.vn-south.policy.retry_budget: 0.1 -> 0.05"]);
}

fn line(request: &str, account: &str, cost: u64, at_millis: u64) -> Line {
    Line {
        request: request.into(),
        account: account.into(),
        served_by: "tally-llm-small@1".to_owned(),
        prompt_tokens: 10,
        completion_tokens: 5,
        cost: price::Micros(cost),
        at_millis,
    }
}

fn store_segment(fake: &fake::Platform, vm: &str, lines: Vec<Line>) {
    let segment = Segment { origin: Origin { vm: vm.into(), incarnation: 1 }, first: 0, lines };
    let value = serde_json::to_vec(&segment).expect("JSON").into();
    let key = segment.key();
    block_on(fake.put_if_absent(&key, value)).expect("stored");
}

/// A router dies after a peer stored the line of its last answer. The caller asks again and
/// another router answers, so the request stands on two lines. The account pays the first.
#[test]
fn request_on_two_lines_is_billed_once() {
    let (fake, ctx) = published();
    store_segment(&fake, "vm-1", vec![line("r-1", "yard", 70, 2_000), line("r-2", "coop", 5, 1)]);
    store_segment(&fake, "vm-2", vec![line("r-1", "yard", 50, 1_000), line("r-3", "yard", 9, 1)]);
    let sum = block_on(bills::run(&ctx, &Bills::default())).expect("summed");
    let costs: Vec<_> = sum.rows.iter().map(|it| (it.account.as_str(), it.cost.0)).collect();
    assert_eq!((costs, sum.n_duplicates), (vec![("coop", 5), ("yard", 59)], 1));

    let args = Bills { account: Some("yard".to_owned()), since: None };
    assert_eq!(block_on(bills::run(&ctx, &args)).expect("summed").rows.len(), 1);
    let args = Bills { account: None, since: Some(Duration::from_secs(60)) };
    assert_eq!(block_on(bills::run(&ctx, &args)).expect("summed").rows.len(), 0);
}

#[test]
fn unreadable_segment_is_an_error() {
    let (fake, ctx) = published();
    let torn = "{".as_bytes().to_vec().into();
    block_on(fake.put_if_absent("bills/vm-1/1/0", torn)).expect("stored");
    let e = block_on(bills::run(&ctx, &Bills::default())).expect_err("torn");
    assert!(e.to_string().contains("bills/vm-1/1/0"), "{e}");
}
