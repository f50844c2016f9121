//! Reports the speeds of the engines that this instance accounts for.

use std::sync::Arc;

use events::{Event, emit};
use timer::boot_time;

use crate::{metrics::EngineLabels, state::Front};

/// Logs engines whose speed has changed much against their service, and counts engines by speed.
pub fn report(front: &Front) {
    let now = boot_time();
    let (changes, loads) = {
        let mut owner = front.placement.owner.lock();
        (owner.take_speed_changes(now), owner.loads(now))
    };
    for change in changes {
        let (target, service) = (Arc::clone(&change.target), Arc::clone(&change.service));
        let prefill_percent = change.speed.prefill_percent;
        let decode_percent = change.speed.decode_percent;
        emit(&if change.is_slow {
            Event::EngineSlow {
                target,
                service,
                prefill_percent,
                decode_percent,
            }
        } else {
            Event::EngineUsual {
                target,
                service,
                prefill_percent,
                decode_percent,
            }
        });
    }
    let mut counts = [("slow", 0), ("usual", 0), ("fast", 0)];
    for load in loads {
        let index = match load.speed {
            Some(speed) if speed.is_slow() => 0,
            Some(speed) if speed.is_fast() => 2,
            _ => 1,
        };
        counts[index].1 += 1;
    }
    for (speed, count) in counts {
        front
            .metrics
            .engines
            .get_or_create(&EngineLabels { speed })
            .set(count);
    }
}
