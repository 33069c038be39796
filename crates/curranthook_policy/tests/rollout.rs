//! Roll-outs move sessions one way, and go on only when nothing speaks against it.

use std::time::Duration;

use curranthook_policy::{
    rollout::{Decision, Gate, Hold, route},
    verdict::{Counts, Reason, State},
};
use curranthook_settings::rollout::{Rollout, State as Stage};
use proptest::prelude::*;

fn rollout(share: f64) -> Rollout {
    Rollout {
        from: "m@1".into(),
        to: "m@2".into(),
        stages: vec![share],
        stage: 0,
        state: Stage::Running,
        since_millis: 0,
    }
}

fn counts(n: u64, mean: f64, errors: u64) -> Counts {
    Counts { n, sum: n as f64 * mean, calls: 10 * n, errors, ..Counts::default() }
}

const HOUR: Duration = Duration::from_secs(3_600);

#[yare::parameterized(
    good = { counts(50, 0.9, 0), State::Clear, HOUR, Decision::Advance },
    young = { counts(50, 0.9, 0), State::Clear, Duration::ZERO, Decision::Hold(Hold::Time) },
    few = { counts(5, 0.9, 0), State::Clear, HOUR, Decision::Hold(Hold::Answers) },
    unrated = { counts(20, 0.9, 0), State::Clear, HOUR, Decision::Hold(Hold::Ratings) },
    worse = { counts(50, 0.8, 0), State::Clear, HOUR, Decision::Hold(Hold::Rating) },
    failing = { counts(50, 0.9, 100), State::Clear, HOUR, Decision::Hold(Hold::Errors) },
    bad = { counts(50, 0.9, 0), State::Suspect(Reason::Rating), HOUR, Decision::Abort(Reason::Rating) },
)]
fn gates(to: Counts, verdict: State, stage_age: Duration, expected: Decision) {
    let from = counts(1_000, 0.9, 0);
    assert_eq!(Gate::default().decide(&from, &to, verdict, stage_age), expected);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// A session that moved to the new version stays there as the share grows.
    #[test]
    fn sessions_move_one_way(key in any::<u64>(), less in 0.0_f64..=1.0, more in 0.0_f64..=1.0) {
        let (less, more) = (rollout(less.min(more)), rollout(less.max(more)));
        if route(&less, key) == &less.to {
            prop_assert_eq!(route(&more, key), &more.to);
        }
    }
}

#[test]
fn the_share_is_kept() {
    for share in [0.0, 0.05, 0.5, 1.0] {
        let it = rollout(share);
        let n = (0..10_000).filter(|key| route(&it, *key) == &it.to).count();
        assert!((n as f64 / 10_000.0 - share).abs() < 0.02, "{n} of 10,000 for {share}");
    }
}
