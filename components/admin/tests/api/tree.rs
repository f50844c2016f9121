//! Reading and writing of the configuration tree.

use crate::support::{Api, FakeConfig};
use ::tree::Node;
use admin::{
    message::{
        Accepted, Document, DocumentOutcome, EffectiveValues, OverrideOutcome, Status,
        ValidationResult, WrittenNode,
    },
    problem::Problem,
};
use config::{ChangeError, HistoryEntry};
use proptest::prelude::*;
use serde_json::json;

const SERVICE: &str = "/v1/tree/services/drafts";

fn node(value: serde_json::Value) -> Node {
    serde_json::from_value(value).expect("a node")
}

#[test]
fn a_node_is_read_written_and_deleted_by_its_etag() {
    let config = FakeConfig::with_tree();
    let api = Api::start(&config);
    let read = api.get(SERVICE);
    let written: WrittenNode = read.read();
    let etag = read.header("etag").to_owned();
    assert_eq!(etag, format!("\"{}\"", written.version.expect("a version")));

    let body = r#"{"kind":"model","knobs":{"class":"urgent"}}"#;
    let headers = [("if-match", etag.as_str()), ("from", "mona")];
    let answer = api.send("PUT", SERVICE, &headers, body);
    assert_eq!(answer.status, 200, "{}", answer.text);
    let accepted: Accepted = answer.read();
    assert_eq!(accepted.version, config.version());
    assert_eq!(api.get(SERVICE).header("etag"), answer.header("etag"));

    let history: Vec<HistoryEntry> = api.get("/v1/history?limit=1").read();
    assert_eq!(history[0].version, accepted.version);
    assert_eq!(&*history[0].change.operator, "mona");

    let route = format!("{SERVICE}/routes/tags");
    let etag = api.get(&route).header("etag").to_owned();
    let answer = api.send("DELETE", &route, &[("if-match", &etag)], "");
    assert_eq!(answer.status, 200, "{}", answer.text);
    assert_eq!(api.get(&route).status, 404);
}

// Guards against lost updates: when two operators read the same node and both change it, the second
// must not silently overwrite the change of the first.
#[test]
fn the_second_of_two_concurrent_changes_gets_a_conflict_with_the_current_node() {
    let config = FakeConfig::with_tree();
    let api = Api::start(&config);
    let etag = api.get(SERVICE).header("etag").to_owned();
    let headers = [("if-match", etag.as_str())];
    let first = r#"{"kind":"model","knobs":{"class":"urgent"}}"#;
    let second = r#"{"kind":"model","knobs":{"class":"background"}}"#;
    assert_eq!(api.send("PUT", SERVICE, &headers, first).status, 200);
    let answer = api.send("PUT", SERVICE, &headers, second);
    assert_eq!(answer.status, 412);
    let now = answer.read::<Problem>().now.expect("what it is now");
    assert_eq!(now.version, Some(config.version()));
    assert_eq!(
        now.node,
        Some(node(serde_json::from_str(first).expect("JSON")))
    );
}

#[test]
fn if_none_match_creates_a_node_only_once() {
    let api = Api::start(&FakeConfig::with_tree());
    let path = "/v1/tree/data-centres/west";
    let absent = [("if-none-match", "*")];
    assert_eq!(api.send("PUT", path, &absent, "{}").status, 200);
    assert_eq!(api.send("PUT", path, &absent, "{}").status, 412);
}

#[test]
fn a_change_without_a_valid_precondition_is_rejected() {
    let config = FakeConfig::with_tree();
    let api = Api::start(&config);
    let before = config.version();
    assert_eq!(api.send("PUT", SERVICE, &[], "{}").status, 428);
    for headers in [
        vec![("if-match", "7")],
        vec![("if-match", "\"x\"")],
        vec![("if-match", "*")],
        vec![("if-none-match", "\"7\"")],
        vec![("if-match", "\"7\""), ("if-none-match", "*")],
    ] {
        let answer = api.send("PUT", SERVICE, &headers, "{}");
        assert_eq!(answer.status, 400, "{headers:?}");
    }
    assert_eq!(config.version(), before);
}

