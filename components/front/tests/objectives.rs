//! The time left until a request's objective for the first token.

use std::{sync::Arc, time::Duration};

use front::{CallerRequest, callers::call::Call, execution::Execution};
use quarantine::Fingerprint;
use timer::boot_time;
use view::{Route, RouteKind, Service};

/// The callers of one route have deadlines between 33 and 39 seconds. If the time left were derived
/// from the route's timeout, a request with a shorter deadline would count as late on arrival, and
/// most callers would be queued as late and answered late or not at all.
#[test]
fn a_shorter_deadline_does_not_reduce_the_time_left_of_the_objective() {
    let objective = Duration::from_millis(1_800);
    let route = Route {
        name: "drafts".into(),
        host: "host.example".into(),
        prefix: "/drafts/".into(),
        kind: RouteKind::Generation,
        timeout: Duration::from_secs(39),
        objective,
        max_pause: None,
        is_resumable: false,
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
            last_event: None,
            shared_parts: Vec::new(),
        },
        fingerprint: Fingerprint::new(&[]),
        shared_parts: Arc::default(),
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
        execution: Execution::default(),
        is_probe: Arc::default(),
        lost_runs: Arc::default(),
        resumes_after: None,
    };
    assert!(
        call.objective_left() > objective / 2,
        "{:?}",
        call.objective_left()
    );
}
