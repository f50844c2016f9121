//! Scenarios and their arrivals.

use std::time::Duration;

use bench::{scenario::Scenario, sse::Events};
use proptest::prelude::{ProptestConfig, any, proptest};

const JORDAN: &str = include_str!("../../../bench/jordan.yml");
const LANKASIGN: &str = include_str!("../../../bench/lankasign.yml");

fn scenario(text: &str) -> Scenario {
    serde_saphyr::from_str(text).unwrap()
}

#[test]
fn both_scenarios_are_whole() {
    for text in [JORDAN, LANKASIGN] {
        let scenario = scenario(text);
        let share: f64 = scenario.mix.iter().map(|kind| kind.share).sum();
        assert!((share - 1.0).abs() < 1e-9, "{}", scenario.name);
        assert!(scenario.bearable(1) > 1.0);
    }
}

#[test]
fn the_same_seed_gives_the_same_arrivals() {
    let scenario = scenario(JORDAN);
    let time = Duration::from_secs(10);
    let first = scenario.arrivals(0.9, 7, time);
    assert!(first.len() > 100);
    assert_eq!(first, scenario.arrivals(0.9, 7, time));
    assert_ne!(first, scenario.arrivals(0.9, 8, time));
}

#[test]
fn bursts_leave_the_mean_rate_as_asked() {
    let scenario = scenario(JORDAN);
    let time = Duration::from_secs(350);
    let arrivals = scenario.arrivals(0.5, 3, time);
    let calls = arrivals.iter().filter(|a| a.wanted.kind == "lookups");
    let rate = calls.count() as f64 / time.as_secs_f64();
    let wanted = 0.5 * 60.0;
    assert!(
        (rate / wanted - 1.0).abs() < 0.05,
        "{rate} in place of {wanted}"
    );
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    // A stream arrives in pieces that end anywhere, in the middle of a character even.
    #[test]
    fn events_are_the_same_however_the_bytes_are_cut(cut in any::<proptest::sample::Index>()) {
        let text = "id: a.0\r\ndata: {\"t\":\"é\"}\r\n\r\n: note\n\nevent: partial\ndata: x\n\n";
        let whole = Events::default().push(text.as_bytes());
        assert_eq!(whole.len(), 2);
        let (head, tail) = text.as_bytes().split_at(cut.index(text.len()));
        let mut events = Events::default();
        let mut parts = events.push(head);
        parts.extend(events.push(tail));
        assert_eq!(parts, whole);
    }
}
