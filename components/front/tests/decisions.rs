//! The small decisions of the front: budgets, cold targets, the selector among plain targets.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use front::{
    ReportedLoad,
    generations::splitter::{EventSplitter, StreamEvent},
    plain_calls::{
        cold::ColdTargets,
        retry_budget::RetryBudget,
        selection::{TargetSelector, connection_share},
    },
};
use proptest::prelude::*;
use types::{ServiceId, ServingState};
use view::Target;

const SECOND: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);

fn target(id: &str, data_centre: &str) -> Arc<Target> {
    Arc::new(Target {
        id: id.into(),
        service: "a-service".into(),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: data_centre.into(),
        slots: 6,
        state: ServingState::Live,
        cold_remaining: Duration::ZERO,
        started_at: None,
    })
}

/// All targets of a service fail. Each request that is tried twice doubles the load on them, and
/// they stay down for longer.
#[test]
fn second_sendings_stay_within_a_part_of_the_requests() {
    let service: ServiceId = "a-service".into();
    let mut budget = RetryBudget::new(10 * SECOND, 0.2, 9.0);
    let now = 100 * SECOND;
    for _ in 0..100 {
        budget.record_request(now, &service);
    }
    let granted = (0..100)
        .filter(|_| budget.try_take(now, &service, 9))
        .count();
    assert!((10..=21).contains(&granted), "{granted}");
    let later = now + 11 * SECOND;
    assert!(!budget.try_take(later, &service, 9) || granted > 0);
}

/// Nine instances share what a cold target bears. If each took it for its own, the target would
/// get nine times that and crash.
#[test]
fn instances_share_what_a_cold_target_bears() {
    let mut cold = ColdTargets::default();
    let start = 100 * SECOND;
    cold.mark_cold(start, &"t-1".into(), 10 * SECOND);
    let sent = (0..1_000)
        .filter(|ms| cold.try_take(start + *ms * MS, "t-1", 45.0, 9))
        .count();
    assert!((1..=5).contains(&sent), "{sent}");
    assert!(cold.try_take(start, "warm", 45.0, 9));
    let warm = start + 11 * SECOND;
    let sent = (0..100)
        .filter(|_| cold.try_take(warm, "t-1", 45.0, 9))
        .count();
    assert_eq!(sent, 100);
}

#[test]
fn the_nearest_target_goes_first_until_it_is_busier() {
    let mut selector = TargetSelector::default();
    let all = [target("far", "dc-2"), target("near", "dc-1")];
    let near = "dc-1".into();
    let now = 100 * SECOND;
    let pick = |selector: &TargetSelector| {
        selector
            .select(now, &all, &[], &near, 0.5)
            .map(|t| t.id.to_string())
    };
    assert_eq!(pick(&selector).as_deref(), Some("near"));
    let load = ReportedLoad {
        running: 6,
        waiting: 2,
    };
    selector.record_load(now, &"near".into(), load);
    assert_eq!(pick(&selector).as_deref(), Some("far"));
}

/// A target answers its health question and fails its calls. Callers see errors for as long as
/// calls go there, so a few failures in a row put it aside.
#[test]
fn a_target_that_fails_in_a_row_is_put_aside_and_tried_again() {
    let mut selector = TargetSelector::default();
    let all = [
        target("bad", "dc-1"),
        target("good", "dc-2"),
        target("other", "dc-2"),
    ];
    let near = "dc-1".into();
    let now = 100 * SECOND;
    selector.record_failure(now, &"bad".into());
    selector.record_failure(now, &"bad".into());
    let picked = selector
        .select(now, &all, &[], &near, 0.5)
        .expect("a target");
    assert_ne!(&*picked.id, "bad");
    let later = now + 5 * SECOND;
    let picked = selector
        .select(later, &all, &[], &near, 0.5)
        .expect("a target");
    assert_eq!(&*picked.id, "bad");
}

/// Nine instances call a target that takes 45 connections from all of them. If each opened as many
/// as it liked, the target would reset some, and calls that must not repeat would be lost.
#[test]
fn instances_share_the_connections_that_a_target_takes() {
    let share = connection_share(45, 9);
    assert_eq!(share, 4);
    assert!(share * 9 <= 45);
    assert_eq!(connection_share(2, 83), 1, "each may call at all");
    let mut selector = TargetSelector::default();
    let id = "t-1".into();
    for _ in 0..share {
        selector.call_started(&id);
    }
    assert_eq!(selector.in_flight(&id), share);
    selector.call_ended(&id);
    assert_eq!(selector.in_flight(&id), share - 1);
}

/// Every target fails: it may be the callers' requests, or our own link. Putting all aside would
/// turn a bad moment into an outage.
#[test]
fn where_all_targets_fail_none_is_put_aside() {
    let mut selector = TargetSelector::default();
    let all = [target("a", "dc-1"), target("b", "dc-2")];
    let near = "dc-1".into();
    let now = 100 * SECOND;
    for id in ["a", "b"] {
        for _ in 0..3 {
            selector.record_failure(now, &id.into());
        }
    }
    let picked = selector
        .select(now, &all, &[], &near, 0.5)
        .expect("a target");
    assert_eq!(&*picked.id, "a");
    let tried = ["a".into()];
    let picked = selector
        .select(now, &all, &tried, &near, 0.5)
        .expect("a target");
    assert_eq!(&*picked.id, "b");
}

fn events(parts: &[&[u8]]) -> (Vec<StreamEvent>, Vec<u8>) {
    let mut split = EventSplitter::new();
    let mut all = Vec::new();
    for part in parts {
        split.push(part).expect("short events");
        while let Some(event) = split.next_event() {
            all.push(event);
        }
    }
    (all, split.take_rest().to_vec())
}

/// A target breaks off in the middle of an event. The part that came must not reach the caller:
/// the event comes again whole from the next engine.
#[test]
fn a_part_of_an_event_does_not_pass() {
    let (all, rest) = events(&[b"id: 1\ndata: a\n\nid: 2\nda"]);
    assert_eq!(all.len(), 1);
    assert_eq!(all[0].id, Some(1));
    assert_eq!(rest, b"id: 2\nda");
}

#[test]
fn ids_are_read_and_other_lines_kept() {
    let (all, _) = events(&[b"weight-versions: 3\r\nid:7\r\ndata: x\r\n\r\n: comment\n\n"]);
    assert_eq!(all[0].id, Some(7));
    assert_eq!(
        &all[0].bytes[..],
        b"weight-versions: 3\r\nid:7\r\ndata: x\r\n\r\n"
    );
    assert_eq!(all[1].id, None);
}

proptest! {
    /// However the network cuts a stream into parts, the same events come out, and no byte is
    /// lost, added or moved.
    #[test]
    fn events_do_not_depend_on_how_bytes_arrive(
        text in "(id: [0-9]{1,3}\r?\n|data: [a-z]{0,5}\r?\n|\r?\n){0,30}",
        cuts in prop::collection::vec(1..9_usize, 0..60),
    ) {
        let bytes = text.as_bytes();
        let (whole, whole_rest) = events(&[bytes]);
        let mut parts = Vec::new();
        let mut at = 0;
        for cut in cuts {
            let end = (at + cut).min(bytes.len());
            parts.push(&bytes[at..end]);
            at = end;
        }
        parts.push(&bytes[at..]);
        let (all, rest) = events(&parts);
        prop_assert_eq!(&all, &whole);
        prop_assert_eq!(&rest, &whole_rest);
        let mut joined: Vec<u8> = all.iter().flat_map(|event| event.bytes.to_vec()).collect();
        joined.extend(rest);
        prop_assert_eq!(joined, bytes);
    }
}
