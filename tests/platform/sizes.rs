//! Generations that declare more than any engine can hold.

use std::time::{Duration, Instant};

use crate::support::{Caller, Platform};

/// Time in which such a generation must be refused.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(500);
/// Declared sizes that exceed the memory of every engine.
const TOO_LARGE: [&str; 6] = [
    "3000,18446744073709551615",
    "18446744073709551615,1",
    "18446744073709551615,18446744073709551615",
    "3000,18446744073709551592",
    "3000,99999999999999999999999999",
    "30000,1",
];

/// Guards against sizes at which the instances that decide on a generation hang one after the other.
#[test]
fn a_generation_larger_than_every_engine_is_refused_at_once_and_stops_no_instance() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let mut instances = Vec::new();
        for number in 0..3 {
            instances.push(platform.instance(&format!("sizes-{number}")).await);
        }
        let caller = Caller::new("key-1");
        for (number, sizes) in TOO_LARGE.iter().enumerate() {
            let instance = &instances[number % instances.len()];
            let sent_at = Instant::now();
            let id = format!("g-{number}");
            let answer = caller.generate_with_sizes(instance.addr, &id, sizes).await;
            assert_eq!(answer.status, 503, "{sizes}: {}", answer.body);
            assert!(answer.body.contains("not-run"), "{sizes}: {}", answer.body);
            assert!(sent_at.elapsed() < MAX_REFUSAL_TIME, "{sizes}");
        }
        for (number, instance) in instances.iter().enumerate() {
            let id = format!("after-{number}");
            let answer = caller.generate(instance.addr, &id, 3).await;
            assert_eq!(answer.status, 200, "{}", answer.body);
        }
        assert!(
            platform.engines.iter().all(|engine| engine
                .arrivals()
                .list()
                .iter()
                .all(|arrival| arrival.id.starts_with("after-"))),
            "a generation that is too large was sent to an engine"
        );
    });
}
