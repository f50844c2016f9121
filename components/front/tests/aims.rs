//! How much time a request has until its answer should be there.

use std::{sync::Arc, time::Duration};

use front::{CallerRequest, callers::call::Call};
use quarantine::Fingerprint;
use timer::boot_time;
use view::{Route, RouteKind, Service};

/// Callers of one route wait for 33 to 39 seconds. Whoever waits less long has not waited before:
/// taken for late by what is left of the longest time, most callers would get the place of one
/// that is late, and hear late or not at all.
#[test]
fn a_caller_of_little_patience_has_its_whole_aim_left() {
    let aim = Duration::from_millis(1_800);
    let route = Route {
        name: "drafts".into(),
        host: "host.example".into(),
        prefix: "/drafts/".into(),
        kind: RouteKind::Generation,
        timeout: Duration::from_secs(39),
        objective: aim,
        max_targets: 1,
        priority: 0,
        allows_anonymous: true,
        shares: Vec::new(),
    };
    let service = Service {
        name: "a-service".into(),
        health_path: "/health".into(),
        max_connections: 100,
        cold_requests_per_s: 0.0,
        engine: None,
    };
    let left = Duration::from_secs(33);
    let (head, ()) = hyper::Request::new(()).into_parts();
    let call = Call {
        request: CallerRequest {
            id: "a-request".into(),
            host: "host.example".into(),
            path: "/drafts/1".into(),
            time_left: Some(left),
            key: None,
            sizes: None,
        },
        fingerprint: Fingerprint::new(&[]),
        head,
        body: bytes::Bytes::new(),
        memory: Arc::new(net::Budget::new(0).share()),
        route: Arc::new(route),
        service: Arc::new(service),
        workspace: None,
        priority: 0,
        arrived: boot_time(),
        caller_deadline: boot_time() + left,
        answer_deadline: boot_time() + left,
        config_version: 1,
        sent: Arc::default(),
    };
    assert!(
        call.objective_left() > aim / 2,
        "{:?}",
        call.objective_left()
    );
}
