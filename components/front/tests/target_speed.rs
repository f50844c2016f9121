//! Selection of plain targets of uneven and changing speed, without network.

mod plain_load;

use std::{sync::Arc, time::Duration};

use front::{ReportedLoad, plain_calls::selection::TargetSelector};
use plain_load::{Load, START, WORK, as_built, data_centre, play, target};
use types::DataCentreId;
use view::Target;

/// Within this time callers need an answer.
const OBJECTIVE: Duration = Duration::from_millis(100);
const MS: Duration = Duration::from_millis(1);

fn usual(_: usize, _: Duration) -> f64 {
    1.0
}

fn percent(factor: f64) -> Option<u32> {
    Some((factor * 100.0) as u32)
}

/// Work takes 2.5 times as long at a target for 300 ms of each 1.2 s, at the targets in turn.
fn slow_for_moments(target: usize, at: Duration) -> f64 {
    let phase = (at.as_millis() + 300 * target as u128) % 1_200;
    if phase < 300 { 2.5 } else { 1.0 }
}

fn load(instances: usize, targets: usize, calls_per_s: f64) -> Load {
    Load {
        instances,
        targets,
        calls_per_s,
        length: Duration::from_secs(12),
        factor: usual,
        reported: |_, _| Some(100),
    }
}

/// Target 1 has the shortest way for the instance; the answers of all have come this long ago.
fn selector_with_reports(age: Duration, percents: &[u32]) -> (TargetSelector, Vec<Arc<Target>>) {
    let targets: Vec<_> = (0..percents.len()).map(target).collect();
    let mut selector = TargetSelector::default();
    for (target, percent) in targets.iter().zip(percents) {
        let report = ReportedLoad {
            running: 1,
            waiting: 0,
            work_time_percent: Some(*percent),
        };
        let took = WORK.mul_f64(f64::from(*percent) / 100.0);
        selector.record_answer(START - age, target, Some(took), report);
    }
    (selector, targets)
}

fn pick(selector: &TargetSelector, targets: &[Arc<Target>], local: &DataCentreId) -> String {
    let picked = selector.select(START, targets, &[], local, 0.5);
    picked.expect("a target").id.to_string()
}

#[test]
fn sixty_instances_before_four_targets_that_are_slow_for_moments() {
    let mut load = load(60, 4, 133.0);
    load.factor = slow_for_moments;
    load.reported = |target, at| percent(slow_for_moments(target, at));
    let outcome = play(&load, as_built);
    let share = outcome.share_within(OBJECTIVE);
    assert!(share >= 0.99, "{share}");
    let remote = outcome.remote as f64 / outcome.answers.len() as f64;
    assert!(remote < 0.25, "{remote}");
}

/// Guards against instances that all send to the quickest of few targets and overload it.
#[test]
fn eighty_seven_instances_near_the_limit_of_three_targets_that_are_slow_for_moments() {
    let mut load = load(87, 3, 700.0);
    load.factor = slow_for_moments;
    load.reported = |target, at| percent(slow_for_moments(target, at));
    let outcome = play(&load, as_built);
    let share = outcome.share_within(OBJECTIVE);
    assert!(share >= 0.95, "{share}");
    assert!(outcome.quantile(0.95) <= OBJECTIVE);
}

/// Guards against a target that draws calls by reporting less than it takes.
#[test]
fn a_target_that_reports_a_low_figure_while_it_is_slow() {
    let mut load = load(60, 4, 400.0);
    load.factor = |target, _| if target == 0 { 4.0 } else { 1.0 };
    load.reported = |target, _| Some(if target == 0 { 50 } else { 100 });
    let outcome = play(&load, as_built);
    let share = outcome.share_of(0, 6, 12);
    assert!(share < 0.1, "{share}");
    assert!(outcome.share_within(OBJECTIVE) >= 0.99);
}

/// Guards against calls that keep going to a target which has become slow, beyond what it can take, or
/// that never return to it. At half its speed it takes 200 of the 660 calls in a second.
#[test]
fn a_target_whose_speed_halves_and_comes_back_without_reporting_it() {
    let mut load = load(20, 3, 660.0);
    load.length = Duration::from_secs(36);
    load.factor = |target, at| {
        let is_slow = target == 0 && (10..20).contains(&at.as_secs());
        if is_slow { 2.0 } else { 1.0 }
    };
    let outcome = play(&load, as_built);
    let during = outcome.share_of(0, 12, 20);
    let after = outcome.share_of(0, 30, 36);
    assert!(during < 200.0 / 660.0, "{during}");
    assert!(after > 0.8 / 3.0, "{after}");
    let share = outcome.share_within(OBJECTIVE);
    assert!(share >= 0.99, "{share}");
}

