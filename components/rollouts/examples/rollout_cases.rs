//! Plays random rollouts and prints what came of them: `rollout_cases [CASES] [SEED] [MEMORY]`. With a
//! third argument all instances are lost once or twice in each; it says what is known afterwards: stored,
//! answers, stored-alone or nothing.

#[path = "../tests/support/mod.rs"]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "small counts of a simulation"
)]
mod support;

use std::{collections::BTreeMap, env, time::Duration};

use fastrand::Rng;
use rollouts::Outcome;
use support::{Case, Memory, Version, play};

/// Time after its 50th bad answer in which a version must be rolled back.
const MAX_ROLLBACK_TIME: Duration = Duration::from_secs(5);

#[derive(Default)]
struct Row {
    cases: u32,
    over_bound: u32,
    succeeded: u32,
    late: u32,
    slow_rollback: u32,
    longest: Duration,
    exposed: f64,
    exposed_in_all: u64,
    checkpoints: u32,
    cut_off: u64,
    requests: u64,
    reasons: BTreeMap<String, u32>,
}

fn main() {
    let mut args = env::args().skip(1);
    let count: u64 = args.next().and_then(|a| a.parse().ok()).unwrap_or(1_000);
    let seed: u64 = args.next().and_then(|a| a.parse().ok()).unwrap_or(0);
    let memory = args.next().map(|name| match name.as_str() {
        "answers" => Memory::Answers,
        "stored-alone" => Memory::StoredAlone,
        "nothing" => Memory::Nothing,
        _ => Memory::Stored,
    });
    let mut rows: BTreeMap<String, Row> = BTreeMap::new();
    for number in 0..count {
        let case = match memory {
            Some(memory) => draw(seed + number).with_losses(memory),
            None => draw(seed + number),
        };
        let course = play(&case);
        let row = rows.entry(format!("{:?}", case.version)).or_default();
        row.cases += 1;
        let bad = case.version != Version::Good;
        if bad && course.exposed as f64 > course.bound() {
            row.over_bound += 1;
            println!(
                "over the bound: {case:?} {} of {:.0}",
                course.exposed,
                course.bound()
            );
        }
        match course.end {
            Some((Outcome::Succeeded, at)) => {
                row.succeeded += 1;
                row.late += u32::from(at > case.duration);
                row.cut_off += course.cut_off;
                row.requests += course.requests;
            }
            Some((Outcome::RolledBack, _)) => {
                let reason = course
                    .reason
                    .as_ref()
                    .map(ToString::to_string)
                    .unwrap_or_default();
                if !bad {
                    println!("good one rolled back: {case:?} {reason}");
                }
                let kind = reason.split(" of").next().unwrap_or_default();
                *row.reasons.entry(kind.to_owned()).or_default() += 1;
            }
            None => row.late += 1,
        }
        let rolled_back = matches!(course.end, Some((Outcome::RolledBack, _)));
        if let Some(after) = course.after_bad.filter(|_| rolled_back) {
            row.slow_rollback += u32::from(after > Duration::from_secs(2));
            if after > MAX_ROLLBACK_TIME {
                println!("rolled back after {after:?}: {case:?}");
            }
            row.longest = row.longest.max(after);
        }
        row.exposed_in_all += course.exposed_in_all;
        row.checkpoints += course.checkpoints;
        row.exposed += course.exposed as f64 / course.bound();
    }
    for (version, row) in rows {
        println!(
            "{version:24} cases {:5} over bound {:3} succeeded {:5} late {:3} rollback over 2 s {:3} longest {:.2?} \
             mean part of the bound {:.2} cut off {} of {} {:?}, exposed {}, checkpoints {}",
            row.cases,
            row.over_bound,
            row.succeeded,
            row.late,
            row.slow_rollback,
            row.longest,
            row.exposed / f64::from(row.cases),
            row.cut_off,
            row.requests,
            row.reasons,
            row.exposed_in_all,
            row.checkpoints
        );
    }
}

impl Case {
    /// Has all instances lost once or twice at any moments.
    fn with_losses(mut self, memory: Memory) -> Self {
        let mut rng = Rng::with_seed(!self.seed);
        self.takeover = false;
        self.losses = (0..rng.usize(1..3)).map(|_| rng.f64() * 1.05).collect();
        self.memory = memory;
        self
    }
}

fn draw(seed: u64) -> Case {
    let mut rng = Rng::with_seed(seed);
    let versions = [
        Version::Good,
        Version::Good,
        Version::Good,
        Version::Fails(0.05),
        Version::Fails(0.2),
        Version::Fails(0.5),
        Version::Slow(3.0),
        Version::FailsLater(0.5, 0.3),
        Version::SlowUnderLoad,
        Version::FailsOnOneRoute(0.3),
    ];
    Case {
        seed,
        instances: [3, 60, 195][rng.usize(..3)],
        rate: [5.0, 20.0, 70.0, 150.0, 500.0][rng.usize(..5)],
        duration: Duration::from_secs([6, 12, 30][rng.usize(..3)]),
        targets: [3, 12][rng.usize(..2)],
        version: versions[rng.usize(..versions.len())],
        failing_targets: rng.u8(..3) == 0,
        takeover: rng.u8(..4) == 0,
        cut: rng.u8(..4) == 0,
        losses: Vec::new(),
        memory: Memory::Stored,
        stall: None,
    }
}
