//! Short runs of the soak with fixed seeds, among them those that have found faults.

use std::{env, path::PathBuf, time::Duration};

use soak::{Report, SoakConfig, deployment::Sizes, run};

/// Duration of the part of a run that has disruptions.
const SHORT_RUN: Duration = Duration::from_secs(8);

fn run_seed(seed: u64, length: Duration, planned: bool) -> Report {
    let name = format!("celerystand-soak-{}-{seed}-{planned}", std::process::id());
    let dir = env::temp_dir().join(name);
    let soak = SoakConfig {
        program: PathBuf::from(env!("CARGO_BIN_EXE_celerystand")),
        dir: dir.clone(),
        seed,
        planned,
        length,
        sizes: Sizes {
            instances: 3,
            callers: 12,
            ..Sizes::default()
        },
    };
    let report = smol::block_on(run(&soak)).expect("the deployment starts");
    if report.violations.is_empty() {
        // The logs of a failed run are kept for its analysis.
        let _ = std::fs::remove_dir_all(dir);
    }
    report
}

/// Disruptions of instances, store and targets, one after another and at the same time. Answers
/// must be complete and belong to their request, calls that are not idempotent run at most once,
/// refusals report correctly whether a request ran, and service recovers by itself.
#[test]
fn random_disruptions_break_no_promise() {
    for seed in [5, 6] {
        let report = run_seed(seed, SHORT_RUN, false);
        assert!(report.violations.is_empty(), "seed {seed}\n{report}");
    }
}

/// Guards against migrations to engines that have crashed during a store outage and are therefore
/// still listed, and against a stand-in that reports a copy to such an engine as complete.
#[test]
fn generations_survive_a_crashed_destination_during_a_store_outage() {
    let report = run_seed(607, SHORT_RUN * 2, false);
    assert!(report.violations.is_empty(), "{report}");
}

/// Guards against a process that ends while it still accepts requests, which are then left
/// unanswered.
#[test]
fn the_last_requests_of_a_stopping_instance_are_answered_or_refused() {
    for seed in [1, 3, 4] {
        let report = run_seed(seed, SHORT_RUN, true);
        assert!(report.violations.is_empty(), "seed {seed}\n{report}");
    }
}

/// Guards against requests to a target that has said in an answer that it leaves or wants a pause, and
/// against state that is lost, or holds on to old versions, when the store comes back from a copy.
#[test]
fn targets_that_speak_for_themselves_and_a_restored_store_break_no_promise() {
    let report = run_seed(39, SHORT_RUN + SHORT_RUN / 4, false);
    assert!(report.violations.is_empty(), "{report}");
}

/// Guards against a late copy of a refusal that answers the next sending of its request, to a process that started
/// again under another id at the same address.
#[test]
fn copied_refusals_and_targets_that_started_again_break_no_promise() {
    let report = run_seed(131, SHORT_RUN, false);
    assert!(report.violations.is_empty(), "{report}");
}
