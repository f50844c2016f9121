//! Validation reports all faults of a tree at once, each with its path and what would be valid.

use tree::{Document, Snapshot, check};

fn faults(yaml: &str) -> Vec<String> {
    let document: Document = serde_saphyr::from_str(yaml).expect("it is well formed");
    let snapshot = Snapshot {
        version: 1,
        nodes: document.nodes,
    };
    let all = check(&snapshot);
    for fault in &all {
        assert!(
            !fault.problem.is_empty() && !fault.expected.is_empty(),
            "{fault}"
        );
    }
    all.iter().map(|fault| fault.path.to_string()).collect()
}

#[test]
fn every_fault_is_reported_with_its_path() {
    let found = faults(
        r#"
nodes:
  /nowhere: {}
  /services/-x: {}
  /services/a: {out: true, knobs: {deadline-ms: 0, cold-limit: 9, warm-limit: 3}}
  /services/a/routes/r: {path: /x}
  /services/b: {kind: plain, key-hashes: [00]}
  /services/b/routes/r: {path: x, method: get}
  /services/c/routes/r: {}
  /workspaces/w: {key-hashes: [not-a-hash], model: m}
  /workspaces/w/routes/a/unknown: {}
  /workspaces/v/routes/a/r: {}
  /data-centres/d: {knobs: {memory: 5}, kind: plain}
"#,
    );
    let expected = [
        "/data-centres/d#kind",
        "/data-centres/d#knobs",
        "/nowhere",
        "/services/-x",
        "/services/a#out",
        "/services/a#knobs/deadline-ms",
        "/services/a#knobs/cold-limit",
        "/services/a/routes/r#path",
        "/services/a/routes/r#knobs/cold-limit",
        "/services/b#key-hashes",
        "/services/b#key-hashes/0",
        "/services/b/routes/r#method",
        "/services/b/routes/r#path",
        "/services/c/routes/r",
        "/workspaces/v/routes/a/r",
        "/workspaces/v/routes/a/r#knobs/cold-limit",
        "/workspaces/w#model",
        "/workspaces/w#key-hashes/0",
        "/workspaces/w/routes/a/unknown",
        "/workspaces/w/routes/a/unknown#knobs/cold-limit",
    ];
    assert_eq!(found, expected);
}

// Two workspaces with one key, two services with one model name, two routes with one path: it would
// be undefined which of the two serves a request.
#[test]
fn uniqueness_is_checked_across_the_whole_tree() {
    let hash = "ab".repeat(32);
    let yaml = format!(
        r#"
nodes:
  /services/a: {{model: m}}
  /services/m: {{}}
  /services/p: {{kind: plain}}
  /services/p/routes/r: {{path: /x, method: GET}}
  /services/q: {{kind: plain}}
  /services/q/routes/other: {{path: /x}}
  /services/q/routes/r: {{path: /x, method: GET}}
  /workspaces/v: {{key-hashes: [{hash}]}}
  /workspaces/w: {{key-hashes: [{}]}}
"#,
        hash.to_uppercase()
    );
    let expected = [
        "/workspaces/w#key-hashes",
        "/services/m#model",
        "/services/q/routes/r#path",
    ];
    assert_eq!(faults(&yaml), expected);
}

// An operator pastes a key where its hash belongs. The message is shown in logs and on screens, so
// it must not contain the text.
#[test]
fn a_key_pasted_by_mistake_is_not_shown() {
    let yaml = "nodes: {/workspaces/w: {key-hashes: [my-secret-key]}}";
    let document: Document = serde_saphyr::from_str(yaml).expect("it is well formed");
    let snapshot = Snapshot {
        version: 1,
        nodes: document.nodes,
    };
    let messages: Vec<String> = check(&snapshot).iter().map(ToString::to_string).collect();
    assert_eq!(messages.len(), 1);
    assert!(!messages[0].contains("my-secret-key"), "{messages:?}");
}

#[test]
fn unknown_fields_are_errors() {
    for yaml in [
        "nodes: {/: {knob: {}}}",
        "nodes: {/: {knobs: {deadline: 1}}}",
        "node: {}",
        "nodes: {/: {knobs: {class: fast}}}",
    ] {
        let read: Result<Document, _> = serde_saphyr::from_str(yaml);
        assert!(read.is_err(), "{yaml}");
    }
}
