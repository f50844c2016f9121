//! Effective configuration of requests.

use tree::{Document, EffectiveConfig, Rules, Snapshot, check, origins};
use types::{Class, ServiceKind};

/// Two hashes that differ only in the last digit.
const KEY_A: &str = "aa00000000000000000000000000000000000000000000000000000000000001";
const KEY_B: &str = "aa00000000000000000000000000000000000000000000000000000000000002";

const TREE: &str = r##"
nodes:
  /:
    knobs: {deadline-ms: 1000, retry-percent: 5}
  /data-centres/amman-1: {out: true}
  /data-centres/amman-2: {}
  /services/catalogue:
    model: catalogue-7b
    knobs: {deadline-ms: 2000, max-output: 100}
  /services/catalogue/routes/drafts:
    knobs: {max-output: 5000, class: background}
  /services/viewer: {kind: plain}
  /services/viewer/routes/all: {path: /}
  /services/viewer/routes/play: {path: /play, method: POST, knobs: {class: urgent}}
  /services/viewer/routes/play-any: {path: /play}
  /services/viewer/routes/lists: {path: /play/lists/}
  /workspaces/editors:
    key-hashes: [aa00000000000000000000000000000000000000000000000000000000000001]
    knobs: {in-flight: 7, max-output: 9000}
  /workspaces/editors/routes/catalogue/drafts:
    knobs: {class: normal}
  /workspaces/editors/routes/catalogue/default:
    knobs: {class: urgent}
  /workspaces/viewers:
    key-hashes: [aa00000000000000000000000000000000000000000000000000000000000002]
"##;

fn snapshot() -> Snapshot {
    let document: Document = serde_saphyr::from_str(TREE).expect("the tree is well formed");
    Snapshot {
        version: 3,
        nodes: document.nodes,
    }
}

#[test]
fn a_tree_in_yaml_is_valid_and_effective() {
    let snapshot = snapshot();
    assert_eq!(check(&snapshot), []);
    let rules = Rules::new(&snapshot);
    assert_eq!(rules.version(), 3);
    assert_eq!(rules.data_centres_out(), ["amman-1".into()]);
    assert_eq!(rules.services(), ["catalogue".into(), "viewer".into()]);
}

#[test]
fn a_key_matches_its_own_workspace_only() {
    let rules = Rules::new(&snapshot());
    assert_eq!(rules.workspace(KEY_A).as_deref(), Some("editors"));
    assert_eq!(rules.workspace(KEY_B).as_deref(), Some("viewers"));
    let upper = KEY_A.to_uppercase();
    assert_eq!(rules.workspace(&upper).as_deref(), Some("editors"));
    for wrong in ["", "aa", &KEY_A[1..], "zz00", &KEY_A.replace('1', "3")] {
        assert_eq!(rules.workspace(wrong), None, "{wrong}");
    }
}

#[test]
fn the_most_specific_value_wins() {
    let rules = Rules::new(&snapshot());
    let (editors, viewers) = ("editors".into(), "viewers".into());
    let drafts = rules
        .model(&editors, "catalogue-7b", "drafts")
        .expect("a route");
    assert_eq!(&*drafts.service, "catalogue");
    assert_eq!(drafts.kind, ServiceKind::Model);
    assert_eq!(drafts.knobs.class, Some(Class::Normal));
    assert_eq!(drafts.knobs.deadline_ms, Some(2000));
    assert_eq!(drafts.knobs.max_output, Some(9000));
    assert_eq!(drafts.knobs.in_flight, Some(7));
    assert_eq!(drafts.knobs.retry_percent, Some(5));
    let others = rules
        .model(&viewers, "catalogue-7b", "drafts")
        .expect("a route");
    assert_eq!(others.knobs.class, Some(Class::Background));
    assert_eq!(others.knobs.max_output, Some(5000));
    let default = rules
        .model(&editors, "catalogue-7b", "default")
        .expect("a route");
    assert_eq!(default.knobs.class, Some(Class::Urgent));
}

#[test]
fn unknown_names_have_no_rule() {
    let rules = Rules::new(&snapshot());
    let (editors, unknown) = ("editors".into(), "nobody".into());
    assert_eq!(rules.model(&editors, "catalogue", "default"), None);
    assert_eq!(rules.model(&editors, "catalogue-7b", "unknown"), None);
    assert_eq!(rules.model(&unknown, "catalogue-7b", "default"), None);
    assert_eq!(rules.model(&editors, "viewer", "default"), None);
    assert_eq!(rules.plain(&unknown, "GET", "/play"), None);
    assert_eq!(rules.plain(&editors, "GET", "play"), None);
    assert_eq!(rules.service(&"unknown".into()), None);
}

#[test]
fn the_longest_prefix_wins_and_ends_at_a_segment_boundary() {
    let rules = Rules::new(&snapshot());
    let viewers = "viewers".into();
    let cases = [
        ("POST", "/play", "play"),
        ("POST", "/play?title=1", "play"),
        ("POST", "/play/lists", "play"),
        ("POST", "/play/lists/1", "lists"),
        ("GET", "/play/1", "play-any"),
        ("POST", "/playground", "all"),
        ("GET", "/", "all"),
    ];
    for (method, path, route) in cases {
        let rule = rules.plain(&viewers, method, path).expect("a route");
        assert_eq!(&*rule.route, route, "{method} {path}");
        assert_eq!(rule.kind, ServiceKind::Plain);
    }
}

#[test]
fn every_effective_value_reports_its_origin() {
    let snapshot = snapshot();
    let path = "/workspaces/editors/routes/catalogue/drafts";
    let all = origins(&snapshot, path).expect("a path");
    let from = |knob: &str| {
        let origin = all.iter().find(|o| &*o.knob == knob).expect("a knob");
        origin.from.as_deref().unwrap_or("default").to_owned()
    };
    assert_eq!(from("class"), path);
    assert_eq!(from("max-output"), "/workspaces/editors");
    assert_eq!(from("deadline-ms"), "/services/catalogue");
    assert_eq!(from("retry-percent"), "/");
    assert_eq!(from("memory"), "default");
    assert_eq!(origins(&snapshot, "/nowhere"), None);
}
