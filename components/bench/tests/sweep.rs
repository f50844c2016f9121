//! The short mode in virtual time.

use std::time::Duration;

use bench::sweep::{Setup, run_one};
use policy::Tuning;

fn setup(tuning: Tuning) -> Setup {
    Setup {
        seed: 3,
        seconds: 12,
        warm_up: Duration::from_secs(2),
        takeover: None,
        load: 0.9,
        tuning,
    }
}

#[test]
fn the_same_seed_gives_the_same_figures() {
    let first = run_one(&setup(Tuning::default()));
    let second = run_one(&setup(Tuning::default()));
    assert!(first.finished > 100);
    assert_eq!(first.line(90, "peak"), second.line(90, "peak"));
}

// Without a margin engines fill up and preempt, and callers see their answers stand still.
#[test]
fn admission_without_a_margin_preempts_and_told_lengths_never_do() {
    let crowded = |tuning| Setup {
        seconds: 30,
        load: 1.5,
        ..setup(tuning)
    };
    let careless = Tuning {
        admit_share: 1.5,
        margin_deviations: 0.0,
        stop_share: 2.0,
        revoke_share: 2.0,
        ..Tuning::default()
    };
    assert_eq!(
        run_one(&crowded(Tuning::with_known_lengths())).preemptions,
        0
    );
    assert!(run_one(&crowded(careless)).preemptions > 0);
}
