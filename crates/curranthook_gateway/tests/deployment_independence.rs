//! Checks that decisions do not depend on a particular deployment, neither on its names nor on its
//! speed.

use std::{fs, path::Path, time::Duration};

use curranthook_gateway::{
    load::{
        latency::{Estimator, FirstEvent},
        prefill::Prompt,
    },
    placement::{self, CacheHolders, Candidate, Locality, Task},
};
use curranthook_policy::slowdown::Outlook;

/// Words that identify a deployment: parts of its name and of the names of its sites, services and
/// requests.
const DEPLOYMENT_WORDS: [&str; 16] = [
    "mekong",
    "tally-llm",
    "crate-",
    "vn-south",
    "louis",
    "plcd",
    "mu-north",
    "dossier",
    "abenov",
    "almaty",
    "citation",
    "standings",
    "order-desk",
    "herd",
    "ledger",
    "quiet-",
];

/// Guards against a rule that depends on a deployment's names: it would work for that deployment
/// and fail for others.
#[test]
fn decision_code_contains_no_deployment_names() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut n_files = 0;
    for dir in ["crates/curranthook_gateway/src", "crates/curranthook_policy/src", "platform/src"] {
        for_each_source(&root.join(dir), &mut |path, text| {
            n_files += 1;
            let is_code = |line: &&str| !line.trim_start().starts_with("//");
            let code = text.lines().filter(is_code).collect::<Vec<_>>().join("\n").to_lowercase();
            let found: Vec<_> = DEPLOYMENT_WORDS.iter().filter(|it| code.contains(**it)).collect();
            assert!(found.is_empty(), "{} contains {found:?}", path.display());
        });
    }
    assert!(20 < n_files, "only {n_files} sources were read");
}

fn for_each_source(dir: &Path, check: &mut dyn FnMut(&Path, &str)) {
    for entry in fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            for_each_source(&path, check);
        } else if path.extension().is_some_and(|it| it == "rs") {
            check(&path, &fs::read_to_string(&path).unwrap());
        }
    }
}

/// The same engines under other names get the same estimate.
#[test]
fn estimates_do_not_depend_on_names() {
    let trained_estimate = |service: &str, model: &str| {
        let mut estimator = Estimator::default();
        for n in 1..50_u32 {
            let prompt = Prompt::new(u64::from(n) * 317 % 9_000, 0);
            let elapsed = Duration::from_millis(100 + u64::from(n) * 7 % 300);
            let first =
                FirstEvent { prompt, outstanding: n % 7, queue_delay: Duration::ZERO, elapsed };
            estimator.record_first_event(service, model, 0.5, first);
        }
        estimator.estimate(service, model, 0.5)
    };
    assert_eq!(trained_estimate("a", "b"), trained_estimate("engines", "large"));
}

/// If prefill and waiting both take twice as long, the same endpoints are chosen: only the ratio of
/// the two counts, not how long they take at a particular site.
#[test]
fn placement_does_not_depend_on_engine_speed() {
    for salt in 0..200_u64 {
        let candidate = |index: u64, speed: u32| Candidate {
            id_hash: index + 1,
            wait: Duration::from_millis(100 + salt * index * 13 % 700) * speed,
            slowdown: Outlook::UNKNOWN,
            failure_rate: 0.0,
            locality: Locality::SameDomain,
            has_prefix_cached: salt % 5 == index,
        };
        let choose = |speed: u32| {
            let prefix_prefill = Duration::from_millis(250) * speed;
            let candidates: Vec<_> = (0..6).map(|it| candidate(it, speed)).collect();
            placement::choose(
                &candidates,
                &Task {
                    prefix_hash: Some(salt),
                    prefix_prefill,
                    own_time: Duration::ZERO,
                    holders: CacheHolders::Guessed,
                    salt,
                },
            )
        };
        assert_eq!(choose(1), choose(2));
    }
}
