//! Length estimates, and the memory projected from them.

use policy::{
    MemoryEstimate, Tuning,
    length::{GenerationSource, LengthEstimator},
    memory::{MemoryProjection, RunningGeneration},
};
use types::{RouteId, ServiceId, WorkspaceId};

struct Names {
    service: ServiceId,
    route: RouteId,
    workspace: WorkspaceId,
}

impl Names {
    fn new(route: &str, workspace: &str) -> Self {
        Self {
            service: "model".into(),
            route: route.into(),
            workspace: workspace.into(),
        }
    }

    fn source(&self) -> GenerationSource<'_> {
        GenerationSource {
            service: &self.service,
            route: &self.route,
            workspace: &self.workspace,
        }
    }
}

fn observe(lengths: &mut LengthEstimator, names: &Names, observed: impl IntoIterator<Item = u64>) {
    for length in observed {
        lengths.record_end(&names.source(), 0, length);
    }
}

#[test]
fn the_expected_length_is_near_the_observed_lengths() {
    let mut lengths = LengthEstimator::new();
    let names = Names::new("draft", "signs");
    observe(&mut lengths, &names, (0..400).map(|n| 100 + n % 200));
    let expected = lengths.curve(&names.source()).expected_remaining(0, 4096);
    assert!((170.0..230.0).contains(&expected), "{expected}");
}

#[test]
fn the_remaining_length_is_estimated_from_generations_that_got_as_far() {
    let mut lengths = LengthEstimator::new();
    let names = Names::new("draft", "signs");
    observe(
        &mut lengths,
        &names,
        (0..400).map(|n| if n % 10 == 0 { 2000 } else { 50 }),
    );
    let curve = lengths.curve(&names.source());
    assert!(curve.expected_remaining(0, 4096) < 400.0);
    assert!(curve.expected_remaining(200, 4096) > 1400.0);
}

// Callers cancel long answers more often than short ones. An estimate from complete answers alone
// would take long ones to be rare, and engines would be overfilled.
#[test]
fn cancelled_generations_count_as_at_least_as_long_as_they_got() {
    let names = Names::new("draft", "signs");
    let mut finished_only = LengthEstimator::new();
    let mut all = LengthEstimator::new();
    for n in 0..400 {
        if n % 2 == 0 {
            finished_only.record_end(&names.source(), 0, 100);
            all.record_end(&names.source(), 0, 100);
        } else {
            all.record_progress(&names.source(), 0, 600);
        }
    }
    let without = finished_only.curve(&names.source()).survival(0, 300);
    let with = all.curve(&names.source()).survival(0, 300);
    assert!(without < 0.05, "{without}");
    assert!((0.4..0.6).contains(&with), "{with}");
}

#[test]
fn a_new_workspace_uses_its_routes_estimate_until_it_has_enough_observations() {
    let mut lengths = LengthEstimator::new();
    let old = Names::new("draft", "signs");
    let new = Names::new("draft", "films");
    observe(&mut lengths, &old, (0..400).map(|_| 300));
    observe(&mut lengths, &new, (0..4).map(|_| 20));
    let few = lengths.curve(&new.source()).expected_remaining(0, 4096);
    observe(&mut lengths, &new, (0..400).map(|_| 20));
    let many = lengths.curve(&new.source()).expected_remaining(0, 4096);
    assert!(few > 150.0, "{few}");
    assert!(many < 40.0, "{many}");
}

#[test]
fn old_observations_are_forgotten() {
    let mut lengths = LengthEstimator::new();
    let names = Names::new("draft", "signs");
    observe(&mut lengths, &names, (0..3000).map(|_| 50));
    observe(&mut lengths, &names, (0..6000).map(|_| 400));
    let survival = lengths.curve(&names.source()).survival(0, 200);
    assert!(survival > 0.8, "{survival}");
}

fn running_generation(
    lengths: &mut LengthEstimator,
    prompt_tokens: u64,
    produced: u64,
    max_output: u64,
) -> RunningGeneration {
    let names = Names::new("draft", "signs");
    RunningGeneration {
        prompt_tokens,
        produced,
        max_output,
        curve: lengths.curve(&names.source()),
    }
}

#[test]
fn the_peak_lies_between_what_is_used_now_and_the_sum_of_largest_sizes() {
    let mut lengths = LengthEstimator::new();
    observe(
        &mut lengths,
        &Names::new("draft", "signs"),
        (0..400).map(|n| 50 + n),
    );
    let tuning = Tuning::default();
    let mut projection = MemoryProjection::new();
    for n in 0..10 {
        let generation = running_generation(&mut lengths, 100, n * 20, 1000);
        projection.add(&generation, tuning.memory_estimate);
    }
    let peak = projection.peak(&tuning);
    assert!(projection.current() < peak && peak < 11_000.0, "{peak}");
    let wider = Tuning {
        margin_deviations: 4.0,
        ..tuning
    };
    assert!(projection.peak(&wider) > peak);
}

// Right before the first of the three generations ends, 3 x 110 tokens are in use, before the
// second 2 x 150, and before the last 300.
#[test]
fn known_lengths_give_the_exact_peak() {
    let mut lengths = LengthEstimator::new();
    let tuning = Tuning::with_known_lengths();
    assert_eq!(tuning.memory_estimate, MemoryEstimate::KnownLengths);
    let mut projection = MemoryProjection::new();
    for length in [10, 50, 200] {
        let generation = running_generation(&mut lengths, 100, 0, length);
        projection.add(&generation, tuning.memory_estimate);
    }
    assert!((projection.peak(&tuning) - 330.0).abs() < 0.5);
}
