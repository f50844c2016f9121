//! Decisions without I/O: retry budget, slow start, selection of targets and splitting of event
//! streams.

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
        version: "v1".into(),
        weights: None,
        started_at: None,
    })
}

/// Guards against retries that keep failing targets overloaded: if every request were retried once,
/// the load on them would double.
#[test]
fn retries_are_bounded_by_a_fraction_of_the_requests() {
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

/// Guards against overloading a cold target: if each of nine instances used the whole rate that it
/// bears, the target would get nine times as much and crash.
#[test]
fn instances_share_the_rate_of_a_cold_target() {
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
fn a_local_target_is_preferred_until_it_is_busier() {
    let mut selector = TargetSelector::default();
    let all = [target("remote", "dc-2"), target("local", "dc-1")];
    let local = "dc-1".into();
    let now = 100 * SECOND;
    let pick = |selector: &TargetSelector| {
        selector
            .select(now, &all, &[], &local, 0.5)
            .map(|t| t.id.to_string())
    };
    assert_eq!(pick(&selector).as_deref(), Some("local"));
    let load = ReportedLoad {
        running: 6,
        waiting: 2,
        work_time_percent: None,
    };
    selector.record_load(now, &"local".into(), load);
    assert_eq!(pick(&selector).as_deref(), Some("remote"));
}

/// Guards against errors from a target that passes its health checks but fails its calls.
#[test]
fn a_target_that_fails_repeatedly_is_ejected_for_a_while() {
    let mut selector = TargetSelector::default();
    let all = [
        target("bad", "dc-1"),
        target("good", "dc-2"),
        target("other", "dc-2"),
    ];
    let local = "dc-1".into();
    let now = 100 * SECOND;
    selector.record_failure(now, &"bad".into());
    selector.record_failure(now, &"bad".into());
    let picked = selector
        .select(now, &all, &[], &local, 0.5)
        .expect("a target");
    assert_ne!(&*picked.id, "bad");
    let later = now + 5 * SECOND;
    let picked = selector
        .select(later, &all, &[], &local, 0.5)
        .expect("a target");
    assert_eq!(&*picked.id, "bad");
}

/// Guards against exceeding the connection limit of a target, here 45 for nine instances. The
/// target would reset the connections beyond it, and calls that must not be repeated would be lost.
#[test]
fn instances_share_the_connection_limit_of_a_target() {
    let share = connection_share(45, 9);
    assert_eq!(share, 4);
    assert!(share * 9 <= 45);
    assert_eq!(connection_share(2, 83), 1, "at least one connection each");
    let mut selector = TargetSelector::default();
    let id = "t-1".into();
    for _ in 0..share {
        selector.call_started(&id);
    }
    assert_eq!(selector.in_flight(&id), share);
    selector.call_ended(&id);
    assert_eq!(selector.in_flight(&id), share - 1);
}

/// Guards against an outage that ejection itself would cause. If every target fails, the cause may
/// be the callers' requests or this instance's link.
#[test]
fn no_target_is_ejected_if_all_fail() {
    let mut selector = TargetSelector::default();
    let all = [target("a", "dc-1"), target("b", "dc-2")];
    let local = "dc-1".into();
    let now = 100 * SECOND;
    for id in ["a", "b"] {
        for _ in 0..3 {
            selector.record_failure(now, &id.into());
        }
    }
    let picked = selector
        .select(now, &all, &[], &local, 0.5)
        .expect("a target");
    assert_eq!(&*picked.id, "a");
    let tried = ["a".into()];
    let picked = selector
        .select(now, &all, &tried, &local, 0.5)
        .expect("a target");
    assert_eq!(&*picked.id, "b");
}

fn events(parts: &[&[u8]]) -> (Vec<StreamEvent>, Vec<u8>) {
    let mut splitter = EventSplitter::new();
    let mut all = Vec::new();
    for part in parts {
        splitter.push(part).expect("short events");
        while let Some(event) = splitter.next_event() {
            all.push(event);
        }
    }
    (all, splitter.take_rest().to_vec())
}

/// Guards against forwarding an incomplete event of a stream that breaks off: the next engine sends
/// the event again completely.
#[test]
fn an_incomplete_event_is_not_forwarded() {
    let (all, rest) = events(&[b"id: 1\ndata: a\n\nid: 2\nda"]);
    assert_eq!(all.len(), 1);
    assert_eq!(all[0].id, Some(1));
    assert_eq!(rest, b"id: 2\nda");
}

#[test]
fn ids_are_parsed_and_all_lines_are_retained() {
    let (all, _) = events(&[b"weight-versions: 3\r\nid:7\r\ndata: x\r\n\r\n: comment\n\n"]);
    assert_eq!(all[0].id, Some(7));
    assert_eq!(
        &all[0].bytes[..],
        b"weight-versions: 3\r\nid:7\r\ndata: x\r\n\r\n"
    );
    assert_eq!(all[1].id, None);
}

proptest! {
    /// Guards against events that depend on how the network splits a stream into packets, and
    /// against bytes that are lost, added or reordered.
    #[test]
    fn events_do_not_depend_on_the_chunks_of_a_stream(
        text in "(id: [0-9]{1,3}\r?\n|data: [a-z]{0,5}\r?\n|\r?\n){0,30}",
        cuts in prop::collection::vec(1..9_usize, 0..60),
    ) {
        let bytes = text.as_bytes();
        let (expected, expected_rest) = events(&[bytes]);
        let mut parts = Vec::new();
        let mut at = 0;
        for cut in cuts {
            let end = (at + cut).min(bytes.len());
            parts.push(&bytes[at..end]);
            at = end;
        }
        parts.push(&bytes[at..]);
        let (all, rest) = events(&parts);
        prop_assert_eq!(&all, &expected);
        prop_assert_eq!(&rest, &expected_rest);
        let mut joined: Vec<u8> = all.iter().flat_map(|event| event.bytes.to_vec()).collect();
        joined.extend(rest);
        prop_assert_eq!(joined, bytes);
    }
}
