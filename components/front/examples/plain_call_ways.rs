//! Compares ways to select plain targets whose machines turn slow for moments, by the figures that
//! `docs/design/target-speeds.md` states.

#[path = "../tests/plain_load/mod.rs"]
mod plain_load;

use std::{sync::Arc, time::Duration};

use front::plain_calls::selection::TargetSelector;
use plain_load::{Load, Way, as_built, play};
use types::{DataCentreId, Moment};
use view::Target;

/// The least expected time, without distance.
fn least(
    selector: &TargetSelector,
    now: Moment,
    targets: &[Arc<Target>],
    _: &DataCentreId,
    _: f64,
) -> Arc<Target> {
    let least = targets.iter().min_by_key(|t| selector.expected(now, t));
    Arc::clone(least.expect("a target"))
}

/// The better of two targets drawn at random.
fn two_choices(
    selector: &TargetSelector,
    now: Moment,
    targets: &[Arc<Target>],
    _: &DataCentreId,
    random: f64,
) -> Arc<Target> {
    let count = targets.len();
    let pair = (random * (count * (count - 1)) as f64) as usize;
    let (first, second) = (pair % count, (pair % count + 1 + pair / count) % count);
    let two = [&targets[first], &targets[second]];
    let better = two.into_iter().min_by_key(|t| selector.expected(now, t));
    Arc::clone(better.expect("two targets"))
}

/// Work takes 2.5 times as long for 300 ms of each 1.2 s, at the targets in turn.
fn slow_for_moments(target: usize, at: Duration) -> f64 {
    let phase = (at.as_millis() + 300 * target as u128) % 1_200;
    if phase < 300 { 2.5 } else { 1.0 }
}

/// One target is slow all the time, and does not report it.
fn one_slow(target: usize, _: Duration) -> f64 {
    if target == 0 { 4.0 } else { 1.0 }
}

fn main() {
    println!("load | way | p50 ms | p99 ms | within 100 ms | remote | at target 0");
    for (name, calls_per_s, is_reported) in [
        ("60 before 4, 133/s", 133.0, true),
        ("60 before 4, 800/s", 800.0, true),
        ("60 before 4, 1,050/s", 1_050.0, true),
        ("one slow, 400/s", 400.0, false),
    ] {
        let ways: [(&str, Way, bool); 4] = [
            ("load over slots", as_built, false),
            ("least time", least, true),
            ("two choices", two_choices, true),
            ("as built", as_built, true),
        ];
        for (way_name, way, has_figure) in ways {
            let load = Load {
                instances: 60,
                targets: 4,
                calls_per_s,
                length: Duration::from_secs(30),
                factor: if is_reported {
                    slow_for_moments
                } else {
                    one_slow
                },
                reported: match (has_figure, is_reported) {
                    (false, _) => |_, _| None,
                    (true, true) => |t, at| Some((slow_for_moments(t, at) * 100.0) as u32),
                    (true, false) => |_, _| Some(100),
                },
            };
            let outcome = play(&load, way);
            println!(
                "{name} | {way_name} | {:.1} | {:.1} | {:.4} | {:.2} | {:.2}",
                outcome.quantile(0.5).as_secs_f64() * 1_000.0,
                outcome.quantile(0.99).as_secs_f64() * 1_000.0,
                outcome.share_within(Duration::from_millis(100)),
                outcome.remote as f64 / outcome.answers.len() as f64,
                outcome.share_of(0, 10, 30),
            );
        }
    }
}
