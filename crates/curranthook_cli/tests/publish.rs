//! Tests of publications and edits when the platform loses responses and other operators publish
//! concurrently.

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

const OTHER_OPERATOR_STAMP: Stamp<'static> =
    Stamp { by: "mai", at_millis: 1, publication: "other" };

fn context(fake: &Arc<fake::Platform>) -> Context {
    Context {
        platform: Some(Platform { table: Arc::clone(fake) as _, objects: Arc::clone(fake) as _ }),
        retry: Retry { max_attempts: 4, interval: Duration::ZERO },
        ..Context::new(Arc::new(clock::Manual::default()), "lan")
    }
}

fn example_args() -> Publish {
    let path = |name| Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name);
    let files =
        Files { base: path("mekong/base.yaml"), overlays: vec![path("mekong/vn-south.yaml")] };
    Publish { files, expect: None }
}

/// Creates a platform on which the example files are published.
fn platform_with_example() -> (Arc<fake::Platform>, Context) {
    let fake = Arc::new(fake::Platform::default());
    let ctx = context(&fake);
    let first = block_on(publish::run(&ctx, &example_args())).expect("published");
    assert_eq!(first.epoch, Epoch(1));
    (fake, ctx)
}

/// Copies the example's base file to a temporary directory with a different retry budget, and
/// returns arguments that publish it.
fn changed_args() -> (tempfile::TempDir, Publish) {
    let dir = tempfile::tempdir().expect("a directory");
    let mut args = example_args();
    let base = std::fs::read_to_string(&args.files.base).expect("the example");
    args.files.base = dir.path().join("base.yaml");
    let base = base.replace("retry_budget: 0.1", "retry_budget: 0.05");
    std::fs::write(&args.files.base, base).expect("written");
    (dir, args)
}

fn withdraw_by_other_operator(document: &Document) -> Document {
    document.withdraw(&"tally-llm-large@2".into(), &OTHER_OPERATOR_STAMP).expect("withdrawn")
}

fn drain_by_other_operator(document: &Document) -> Document {
    document.drain(&"tally-llm-01".into(), &OTHER_OPERATOR_STAMP).expect("drained")
}

/// Two operators publish at the same time. If the second publication replaced the first, the
/// first operator's change would be undone silently.
#[test]
fn conflict_lists_the_changes_of_the_other_operator() {
    let (fake, ctx) = platform_with_example();
    let (_dir, args) = changed_args();
    fake.inject(&[Fault::ConcurrentPublication(withdraw_by_other_operator)]);
    let e = block_on(publish::run(&ctx, &args)).expect_err("the other operator published first");
    assert_eq!(e.code(), Code::Conflict);
    let Error::Conflict(conflict) = &e else { panic!("{e}") };
    assert_eq!((conflict.epoch, &*conflict.by), (Epoch(2), "mai"));
    assert_eq!(
        conflict.changes.iter().map(ToString::to_string).collect::<Vec<_>>(),
        ["~ withdrawn: [] -> [\"tally-llm-large@2\"]"]
    );
    assert_eq!(fake.document().publication, OTHER_OPERATOR_STAMP.publication);
}

#[test]
fn concurrent_first_publications_conflict() {
    let fake = Arc::new(fake::Platform::default());
    fake.inject(&[Fault::ConcurrentPublication(|_| {
        Document::publish(None, [].into(), &OTHER_OPERATOR_STAMP)
    })]);
    let e = block_on(publish::run(&context(&fake), &example_args())).expect_err("not the first");
    assert_eq!(e.code(), Code::Conflict);
    assert_eq!(fake.document().publication, OTHER_OPERATOR_STAMP.publication);
}

/// The table's response is lost. If the command wrongly reports a failure, the operator publishes
/// again; if it wrongly reports a success, the change is never published. So the command has to
/// determine whether the write took effect, and must not publish twice.
#[parameterized(
    write_applied = { &[Fault::ResponseLost] },
    write_not_applied = { &[Fault::RequestLost] },
    write_applied_late = { &[Fault::Delayed] },
    lost_twice = { &[Fault::RequestLost, Fault::ResponseLost] },
    unavailable_afterwards = { &[Fault::ResponseLost, Fault::Unavailable] },
    followed_by_another_publication = { &[Fault::ResponseLostThenPublication(drain_by_other_operator)] },
)]
fn lost_response_is_resolved(faults: &[Fault]) {
    let (fake, ctx) = platform_with_example();
    let (_dir, args) = changed_args();
    fake.inject(faults);
    let done = block_on(publish::run(&ctx, &args)).expect("resolved");
    assert_eq!(done.epoch, Epoch(2));
    let document = fake.document();
    let n_later = u64::from(document.publication == OTHER_OPERATOR_STAMP.publication);
    assert_eq!(document.epoch.0, 2 + n_later, "published once");
    assert_eq!(document.sites["vn-south"].policy.retry_budget, 0.05);
}

/// The response is lost, the write had no effect, and another operator publishes before the
/// command reads the document again.
#[test]
fn lost_write_followed_by_another_publication_is_a_conflict() {
    let (fake, ctx) = platform_with_example();
    let (_dir, args) = changed_args();
    fake.inject(&[Fault::RequestLost, Fault::ConcurrentPublication(drain_by_other_operator)]);
    let e = block_on(publish::run(&ctx, &args)).expect_err("the other operator published first");
    assert_eq!(e.code(), Code::Conflict);
    assert_eq!(fake.document().publication, OTHER_OPERATOR_STAMP.publication);
}