/// Guards against decisions by a moment that has passed.
#[test]
fn a_report_that_is_a_second_old_does_not_count() {
    let (selector, targets) = selector_with_reports(Duration::from_secs(1), &[250, 100]);
    assert_eq!(pick(&selector, &targets, &data_centre(0)), "t-0");
}

#[test]
fn a_report_of_this_moment_counts_and_fades() {
    let (selector, targets) = selector_with_reports(10 * MS, &[250, 100]);
    assert_eq!(pick(&selector, &targets, &data_centre(0)), "t-1");
    let expected = |age| {
        let (selector, targets) = selector_with_reports(age, &[250, 100]);
        selector.expected(START, &targets[0])
    };
    let times: Vec<_> = [0, 50, 100, 200, 400, 800]
        .map(|ms| expected(ms * MS))
        .into();
    assert!(times.is_sorted_by(|a, b| a > b), "{times:?}");
    assert!(times[0] > WORK.mul_f64(2.4) && times[5] < WORK.mul_f64(1.05));
}

/// Guards against a change for services whose targets do not report how long work takes.
#[test]
fn without_the_figure_the_selection_is_by_load_alone() {
    let targets: Vec<_> = (0..2).map(target).collect();
    let mut selector = TargetSelector::default();
    let mut by_load = TargetSelector::default();
    for (target, (running, took)) in targets.iter().zip([(0, 400 * MS), (5, MS)]) {
        let report = ReportedLoad {
            running,
            waiting: 0,
            work_time_percent: None,
        };
        let change = selector.record_answer(START, target, Some(took), report);
        assert!(change.is_none());
        by_load.record_load(START, &target.id, report);
    }
    for local in [data_centre(0), data_centre(1)] {
        let expected = pick(&by_load, &targets, &local);
        assert_eq!(pick(&selector, &targets, &local), expected);
    }
}

/// Guards against a service that is selected by speed because of another one's reports.
#[test]
fn the_figure_of_one_service_does_not_affect_another() {
    let (selector, targets) = selector_with_reports(Duration::ZERO, &[250, 100]);
    let mut other = (*targets[0]).clone();
    other.service = "another".into();
    assert!(selector.is_by_speed(&targets[0].service));
    assert!(!selector.is_by_speed(&other.service));
}

#[test]
fn the_target_that_was_passed_over_is_named() {
    let (selector, targets) = selector_with_reports(Duration::ZERO, &[250, 100]);
    let selection = selector.choose(START, &targets, &[], &data_centre(0), 0.5);
    let selection = selection.expect("a target");
    assert_eq!(&*selection.target.id, "t-1");
    let passed_over = selection.passed_over.expect("the local target");
    assert_eq!(&*passed_over.target, "t-0");
    assert!(passed_over.expected > selection.expected.expect("a time"));
}

/// Guards against a repeated call that goes to the target that has just failed it, or to an ejected one.
#[test]
fn tried_and_ejected_targets_are_avoided() {
    let (mut selector, targets) = selector_with_reports(Duration::ZERO, &[100, 100, 250]);
    for _ in 0..2 {
        selector.record_failure(START, &targets[1].id);
    }
    let tried = [Arc::clone(&targets[0].id)];
    let picked = selector.select(START, &targets, &tried, &data_centre(0), 0.5);
    assert_eq!(&*picked.expect("a target").id, "t-2");
}

/// Guards against slow targets that the operator does not hear of.
#[test]
fn a_target_that_has_become_slow_is_reported_once() {
    let (mut selector, targets) = selector_with_reports(Duration::ZERO, &[100, 100, 100]);
    let report = ReportedLoad {
        work_time_percent: Some(100),
        ..ReportedLoad::default()
    };
    let mut changes = Vec::new();
    for n in 0..20 {
        let now = START + n * 50 * MS;
        for (number, target) in targets.iter().enumerate() {
            let took = WORK * if number == 0 { 3 } else { 1 };
            changes.extend(selector.record_answer(now, target, Some(took), report));
        }
    }
    assert_eq!(changes.len(), 1, "{changes:?}");
    assert!(changes[0].is_slow && changes[0].work_time > changes[0].service_work_time);
}
