//! What is expected of lengths, and of memory.

use placing::{
    Lengths,
    memory::{Holder, peak},
};
use proptest::prelude::*;
use types::Tokens;

const LONGEST: Tokens = 2_236;

#[test]
fn what_ended_moves_the_expectation_of_its_route_only() {
    let mut lengths = Lengths::default();
    let before = lengths.expect("drafts", LONGEST, None).rest(0);
    for _ in 0..200 {
        lengths.ended(&"drafts".into(), LONGEST, 100);
    }
    let after = lengths.expect("drafts", LONGEST, None).rest(0);
    assert!(before > 500, "{before}");
    assert!((90..130).contains(&after), "{after}");
    assert_eq!(lengths.expect("tags", LONGEST, None).rest(0), before);
}

/// Callers' estimates are off by a factor of three either way. Believed in full, an engine is
/// overfilled by those that are too low, and left empty for those that are too high.
#[test]
fn an_estimate_moves_the_expectation_a_little() {
    let mut lengths = Lengths::default();
    for made in [200, 400, 600, 800, 1_200] {
        for _ in 0..40 {
            lengths.ended(&"drafts".into(), LONGEST, made);
        }
    }
    let plain = lengths.expect("drafts", LONGEST, None).rest(0);
    let low = lengths.expect("drafts", LONGEST, Some(30)).rest(0);
    let high = lengths.expect("drafts", LONGEST, Some(20_000)).rest(0);
    assert!(low < plain && plain < high, "{low} {plain} {high}");
    assert!(low > plain / 3 && high < plain * 3, "{low} {plain} {high}");
}

/// Generations that began together are at their longest together; those that began one after the
/// other are not, and more of them fit.
#[test]
fn generations_of_different_ages_take_less_than_the_sum_of_their_ends() {
    let mut lengths = Lengths::default();
    for _ in 0..200 {
        lengths.ended(&"drafts".into(), LONGEST, 1_000);
    }
    let length = lengths.expect("drafts", LONGEST, None);
    let holder = |made| Holder {
        prompt: 100,
        made,
        length,
    };
    let together: Vec<Holder> = (0..8).map(|_| holder(0)).collect();
    let spread: Vec<Holder> = (0..8).map(|n| holder(n * 120)).collect();
    let ends = 8.0 * 1_100.0;
    assert!(peak(&together) > 0.8 * ends, "{}", peak(&together));
    assert!(peak(&spread) < 0.8 * ends, "{}", peak(&spread));
}

proptest! {
    /// Chances are chances, they only fall with the distance, and a rest is never more than what
    /// is allowed.
    #[test]
    fn expectations_stay_within_bounds(
        ended in prop::collection::vec(1..5_000_u64, 0..60),
        hint in prop::option::of(0..100_000_u64),
        made in 0..5_000_u64,
        more in 0..5_000_u64,
        longest in 1..5_000_u64,
    ) {
        let mut lengths = Lengths::default();
        for made in ended {
            lengths.ended(&"r".into(), longest, made);
        }
        let length = lengths.expect("r", longest, hint);
        let chance = length.survives(made, more);
        prop_assert!((0.0..=1.0).contains(&chance));
        prop_assert!(length.survives(made, more + 50) <= chance + 1e-9);
        prop_assert!(length.rest(made) <= longest.saturating_sub(made));
    }

    /// The worst moment is never better than now, and one more never makes it better.
    #[test]
    fn one_more_never_takes_less(sizes in prop::collection::vec((1..6_000_u64, 0..2_000_u64), 1..12)) {
        let length = Lengths::default().expect("r", LONGEST, None);
        let all: Vec<Holder> = sizes
            .iter()
            .map(|(prompt, made)| Holder { prompt: *prompt, made: *made, length })
            .collect();
        let now: u64 = sizes.iter().map(|(prompt, made)| prompt + made).sum();
        #[expect(clippy::cast_precision_loss, reason = "far below 52 bits")]
        let now = now as f64;
        prop_assert!(peak(&all) >= now - 1e-6);
        prop_assert!(peak(&all) >= peak(&all[1..]) - 1e-6);
    }
}
