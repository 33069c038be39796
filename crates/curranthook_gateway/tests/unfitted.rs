//! Decisions know no deployment: neither its names nor its figures.

use std::{fs, path::Path, time::Duration};

use curranthook_gateway::{
    latency::{Estimator, FirstEvent},
    placement::{self, CacheHolders, Candidate, Locality, Task},
    prefill::Prompt,
};

/// Words by which deployments could be told apart: of their names, places, services and requests.
const NAMES: [&str; 16] = [
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

/// A rule that knows a deployment's name serves that one and lets down whoever comes next.
#[test]
fn no_decision_reads_the_name_of_a_deployment() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut n_files = 0;
    for dir in ["crates/curranthook_gateway/src", "crates/curranthook_policy/src", "platform/src"] {
        sources(&root.join(dir), &mut |path, text| {
            n_files += 1;
            let is_code = |line: &&str| !line.trim_start().starts_with("//");
            let code = text.lines().filter(is_code).collect::<Vec<_>>().join("\n").to_lowercase();
            let found: Vec<_> = NAMES.iter().filter(|it| code.contains(**it)).collect();
            assert!(found.is_empty(), "{} knows {found:?}", path.display());
        });
    }
    assert!(20 < n_files, "only {n_files} sources were read");
}

fn sources(dir: &Path, check: &mut dyn FnMut(&Path, &str)) {
    for entry in fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, check);
        } else if path.extension().is_some_and(|it| it == "rs") {
            check(&path, &fs::read_to_string(&path).unwrap());
        }
    }
}

/// The same engines under other names are expected to take as long.
#[test]
fn names_change_no_estimate() {
    let learned = |service: &str, model: &str| {
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
    assert_eq!(learned("a", "b"), learned("engines", "large"));
}

/// Where reading and waiting both take twice as long, the same endpoints are chosen: what counts is how
/// the two compare, not how long they take on some site.
#[test]
fn engines_of_half_the_speed_are_chosen_alike() {
    for salt in 0..200_u64 {
        let offer = |index: u64, speed: u32| Candidate {
            id_hash: index + 1,
            wait: Duration::from_millis(100 + salt * index * 13 % 700) * speed,
            failure_rate: 0.0,
            locality: Locality::SameDomain,
            has_prefix_cached: salt % 5 == index,
        };
        let choose = |speed: u32| {
            let prefix_prefill = Duration::from_millis(250) * speed;
            let offers: Vec<_> = (0..6).map(|it| offer(it, speed)).collect();
            placement::choose(
                &offers,
                &Task {
                    prefix_hash: Some(salt),
                    prefix_prefill,
                    holders: CacheHolders::Guessed,
                    salt,
                },
            )
        };
        assert_eq!(choose(1), choose(2));
    }
}