/// The platform becomes unavailable right after a publication. The command can report neither
/// success nor failure, so it has a separate exit code. Running it again resolves the outcome.
#[test]
fn unresolved_write_has_its_own_exit_code() {
    let (fake, ctx) = platform_with_example();
    let (_dir, args) = changed_args();
    fake.inject(&[Fault::OutageAfterWrite]);
    let e = block_on(publish::run(&ctx, &args)).expect_err("the outcome is unknown");
    assert_eq!(e.code(), Code::Unknown);
    fake.end_outage();
    let again = block_on(publish::run(&ctx, &args)).expect("the platform is back");
    assert_eq!((again.epoch, again.changes.len()), (Epoch(2), 0), "published once");
}

/// So many publications follow before the command reads the document again that the document no
/// longer lists the command's own id, and the command can't determine whether it was published.
#[test]
fn publication_followed_by_many_others_is_unknown() {
    let (fake, ctx) = platform_with_example();
    let (_dir, args) = changed_args();
    fake.inject(&[Fault::ResponseLostThenPublication(|document| {
        let publish = |current: Document, _| {
            Document::publish(Some(&current), [].into(), &OTHER_OPERATOR_STAMP)
        };
        (0..20).fold(document.clone(), publish)
    })]);
    let e = block_on(publish::run(&ctx, &args)).expect_err("the outcome is unknown");
    assert_eq!((e.code(), fake.document().epoch), (Code::Unknown, Epoch(22)));
}

#[test]
fn rejected_write_is_an_outage() {
    let (fake, ctx) = platform_with_example();
    let (_dir, args) = changed_args();
    fake.inject(&[Fault::Unavailable]);
    let e = block_on(publish::run(&ctx, &args)).expect_err("down");
    assert_eq!((e.code(), fake.document().epoch), (Code::Down, Epoch(1)));
}

#[test]
fn unchanged_files_are_not_published_again() {
    let (fake, ctx) = platform_with_example();
    let again = block_on(publish::run(&ctx, &example_args())).expect("no change");
    assert_eq!((again.epoch, again.changes.len()), (Epoch(1), 0));
    assert_eq!(fake.document().epoch, Epoch(1));
}

#[test]
fn expected_epoch_must_be_in_force() {
    let (_fake, ctx) = platform_with_example();
    let (_dir, args) = changed_args();
    let stale = Publish { expect: Some(0), ..args };
    let e = block_on(publish::run(&ctx, &stale)).expect_err("epoch 1 is in force");
    assert_eq!(e.code(), Code::Conflict);
    let matching = Publish { expect: Some(1), ..stale };
    assert_eq!(block_on(publish::run(&ctx, &matching)).expect("published").epoch, Epoch(2));
}

/// A version is withdrawn because it reports wrong weights. Publishing files that still contain it
/// must not reinstate it, and a concurrent publication must not undo the withdrawal.
#[test]
fn withdrawal_survives_concurrent_and_later_publications() {
    let (fake, ctx) = platform_with_example();
    fake.inject(&[Fault::ConcurrentPublication(drain_by_other_operator), Fault::ResponseLost]);
    let version = "tally-llm-large@1".into();
    let applied = block_on(withdraw::withdraw(&ctx, &version)).expect("withdrawn");
    assert_eq!(applied.epoch, Epoch(3));
    let (_dir, args) = changed_args();
    block_on(publish::run(&ctx, &args)).expect("published");
    let document = fake.document();
    assert!(document.withdrawn.contains(&version) && document.drained.contains("tally-llm-01"));
    let again = block_on(withdraw::withdraw(&ctx, &version)).expect("withdrawn already");
    assert_eq!(again.epoch, document.epoch);
}

#[test]
fn diff_lists_changes() {
    let (_fake, ctx) = platform_with_example();
    let (_dir, args) = changed_args();
    let diff = block_on(diff::run(&ctx, &args.files)).expect("compared");
    let lines: Vec<_> = diff.changes.iter().map(ToString::to_string).collect();
    assert_eq!(lines, ["~ sites.vn-south.policy.retry_budget: 0.1 -> 0.05"]);
}

fn bill_line(request: &str, account: &str, cost: u64, at_millis: u64) -> Line {
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

/// A router dies after a peer stored the bill line of its last response. Another router serves the
/// caller's retry, so the request has two lines. The account pays for the earlier one.
#[test]
fn request_with_two_lines_is_billed_once() {
    let (fake, ctx) = platform_with_example();
    store_segment(
        &fake,
        "vm-1",
        vec![bill_line("r-1", "yard", 70, 2_000), bill_line("r-2", "coop", 5, 1)],
    );
    store_segment(
        &fake,
        "vm-2",
        vec![bill_line("r-1", "yard", 50, 1_000), bill_line("r-3", "yard", 9, 1)],
    );
    let summary = block_on(bills::run(&ctx, &Bills::default())).expect("summed");
    let costs: Vec<_> = summary.rows.iter().map(|it| (it.account.as_str(), it.cost.0)).collect();
    assert_eq!((costs, summary.n_duplicates), (vec![("coop", 5), ("yard", 59)], 1));

    let args = Bills { account: Some("yard".to_owned()), since: None };
    assert_eq!(block_on(bills::run(&ctx, &args)).expect("summed").rows.len(), 1);
    let args = Bills { account: None, since: Some(Duration::from_secs(60)) };
    assert_eq!(block_on(bills::run(&ctx, &args)).expect("summed").rows.len(), 0);
}

#[test]
fn unreadable_segment_is_an_error() {
    let (fake, ctx) = platform_with_example();
    let truncated = "{".as_bytes().to_vec().into();
    block_on(fake.put_if_absent("bills/vm-1/1/0", truncated)).expect("stored");
    let e = block_on(bills::run(&ctx, &Bills::default())).expect_err("truncated segment");
    assert!(e.to_string().contains("bills/vm-1/1/0"), "{e}");
}
