//! Tests of rollouts: sessions never move back, and a stage only advances if nothing speaks against
//! the new version.

use std::time::Duration;

use curranthook_policy::{
    rollout::{Decision, Gate, Hold, route},
    verdict::{Counts, Reason, State},
};
use curranthook_settings::rollout::{Rollout, State as RolloutState};
use proptest::prelude::*;

fn rollout(share: f64) -> Rollout {
    Rollout {
        from: "m@1".into(),
        to: "m@2".into(),
        stages: vec![share],
        stage: 0,
        state: RolloutState::Running,
        since_millis: 0,
    }
}

fn counts(n: u64, mean: f64, errors: u64) -> Counts {
    Counts { n, sum: n as f64 * mean, calls: 10 * n, errors, ..Counts::default() }
}

const HOUR: Duration = Duration::from_secs(3_600);

#[yare::parameterized(
    good = { counts(50, 0.9, 0), State::Clear, HOUR, Decision::Advance },
    stage_too_young = { counts(50, 0.9, 0), State::Clear, Duration::ZERO, Decision::Hold(Hold::Time) },
    too_few_answers = { counts(5, 0.9, 0), State::Clear, HOUR, Decision::Hold(Hold::Answers) },
    too_few_ratings = { counts(20, 0.9, 0), State::Clear, HOUR, Decision::Hold(Hold::Ratings) },
    lower_ratings = { counts(50, 0.8, 0), State::Clear, HOUR, Decision::Hold(Hold::Rating) },
    more_errors = { counts(50, 0.9, 100), State::Clear, HOUR, Decision::Hold(Hold::Errors) },
    suspect = { counts(50, 0.9, 0), State::Suspect(Reason::Rating), HOUR, Decision::Abort(Reason::Rating) },
)]
fn stage_decisions(to: Counts, verdict: State, stage_age: Duration, expected: Decision) {
    let from = counts(1_000, 0.9, 0);
    assert_eq!(Gate::default().decide(&from, &to, verdict, stage_age), expected);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// A session that moved to the new version stays on it as the share grows. Otherwise it would
    /// switch versions back and forth during the rollout.
    #[test]
    fn sessions_never_move_back(key in any::<u64>(), smaller in 0.0_f64..=1.0, larger in 0.0_f64..=1.0) {
        let (smaller, larger) = (rollout(smaller.min(larger)), rollout(smaller.max(larger)));
        if route(&smaller, key) == &smaller.to {
            prop_assert_eq!(route(&larger, key), &larger.to);
        }
    }
}

#[test]
fn share_of_moved_sessions_matches_the_stage() {
    for share in [0.0, 0.05, 0.5, 1.0] {
        let rollout = rollout(share);
        let n_moved = (0..10_000).filter(|key| route(&rollout, *key) == &rollout.to).count();
        assert!(
            (n_moved as f64 / 10_000.0 - share).abs() < 0.02,
            "{n_moved} of 10,000 for {share}"
        );
    }
}
