//! Short seeded runs of the soak, and the seeds that ever showed a fault.

use std::{env, path::PathBuf, time::Duration};

use soak::{Shown, Soak, run, world::Sizes};

/// Length of the troubled part of a run.
const SHORT: Duration = Duration::from_secs(8);

fn play(seed: u64, length: Duration, planned: bool) -> Shown {
    let name = format!("celerystand-soak-{}-{seed}-{planned}", std::process::id());
    let dir = env::temp_dir().join(name);
    let soak = Soak {
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
    let shown = smol::block_on(run(&soak)).expect("the deployment starts");
    if shown.breaches.is_empty() {
        // What a broken run logged is kept for whoever looks into it.
        let _ = std::fs::remove_dir_all(dir);
    }
    shown
}

// Whatever happens to instances, store and targets, in series and at once: answers are whole and
// one's own, what must run once does, refusals are true, and service comes back by itself.
#[test]
fn random_trouble_from_outside_breaks_no_promise() {
    for seed in [5, 6] {
        let shown = play(seed, SHORT, false);
        assert!(shown.breaches.is_empty(), "seed {seed}\n{shown}");
    }
}

/// Guards against moves to engines that have crashed while the store is down and are listed still; the
/// stand-in said that such a copy was whole.
#[test]
fn generations_survive_a_crashed_destination_while_the_store_is_down() {
    let shown = play(607, SHORT * 2, false);
    assert!(shown.breaches.is_empty(), "{shown}");
}

/// Guards against the end of a process while it still takes requests, which cuts them unanswered.
#[test]
fn a_request_that_a_stopping_instance_takes_last_is_answered_or_refused() {
    for seed in [1, 3, 4] {
        let shown = play(seed, SHORT, true);
        assert!(shown.breaches.is_empty(), "seed {seed}\n{shown}");
    }
}