#[test]
fn a_malformed_body_is_rejected_with_the_reason() {
    let config = FakeConfig::with_tree();
    let api = Api::start(&config);
    let before = config.version();
    let absent = [("if-none-match", "*")];
    for (body, reason) in [
        ("{", "EOF"),
        ("", "an object"),
        ("[]", "an object"),
        ("null", "an object"),
        (r#"{"knobs":{"class":"quick"}}"#, "quick"),
        (r#"{"knob":{}}"#, "unknown field"),
    ] {
        let answer = api.send("PUT", "/v1/tree/services/new", &absent, body);
        assert_eq!(answer.status, 400, "{body}");
        let detail = answer.read::<Problem>().detail;
        assert!(detail.contains(reason), "{detail}");
    }
    assert_eq!(config.version(), before);
}

#[test]
fn an_invalid_node_is_rejected_with_its_faults() {
    let api = Api::start(&FakeConfig::with_tree());
    let absent = [("if-none-match", "*")];
    let answer = api.send("PUT", "/v1/tree/services/none/routes/x", &absent, "{}");
    assert_eq!(answer.status, 422);
    assert!(!answer.read::<Problem>().faults.is_empty());
}

// If the table service is unavailable, nothing was changed; if its answer to the commit was lost,
// the operator has to read the node. The two cases need different answers.
#[test]
fn a_store_outage_and_a_lost_answer_give_different_problems() {
    let config = FakeConfig::with_tree();
    let api = Api::start(&config);
    let etag = api.get(SERVICE).header("etag").to_owned();
    let headers = [("if-match", etag.as_str())];
    config.fail_next(ChangeError::StoreUnavailable);
    let down = api.send("PUT", SERVICE, &headers, r#"{"kind":"model"}"#);
    assert_eq!((down.status, down.header("retry-after")), (503, "5"));
    config.fail_next(ChangeError::Unknown);
    let lost = api.send("PUT", SERVICE, &headers, r#"{"kind":"model"}"#);
    assert_eq!(lost.status, 504);
    assert_eq!(&*lost.read::<Problem>().code, "unknown");
}

#[test]
fn effective_values_name_the_node_that_sets_them() {
    let api = Api::start(&FakeConfig::with_tree());
    let path = "/v1/tree/workspaces/editors/routes/drafts/tags?in-force=true";
    let effective: EffectiveValues = api.get(path).read();
    let value_of = |knob: &str| {
        let found = effective.values.iter().find(|origin| &*origin.knob == knob);
        let origin = found.expect("the value is listed");
        (origin.value.clone(), origin.from.clone())
    };
    let tags = Some("/services/drafts/routes/tags".into());
    assert_eq!(value_of("class"), (json!("background"), tags));
    assert_eq!(value_of("deadline-ms"), (json!(5000), Some("/".into())));
    let editors = Some("/workspaces/editors".into());
    assert_eq!(value_of("max-output"), (json!(900), editors));
    assert_eq!(value_of("idempotent").1, None);
    assert_eq!(api.get("/v1/tree/no/where?in-force=true").status, 404);
}

#[test]
fn a_data_centre_is_taken_out_and_brought_back() {
    let config = FakeConfig::with_tree();
    let api = Api::start(&config);
    for (direction, out) in [("out", true), ("out", true), ("in", false)] {
        let path = format!("/v1/data-centres/north/{direction}");
        assert_eq!(api.send("POST", &path, &[], "").status, 200);
        let node = config.node("/data-centres/north").expect("it is there");
        assert_eq!(node.out, Some(out));
    }
    let answer = api.send("POST", "/v1/data-centres/nrth/out", &[], "");
    assert_eq!(answer.status, 404);
    let detail = answer.read::<Problem>().detail;
    assert!(detail.contains("north, south"), "{detail}");
}

// Another operator brings the data centre back at the same moment. Taking it out must still
// succeed, since the operator who requests it sees requests being sent there.
#[test]
fn taking_a_data_centre_out_succeeds_despite_a_concurrent_change() {
    let config = FakeConfig::with_tree();
    let api = Api::start(&config);
    let before = config.version();
    config.write_before_next("/data-centres/north", node(json!({"out": false})));
    let answer = api.send("POST", "/v1/data-centres/north/out", &[], "");
    assert_eq!(answer.status, 200, "{}", answer.text);
    let after = config.node("/data-centres/north").expect("it is there");
    assert_eq!(after.out, Some(true));
    assert_eq!(config.version(), before + 2);
}

// The table service may be unavailable together with a data centre. The operator must still be able
// to take the data centre out, and see that this is not committed and which instances lack it.
#[test]
fn an_override_takes_a_data_centre_out_without_a_commit() {
    let config = FakeConfig::with_tree();
    let api = Api::start(&config);
    let before = config.version();
    let path = "/v1/data-centres/north/override";
    let answer = api.send("PUT", path, &[("from", "mona")], r#"{"minutes":30}"#);
    let outcome: OverrideOutcome = answer.read();
    assert!(outcome.out);
    assert_eq!(outcome.seconds_left, 1800);
    assert_eq!(outcome.unanswered_by, vec!["entry-2".into()]);
    let status: Status = api.get("/v1/status").read();
    assert_eq!(&*status.overrides[0].who, "mona");
    assert_eq!(config.version(), before);

    let withdrawn: OverrideOutcome = api.send("DELETE", path, &[], "").read();
    assert!(!withdrawn.out);
    let status: Status = api.get("/v1/status").read();
    assert!(status.overrides.is_empty());
}

#[test]
fn an_override_with_an_invalid_duration_is_rejected() {
    let api = Api::start(&FakeConfig::with_tree());
    let path = "/v1/data-centres/north/override";
    for body in [
        r#"{"minutes":0}"#,
        r#"{"minutes":61}"#,
        r#"{"hours":1}"#,
        "{}",
    ] {
        assert_eq!(api.send("PUT", path, &[], body).status, 400, "{body}");
    }
    let unknown = "/v1/data-centres/nrth/override";
    assert_eq!(
        api.send("PUT", unknown, &[], r#"{"minutes":5}"#).status,
        404
    );
}

#[test]
fn only_the_differing_nodes_of_a_document_are_written() {
    let config = FakeConfig::with_tree();
    let api = Api::start(&config);
    let mut document: Document = api.get("/v1/tree").read();
    let before = config.version();
    document
        .nodes
        .insert("/data-centres/west".into(), Node::default());
    let body = serde_json::to_string(&document).expect("JSON");
    let outcome: DocumentOutcome = api.send("PUT", "/v1/tree", &[], &body).read();
    assert_eq!(outcome.written, vec!["/data-centres/west".into()]);
    assert_eq!(outcome.unchanged.len(), document.nodes.len() - 1);
    assert_eq!(outcome.version, before + 1);
}

#[test]
fn a_document_with_faults_changes_nothing() {
    let config = FakeConfig::with_tree();
    let api = Api::start(&config);
    let before = config.version();
    let body = r#"{"nodes":{"/data-centres/west":{},"/services/none/routes/x":{},"/oops":{}}}"#;
    let validation: ValidationResult = api.send("POST", "/v1/validate", &[], body).read();
    assert!(!validation.valid);
    assert!(validation.faults.len() >= 2, "{:?}", validation.faults);
    assert_eq!(api.send("PUT", "/v1/tree", &[], body).status, 422);
    assert_eq!(config.version(), before);
    let good = r#"{"nodes":{"/data-centres/west":{}}}"#;
    let validation: ValidationResult = api.send("POST", "/v1/validate", &[], good).read();
    assert!(validation.valid, "{:?}", validation.faults);
    assert_eq!(config.version(), before);
}

// If the table service becomes unavailable while a document is written, the operator must see that
// a part was written, and sending the same document again must write the rest.
#[test]
fn an_interrupted_document_is_completed_by_sending_it_again() {
    let config = FakeConfig::with_tree();
    let api = Api::start(&config);
    let body = r#"{"nodes":{"/data-centres/east":{},"/data-centres/west":{}}}"#;
    config.fail_next(ChangeError::StoreUnavailable);
    let answer = api.send("PUT", "/v1/tree", &[], body);
    assert_eq!(answer.status, 503);
    let detail = answer.read::<Problem>().detail;
    assert!(detail.contains("0 nodes were written before"), "{detail}");
    let outcome: DocumentOutcome = api.send("PUT", "/v1/tree", &[], body).read();
    assert_eq!(outcome.written.len(), 2);
}

#[test]
fn the_tree_is_unavailable_before_the_first_configuration() {
    let api = Api::start(&std::sync::Arc::default());
    assert_eq!(api.get("/v1/tree").status, 503);
    assert_eq!(api.get("/v1/tree/?in-force=true").status, 503);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: proptest::test_runner::RngSeed::Fixed(8),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // A write to an invalid path gets a 4xx status and leaves the tree unchanged, whatever its
    // body.
    #[test]
    fn random_bodies_are_rejected(body in ".{0,200}") {
        let config = FakeConfig::with_tree();
        let api = Api::start(&config);
        let before = config.version();
        let answer = api.send("PUT", "/v1/tree/no/where", &[("if-none-match", "*")], &body);
        prop_assert!((400..500).contains(&answer.status), "{}", answer.status);
        prop_assert_eq!(config.version(), before);
    }
}
