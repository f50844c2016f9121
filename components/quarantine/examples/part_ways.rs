//! Compares ways to treat parts of prompts that crash targets, on the same cases.

#[path = "../tests/support/mod.rs"]
mod support;

use support::{Case, Simulation, Way};

/// Cases of each way and size.
const CASES: u64 = 200;

fn main() {
    println!(
        "way, instances: crashes per part, parts with over 3 late, sound sent of those arrived"
    );
    for instances in [3, 9, 60, 195] {
        for way in [
            Way::Ignore,
            Way::AnyPart,
            Way::Companions,
            Way::HoldSuspects,
        ] {
            let (mut parts, mut crashes, mut late) = (0, 0, 0);
            let (mut sound, mut sent, mut starved, mut differing) = (0, 0, 0, 0);
            for seed in 5_000..5_000 + CASES {
                let seen = Simulation::new(Case::draw(seed, instances, 0, way)).run();
                parts += seen.crashes.len();
                crashes += seen.crashes.iter().sum::<usize>();
                late += seen.late.iter().filter(|late| **late > 3).count();
                sound += seen.sound;
                sent += seen.sound_sent;
                differing += usize::from(seen.digests > 1);
                starved += usize::from(seen.sound >= 20 && seen.sound_sent * 2 < seen.sound);
            }
            println!(
                "{way:?}, {instances}: {:.1}, {late} of {parts}, {sent} of {sound} ({starved} cases under half), {differing} cases end with different verdicts",
                crashes as f64 / parts as f64
            );
        }
    }
}
