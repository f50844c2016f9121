//! When a target that can't be asked counts as ended.

use std::time::Duration;

use proptest::{
    collection::vec,
    prelude::{Strategy, any, prop_assert, prop_assert_eq, proptest},
};
use reach::{ABSENCE_TIME, Absence, Path, Paths};
use types::Moment;

/// What an instance observes of a target, and how long after the observation before.
fn observations() -> impl Strategy<Value = Vec<(bool, Duration)>> {
    vec(
        (any::<bool>(), (0_u64..800).prop_map(Duration::from_millis)),
        1..30,
    )
}

proptest! {
    /// Guards against failures to connect that show an end however short they last, or despite a sign of life
    /// between them.
    #[test]
    fn only_a_time_without_any_contact_shows_an_end(observed in observations()) {
        let mut now = Duration::from_secs(100);
        let mut absence = Absence::default();
        let mut first_failure: Option<Moment> = None;
        for (is_contact, after) in observed {
            now += after;
            if is_contact {
                absence.record_contact();
                first_failure = None;
            } else {
                absence.record_no_connection(now);
                first_failure.get_or_insert(now);
            }
            let expected = first_failure.is_some_and(|at| now - at >= ABSENCE_TIME);
            prop_assert_eq!(absence.shows_end(now), expected);
        }
    }

    /// Guards against an end that is concluded although another instance, or an event of a stream, has shown since
    /// that the target lives.
    #[test]
    fn a_later_sign_of_life_starts_the_time_anew(lost in 0_u64..5_000, sign in 0_u64..5_000) {
        let [lost, sign] = [lost, sign].map(Duration::from_millis);
        let absence = Absence::new(Some(lost)).after(Some(sign));
        let since = lost.max(sign);
        prop_assert!(absence.shows_end(since + ABSENCE_TIME));
        prop_assert!(!absence.shows_end(since + ABSENCE_TIME - Duration::from_millis(1)));
    }
}

/// Guards against taking a target for ended that other instances reach, or another process under its id.
#[test]
fn a_target_that_others_reach_is_not_absent() {
    let (id, service) = ("e-1".into(), "drafts".into());
    let mut paths = Paths::default();
    let at = |ms: u64| Duration::from_millis(10_000 + ms);
    paths.record_no_connection(at(0), &id, &service, Some(1));
    assert!(paths.absence("e-1", Some(1)).shows_end(at(1_400)));
    assert!(!paths.absence("e-1", Some(2)).shows_end(at(1_400)));
    paths.record_relayed(at(1_000), "e-1", false);
    assert!(paths.absence("e-1", Some(1)).shows_end(at(1_400)));
    paths.record_relayed(at(1_000), "e-1", true);
    assert!(!paths.absence("e-1", Some(1)).shows_end(at(2_399)));
    assert!(paths.absence("e-1", Some(1)).shows_end(at(2_400)));
    paths.record_contact(at(2_500), &id, &service, Some(1));
    assert!(!paths.absence("e-1", Some(1)).shows_end(at(9_000)));
}

/// Guards against taking a target for ended of which another instance still gets events, and against taking these
/// for a path to it or an older one for a later one.
#[test]
fn a_target_that_others_hear_from_is_not_absent_and_not_reached_through_them() {
    let (id, service) = ("e-1".into(), "drafts".into());
    let mut paths = Paths::default();
    let at = |ms: u64| Duration::from_millis(10_000 + ms);
    paths.record_no_connection(at(0), &id, &service, Some(1));
    paths.record_relayed(at(100), "e-1", false);
    paths.record_heard(at(1_000), "e-1");
    paths.record_heard(at(500), "e-1");
    assert!(!paths.absence("e-1", Some(1)).shows_end(at(2_399)));
    assert!(paths.absence("e-1", Some(1)).shows_end(at(2_400)));
    assert_eq!(paths.path(at(1_000), "e-1", Some(1)), Path::Down);
}

/// Guards against forgetting since when a target is not reached that is tried again and again and not listed.
#[test]
fn a_target_that_is_not_listed_stays_absent_while_it_is_tried() {
    let (id, service) = ("e-1".into(), "drafts".into());
    let mut paths = Paths::default();
    let at = |ms: u64| Duration::from_millis(10_000 + ms);
    for ms in (0..=1_400).step_by(200) {
        paths.record_no_connection(at(ms), &id, &service, Some(1));
        paths.retain(at(ms + 100), |_| false);
    }
    assert!(paths.absence("e-1", Some(1)).shows_end(at(1_400)));
    paths.retain(at(2_800), |_| false);
    assert!(!paths.any_lost());
    paths.record_contact(at(3_000), &id, &service, Some(1));
    paths.retain(at(3_000), |_| false);
    assert_eq!(paths.last_contact_with_another("e-2", "drafts"), None);
}
