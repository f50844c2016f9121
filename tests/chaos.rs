//! Short randomised runs with real processes and fixed seeds; every promise is checked from
//! outside.

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
    let report = chaos::run(&programs, &scenario, &trial, None);
    let report = smol::block_on(report).unwrap();
    assert!(report.outcomes.values().sum::<u32>() > 50, "{report}");
    report
}

/// Connections to engines and services break at any byte, or stall while new ones work. Guards
/// against duplicate or missing tokens, answers that belong to another request, and effects that
/// take place twice.
#[test]
fn broken_or_stalled_connections_break_no_promise() {
    let faults = [
        Fault::CutEngine,
        Fault::SilenceEngine,
        Fault::BreakEngineAnswers,
        Fault::CutService,
        Fault::SilenceService,
        Fault::BreakServiceCalls,
        Fault::BreakServiceAnswers,
    ];
    let report = run(6, &faults);
    assert!(report.breaches.is_empty(), "{report}");
}

/// Instances are stopped as planned, data centres are taken out and in, and the platform's table
/// service has outages. Guards against streams that end early or that callers have to resume.
#[test]
fn planned_stops_and_platform_outages_truncate_no_request() {
    let report = run(5, &Fault::GENTLE);
    assert!(report.breaches.is_empty(), "{report}");
}

/// Instances, owners of targets among them, are killed or paused while they serve requests. Guards
/// against effects that take place twice, and against requests that are reported as not run but
/// were run.
#[test]
fn killed_or_paused_instances_break_no_promise() {
    let report = run(3, &[Fault::KillInstance, Fault::PauseInstance]);
    assert!(report.breaches.is_empty(), "{report}");
}

/// Targets crash and restart cold as another incarnation, sooner than the directory shows it.
/// Requests in flight reach the new incarnation uncounted; with its full share of new requests in
/// addition it would crash again, and streams would be lost.
#[test]
fn crashed_targets_restart_cold_and_are_not_overloaded() {
    let report = run(4, &[Fault::CrashEngine, Fault::CrashService]);
    assert!(report.breaches.is_empty(), "{report}");
}
