//! Whole rollouts with many instances, without network.

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "small counts of a simulation"
)]
mod support;

use std::time::Duration;

use proptest::prelude::*;
use rollouts::Outcome;
use support::{Case, Course, Version, play};

/// Time within which a version gets nothing more after its 50th bad answer.
const MAX_ROLLBACK: Duration = Duration::from_secs(2);

fn case(seed: u64, instances: usize, rate: f64, version: Version) -> Case {
    Case {
        seed,
        instances,
        rate,
        duration: Duration::from_secs(12),
        targets: 6,
        version,
        failing_targets: false,
        takeover: false,
        cut: false,
    }
}

fn outcome(course: &Course) -> Option<Outcome> {
    course.end.map(|(outcome, _)| outcome)
}

/// Guards against good versions that are not in service by the deadline, also with little traffic and
/// with as many instances as requests a second.
#[test]
fn a_good_version_succeeds_in_time() {
    for (instances, rate) in [(3, 5.0), (60, 140.0), (195, 150.0)] {
        for seed in 0..8 {
            let course = play(&case(seed, instances, rate, Version::Good));
            let (outcome, at) = course.end.expect("an end");
            assert_eq!(outcome, Outcome::Succeeded, "{seed}: {:?}", course.reason);
            assert!(at <= Duration::from_secs(12), "{seed}: {at:?}");
        }
    }
}

/// Guards against versions that stay in service although part of their answers are failures, or come
/// several times later than those of the others.
#[test]
fn a_bad_version_is_rolled_back() {
    let versions = [
        Version::Fails(0.2),
        Version::Fails(0.5),
        Version::Slow(3.0),
        Version::FailsOnOneRoute(0.5),
        Version::FailsLater(0.3, 0.5),
    ];
    for version in versions {
        for seed in 0..4 {
            let course = play(&case(seed, 60, 300.0, version));
            assert_eq!(outcome(&course), Some(Outcome::RolledBack), "{version:?}");
            let after = course.after_bad.unwrap_or_default();
            assert!(after <= MAX_ROLLBACK, "{version:?}: {after:?}");
        }
    }
}

/// Guards against good versions that are rolled back because some targets of either version fail.
#[test]
fn a_good_version_is_not_blamed_for_single_targets() {
    for seed in 0..12 {
        let course = play(&Case {
            failing_targets: true,
            ..case(seed, 60, 140.0, Version::Good)
        });
        assert_eq!(
            outcome(&course),
            Some(Outcome::Succeeded),
            "{seed}: {:?}",
            course.reason
        );
    }
}

fn any_bad_version() -> impl Strategy<Value = Version> {
    prop_oneof![
        (0.01..1.0).prop_map(Version::Fails),
        (1.5..6.0).prop_map(Version::Slow),
        (0.0..1.0, 0.05..1.0).prop_map(|(from, share)| Version::FailsLater(from, share)),
        Just(Version::SlowUnderLoad),
        (0.05..1.0).prop_map(Version::FailsOnOneRoute),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(48) })]

    /// Guards against instances that together send a bad version more than the bound, whatever their
    /// number, the request rate, lost messages and a change of the coordinator.
    #[test]
    fn a_bad_version_gets_no_more_than_the_bound(
        seed in any::<u64>(), instances in 1..200_usize, rate in 2.0..300.0, seconds in 3..20_u64,
        version in any_bad_version(), failing_targets in any::<bool>(), takeover in any::<bool>(),
        cut in any::<bool>(),
    ) {
        let course = play(&Case {
            duration: Duration::from_secs(seconds),
            failing_targets,
            takeover,
            cut,
            ..case(seed, instances, rate, version)
        });
        prop_assert!(
            course.exposed as f64 <= course.bound(),
            "{} of {:.0}",
            course.exposed,
            course.bound()
        );
    }
}
