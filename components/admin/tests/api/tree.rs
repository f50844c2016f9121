//! Reading and changing the configuration tree.

use crate::support::{Api, FakeConfig};
use ::tree::Node;
use admin::{
    message::{
        Accepted, Document, DocumentOutcome, InForceValues, Overridden, Status, Verdict, Written,
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
fn a_node_is_read_changed_and_deleted_by_its_etag() {
    let config = FakeConfig::with_tree();
    let api = Api::start(&config);
    let read = api.get(SERVICE);
    let written: Written = read.read();
    let etag = read.header("etag").to_owned();
    assert_eq!(etag, format!("\"{}\"", written.version.expect("a version")));

    let body = r#"{"kind":"model","knobs":{"class":"urgent"}}"#;
    let headers = [("if-match", etag.as_str()), ("from", "mona")];
    let answer = api.ask("PUT", SERVICE, &headers, body);
    assert_eq!(answer.status, 200, "{}", answer.text);
    let accepted: Accepted = answer.read();
    assert_eq!(accepted.version, config.version());
    assert_eq!(api.get(SERVICE).header("etag"), answer.header("etag"));

    let history: Vec<HistoryEntry> = api.get("/v1/history?limit=1").read();
    assert_eq!(history[0].version, accepted.version);
    assert_eq!(&*history[0].change.operator, "mona");

    let route = format!("{SERVICE}/routes/tags");
    let etag = api.get(&route).header("etag").to_owned();
    let answer = api.ask("DELETE", &route, &[("if-match", &etag)], "");
    assert_eq!(answer.status, 200, "{}", answer.text);
    assert_eq!(api.get(&route).status, 404);
}

// Two operators read the same node and both change it. The second must not undo the first one's
// change without knowing: it is told so, and what the node is now.
#[test]
fn the_second_of_two_racing_changes_gets_a_conflict_that_shows_the_node() {
    let config = FakeConfig::with_tree();
    let api = Api::start(&config);
    let etag = api.get(SERVICE).header("etag").to_owned();
    let headers = [("if-match", etag.as_str())];
    let first = r#"{"kind":"model","knobs":{"class":"urgent"}}"#;
    let second = r#"{"kind":"model","knobs":{"class":"background"}}"#;
    assert_eq!(api.ask("PUT", SERVICE, &headers, first).status, 200);
    let answer = api.ask("PUT", SERVICE, &headers, second);
    assert_eq!(answer.status, 412);
    let now = answer.read::<Problem>().now.expect("what it is now");
    assert_eq!(now.version, Some(config.version()));
    assert_eq!(
        now.node,
        Some(node(serde_json::from_str(first).expect("JSON")))
    );
}

#[test]
fn a_new_node_is_made_only_where_none_is() {
    let api = Api::start(&FakeConfig::with_tree());
    let path = "/v1/tree/data-centres/west";
    let absent = [("if-none-match", "*")];
    assert_eq!(api.ask("PUT", path, &absent, "{}").status, 200);
    assert_eq!(api.ask("PUT", path, &absent, "{}").status, 412);
}

#[test]
fn a_change_without_a_readable_precondition_is_refused() {
    let config = FakeConfig::with_tree();
    let api = Api::start(&config);
    let before = config.version();
    assert_eq!(api.ask("PUT", SERVICE, &[], "{}").status, 428);
    for headers in [
        vec![("if-match", "7")],
        vec![("if-match", "\"x\"")],
        vec![("if-match", "*")],
        vec![("if-none-match", "\"7\"")],
        vec![("if-match", "\"7\""), ("if-none-match", "*")],
    ] {
        let answer = api.ask("PUT", SERVICE, &headers, "{}");
        assert_eq!(answer.status, 400, "{headers:?}");
    }
    assert_eq!(config.version(), before);
}

#[test]
fn a_body_that_is_no_node_is_refused_with_what_is_wrong() {
    let config = FakeConfig::with_tree();
    let api = Api::start(&config);
    let before = config.version();
    let absent = [("if-none-match", "*")];
    for (body, told) in [
        ("{", "EOF"),
        ("", "an object"),
        ("[]", "an object"),
        ("null", "an object"),
        (r#"{"knobs":{"class":"quick"}}"#, "quick"),
        (r#"{"knob":{}}"#, "unknown field"),
    ] {
        let answer = api.ask("PUT", "/v1/tree/services/new", &absent, body);
        assert_eq!(answer.status, 400, "{body}");
        let detail = answer.read::<Problem>().detail;
        assert!(detail.contains(told), "{detail}");
    }
    assert_eq!(config.version(), before);
}

#[test]
fn a_node_that_does_not_fit_the_tree_is_refused_with_all_faults() {
    let api = Api::start(&FakeConfig::with_tree());
    let absent = [("if-none-match", "*")];
    let answer = api.ask("PUT", "/v1/tree/services/none/routes/x", &absent, "{}");
    assert_eq!(answer.status, 422);
    assert!(!answer.read::<Problem>().faults.is_empty());
}

// The table service is down, or its answer to the commit is lost. The operator must know which:
// in the first case nothing was changed, in the second it has to look.
#[test]
fn a_store_outage_and_a_lost_answer_are_told_apart() {
    let config = FakeConfig::with_tree();
    let api = Api::start(&config);
    let etag = api.get(SERVICE).header("etag").to_owned();
    let headers = [("if-match", etag.as_str())];
    config.fail_next(ChangeError::StoreUnavailable);
    let down = api.ask("PUT", SERVICE, &headers, r#"{"kind":"model"}"#);
    assert_eq!((down.status, down.header("retry-after")), (503, "5"));
    config.fail_next(ChangeError::Unknown);
    let lost = api.ask("PUT", SERVICE, &headers, r#"{"kind":"model"}"#);
    assert_eq!(lost.status, 504);
    assert_eq!(&*lost.read::<Problem>().code, "unknown");
}

#[test]
fn values_in_force_name_the_node_that_wrote_them() {
    let api = Api::start(&FakeConfig::with_tree());
    let path = "/v1/tree/workspaces/editors/routes/drafts/tags?in-force=true";
    let in_force: InForceValues = api.get(path).read();
    let of = |knob: &str| {
        let found = in_force.values.iter().find(|origin| &*origin.knob == knob);
        let origin = found.expect("the value is listed");
        (origin.value.clone(), origin.from.clone())
    };
    let tags = Some("/services/drafts/routes/tags".into());
    assert_eq!(of("class"), (json!("background"), tags));
    assert_eq!(of("deadline-ms"), (json!(5000), Some("/".into())));
    let editors = Some("/workspaces/editors".into());
    assert_eq!(of("max-output"), (json!(900), editors));
    assert_eq!(of("idempotent").1, None);
    assert_eq!(api.get("/v1/tree/no/where?in-force=true").status, 404);
}

#[test]
fn a_data_centre_goes_out_and_comes_back() {
    let config = FakeConfig::with_tree();
    let api = Api::start(&config);
    for (direction, out) in [("out", true), ("out", true), ("in", false)] {
        let path = format!("/v1/data-centres/north/{direction}");
        assert_eq!(api.ask("POST", &path, &[], "").status, 200);
        let node = config.node("/data-centres/north").expect("it is there");
        assert_eq!(node.out, Some(out));
    }
    let answer = api.ask("POST", "/v1/data-centres/nrth/out", &[], "");
    assert_eq!(answer.status, 404);
    let detail = answer.read::<Problem>().detail;
    assert!(detail.contains("north, south"), "{detail}");
}

// Another operator brings the data centre back at the same moment. Taking it out must still
// succeed, since the operator who asks for it sees work going there.
#[test]
fn taking_a_data_centre_out_survives_a_race() {
    let config = FakeConfig::with_tree();
    let api = Api::start(&config);
    let before = config.version();
    config.race_next("/data-centres/north", node(json!({"out": false})));
    let answer = api.ask("POST", "/v1/data-centres/north/out", &[], "");
    assert_eq!(answer.status, 200, "{}", answer.text);
    let after = config.node("/data-centres/north").expect("it is there");
    assert_eq!(after.out, Some(true));
    assert_eq!(config.version(), before + 2);
}

// The table service is down together with a data centre. The operator must be able to keep the
// data centre out all the same, and see that it is not accepted and who has not heard of it.
#[test]
fn a_data_centre_is_kept_out_for_a_time_without_being_accepted() {
    let config = FakeConfig::with_tree();
    let api = Api::start(&config);
    let before = config.version();
    let path = "/v1/data-centres/north/override";
    let answer = api.ask("PUT", path, &[("from", "mona")], r#"{"minutes":30}"#);
    let overridden: Overridden = answer.read();
    assert!(overridden.out);
    assert_eq!(overridden.seconds_left, 1800);
    assert_eq!(overridden.missed, vec!["entry-2".into()]);
    let status: Status = api.get("/v1/status").read();
    assert_eq!(&*status.overrides[0].who, "mona");
    assert_eq!(config.version(), before);

    let withdrawn: Overridden = api.ask("DELETE", path, &[], "").read();
    assert!(!withdrawn.out);
    let status: Status = api.get("/v1/status").read();
    assert!(status.overrides.is_empty());
}

#[test]
fn a_data_centre_is_not_kept_out_for_a_time_out_of_range() {
    let api = Api::start(&FakeConfig::with_tree());
    let path = "/v1/data-centres/north/override";
    for body in [
        r#"{"minutes":0}"#,
        r#"{"minutes":61}"#,
        r#"{"hours":1}"#,
        "{}",
    ] {
        assert_eq!(api.ask("PUT", path, &[], body).status, 400, "{body}");
    }
    let unknown = "/v1/data-centres/nrth/override";
    assert_eq!(api.ask("PUT", unknown, &[], r#"{"minutes":5}"#).status, 404);
}

#[test]
fn a_document_writes_only_the_nodes_that_differ() {
    let config = FakeConfig::with_tree();
    let api = Api::start(&config);
    let mut document: Document = api.get("/v1/tree").read();
    let before = config.version();
    document
        .nodes
        .insert("/data-centres/west".into(), Node::default());
    let body = serde_json::to_string(&document).expect("JSON");
    let outcome: DocumentOutcome = api.ask("PUT", "/v1/tree", &[], &body).read();
    assert_eq!(outcome.written, vec!["/data-centres/west".into()]);
    assert_eq!(outcome.unchanged.len(), document.nodes.len() - 1);
    assert_eq!(outcome.version, before + 1);
}

#[test]
fn a_document_with_a_fault_changes_nothing() {
    let config = FakeConfig::with_tree();
    let api = Api::start(&config);
    let before = config.version();
    let body = r#"{"nodes":{"/data-centres/west":{},"/services/none/routes/x":{},"/oops":{}}}"#;
    let verdict: Verdict = api.ask("POST", "/v1/validate", &[], body).read();
    assert!(!verdict.valid);
    assert!(verdict.faults.len() >= 2, "{:?}", verdict.faults);
    assert_eq!(api.ask("PUT", "/v1/tree", &[], body).status, 422);
    assert_eq!(config.version(), before);
    let good = r#"{"nodes":{"/data-centres/west":{}}}"#;
    let verdict: Verdict = api.ask("POST", "/v1/validate", &[], good).read();
    assert!(verdict.valid, "{:?}", verdict.faults);
    assert_eq!(config.version(), before);
}

// The table service goes down in the middle of a document. The operator must know that a part
// was written, and the same document sent again must finish the rest.
#[test]
fn a_document_that_broke_off_is_finished_by_sending_it_again() {
    let config = FakeConfig::with_tree();
    let api = Api::start(&config);
    let body = r#"{"nodes":{"/data-centres/east":{},"/data-centres/west":{}}}"#;
    config.fail_next(ChangeError::StoreUnavailable);
    let answer = api.ask("PUT", "/v1/tree", &[], body);
    assert_eq!(answer.status, 503);
    let detail = answer.read::<Problem>().detail;
    assert!(detail.contains("0 nodes were written before"), "{detail}");
    let outcome: DocumentOutcome = api.ask("PUT", "/v1/tree", &[], body).read();
    assert_eq!(outcome.written.len(), 2);
}

#[test]
fn before_the_first_configuration_the_tree_can_not_be_read() {
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

    // Whatever an operator or a broken tool sends as a body, the answer is a 4xx and the tree is
    // what it was.
    #[test]
    fn no_body_breaks_the_api(body in ".{0,200}") {
        let config = FakeConfig::with_tree();
        let api = Api::start(&config);
        let before = config.version();
        let answer = api.ask("PUT", "/v1/tree/no/where", &[("if-none-match", "*")], &body);
        prop_assert!((400..500).contains(&answer.status), "{}", answer.status);
        prop_assert_eq!(config.version(), before);
    }
}
