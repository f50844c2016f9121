//! The pace at which an instance writes quarantine records.

use std::time::Duration;

use front::quarantine::record::WritePace;

/// Guards against a hundred records that are written at once to a store which has just come back.
#[test]
fn a_hundred_records_are_written_one_after_the_other() {
    let pace = WritePace::default();
    let now = Duration::from_secs(100);
    assert_eq!(pace.reserve(now), Duration::ZERO);
    let waits: Vec<Duration> = (0..100).map(|_| pace.reserve(now)).collect();
    let within = waits.iter().filter(|wait| **wait < Duration::from_secs(2));
    assert!(within.count() <= 20);
    assert!(waits.is_sorted());
    assert_eq!(pace.reserve(now + Duration::from_secs(60)), Duration::ZERO);
}
