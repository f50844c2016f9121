//! Short randomised runs with real processes: fixed seeds, every promise checked from outside.

use std::time::Duration;

use bench::{
    chaos::{self, Trial},
    fault::Fault,
    process::Programs,
    scenario::Scenario,
};

const CHAOS: &str = include_str!("../bench/chaos.yml");

fn run(seed: u64, faults: &[Fault]) -> chaos::Shown {
    let scenario: Scenario = serde_saphyr::from_str(CHAOS).unwrap();
    let trial = Trial {
        load: 0.3,
        seed,
        time: Duration::from_secs(8),
        faults: faults.to_vec(),
    };
    let programs = Programs::new(
        env!("CARGO_BIN_EXE_celerystand"),
        env!("CARGO_BIN_EXE_celerystand-standin"),
    );
    let shown = chaos::run(&programs, &scenario, &trial, None);
    let shown = smol::block_on(shown).unwrap();
    assert!(shown.outcomes.values().sum::<u32>() > 50, "{shown}");
    shown
}

// Connections to engines and services break at any byte, or fall silent while new ones work.
// A caller would notice tokens that come twice or are missing, an answer that belongs to
// somebody else, or an order placed twice.
#[test]
fn links_that_break_or_fall_silent_break_no_promise() {
    let links = [
        Fault::CutEngine,
        Fault::SilenceEngine,
        Fault::BreakEngineAnswers,
        Fault::CutService,
        Fault::SilenceService,
        Fault::BreakServiceCalls,
        Fault::BreakServiceAnswers,
    ];
    let shown = run(6, &links);
    assert!(shown.breaches.is_empty(), "{shown}");
}

// Instances are stopped as planned, data centres leave and return, and the platform's table is
// down at times. A caller would notice a stream that ends early or has to be gone on with.
#[test]
fn planned_stops_and_outages_of_the_platform_cut_no_request_short() {
    let shown = run(5, &Fault::GENTLE);
    assert!(shown.breaches.is_empty(), "{shown}");
}

// Instances are killed or frozen in the midst of their work, owners of targets among them. A
// caller would notice an order placed twice, or an answer that was said not to have run.
#[test]
fn instances_that_die_or_freeze_break_no_promise() {
    let shown = run(3, &[Fault::KillInstance, Fault::PauseInstance]);
    assert!(shown.breaches.is_empty(), "{shown}");
}

// Targets crash and come back cold as another incarnation, sooner than the directory shows it.
// Work that was on its way reaches the new incarnation uncounted; with that and its full share of
// new work it would fall over again, and callers would see their streams end for good.
#[test]
fn crashed_targets_come_back_cold_and_get_no_more_than_they_bear() {
    let shown = run(4, &[Fault::CrashEngine, Fault::CrashService]);
    assert!(shown.breaches.is_empty(), "{shown}");
}
