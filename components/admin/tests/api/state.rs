//! Health, readiness, metrics, dump, status and authentication.

use crate::support::{Api, FakeConfig, KEY};
use admin::message::{Ready, Status};

#[test]
fn health_readiness_and_metrics_need_no_key() {
    let api = Api::start(&FakeConfig::with_tree());
    for path in ["/health", "/ready", "/metrics"] {
        assert_eq!(api.send_raw("GET", path, &[], "").status, 200, "{path}");
    }
    let metrics = api.get("/metrics");
    assert!(metrics.text.contains("asked_total 0"), "{}", metrics.text);
    for line in ["ready 1", "config_version 6", "data_centres_out 0"] {
        assert!(metrics.text.contains(&format!("\n{line}\n")), "{line}");
    }
    assert!(metrics.text.ends_with("# EOF\n"));
}

#[test]
fn all_other_routes_need_an_operator_key() {
    let api = Api::start(&FakeConfig::with_tree());
    let wrong = ["Bearer wrong", "Bearer ", "Basic abc", "", KEY];
    for path in [
        "/dump",
        "/v1/status",
        "/v1/tree",
        "/v1/tree/",
        "/v1/history",
    ] {
        for value in wrong {
            let answer = api.send_raw("GET", path, &[("authorization", value)], "");
            assert_eq!(answer.status, 401, "{path} with {value:?}");
            assert_eq!(answer.header("www-authenticate"), "Bearer");
        }
        assert_eq!(api.get(path).status, 200, "{path}");
    }
    let counter = r#"events_total{number="802",event="OperatorUnknown",level="warn"}"#;
    assert!(api.get("/metrics").text.contains(counter));
}

// Guards against an instance that reports ready before it can serve: the load balancer would send
// it callers, who would all be refused.
#[test]
fn an_instance_that_is_not_ready_gives_the_reason() {
    let api = Api::start_with(&FakeConfig::with_tree(), Some("no configuration yet"));
    let answer = api.send_raw("GET", "/ready", &[], "");
    assert_eq!(answer.status, 503);
    let ready: Ready = answer.read();
    assert_eq!(ready.reason.as_deref(), Some("no configuration yet"));
    let status: Status = api.get("/v1/status").read();
    assert!(!status.ready);
    assert_eq!(api.get("/health").status, 200);
    assert!(api.get("/metrics").text.contains("\nready 0\n"));
}

#[test]
fn status_shows_the_version_and_the_data_centres_that_are_out() {
    let config = FakeConfig::with_tree();
    let api = Api::start(&config);
    assert_eq!(
        api.send("POST", "/v1/data-centres/south/out", &[], "")
            .status,
        200
    );
    let status: Status = api.get("/v1/status").read();
    assert_eq!(status.config_version, Some(config.version()));
    assert_eq!(status.out, vec!["south".into()]);
}

// Guards against secrets in dumps: a component may put a key, a token or a customer's text into its
// state, and dumps are attached to tickets.
#[test]
fn a_dump_contains_the_state_without_secrets() {
    let api = Api::start(&FakeConfig::with_tree());
    let dump = api.get("/dump").text;
    for shown in ["entry-1", "\"config-version\":3", "\"tokens\":5", "editors"] {
        assert!(dump.contains(shown), "{shown} in {dump}");
    }
    for hidden in ["a shared key", "a platform token", "a customer", "abc"] {
        assert!(!dump.contains(hidden), "{hidden} in {dump}");
    }
}

#[test]
fn unknown_paths_and_wrong_methods_are_rejected() {
    let api = Api::start(&FakeConfig::with_tree());
    for (method, path, status) in [
        ("GET", "/nothing", 404),
        ("GET", "/v1/data-centres/north", 404),
        ("GET", "/v1/data-centres/north/out", 405),
        ("POST", "/health", 405),
        ("POST", "/v1/tree/services/drafts", 405),
        ("DELETE", "/v1/tree", 405),
        ("GET", "/v1/history?limit=many", 400),
    ] {
        let answer = api.send(method, path, &[], "");
        assert_eq!(answer.status, status, "{method} {path}");
        assert_eq!(answer.header("content-type"), "application/problem+json");
    }
}
