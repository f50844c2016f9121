//! Compares the OpenAPI description, `docs/admin-api.yml`, with the code.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::Path,
};

use admin::{
    message::{
        Accepted, Document, DocumentOutcome, EffectiveValues, OverrideOutcome, OverrideRequest,
        OverrideView, Ready, Status, ValidationResult, WrittenNode,
    },
    problem::{CurrentNode, Problem},
    route::{ROUTES, Route},
};
use config::{Change, Fault, HistoryEntry};
use hyper::Method;
use serde::Serialize;
use serde_json::Value;
use tree::{Knobs, Node, Origin};

const METHODS: [&str; 4] = ["get", "put", "delete", "post"];

fn document() -> Value {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/admin-api.yml");
    let text = fs::read_to_string(path).expect("the OpenAPI file");
    serde_saphyr::from_str(&text).expect("valid YAML")
}

fn keys(value: &Value) -> BTreeSet<String> {
    let object = value.as_object().expect("an object");
    object.keys().cloned().collect()
}

fn described_routes() -> BTreeSet<(String, String)> {
    let document = document();
    let paths = document["paths"].as_object().expect("paths");
    let mut all = BTreeSet::new();
    for (path, item) in paths {
        for method in METHODS {
            if item.get(method).is_some() {
                all.insert((method.to_owned(), path.clone()));
            }
        }
    }
    all
}

#[test]
fn the_description_lists_exactly_the_routes() {
    let served = ROUTES
        .iter()
        .map(|(method, path)| ((*method).to_owned(), (*path).to_owned()))
        .collect();
    assert_eq!(described_routes(), served);
}

#[test]
fn only_the_listed_methods_of_a_path_are_served() {
    let listed: BTreeSet<(&str, &str)> = ROUTES.iter().copied().collect();
    for (_, path) in ROUTES {
        for method in METHODS {
            let concrete_path = path
                .replace("{path}", "services/drafts")
                .replace("{id}", "north");
            let verb = Method::from_bytes(method.to_uppercase().as_bytes()).expect("a method");
            let found = Route::find(&verb, &concrete_path);
            assert_eq!(
                found.is_ok(),
                listed.contains(&(method, path)),
                "{method} {path}"
            );
        }
    }
}

#[test]
fn the_description_marks_the_routes_without_a_key() {
    let document = document();
    for (method, path) in ROUTES {
        let verb = Method::from_bytes(method.to_uppercase().as_bytes()).expect("a method");
        let is_public = Route::find(&verb, path).expect("a route").is_public();
        let security = &document["paths"][path][method]["security"];
        assert_eq!(
            security.as_array().is_some_and(Vec::is_empty),
            is_public,
            "{path}"
        );
    }
}

/// The names of a message's fields in JSON.
fn field_names(message: &impl Serialize) -> BTreeSet<String> {
    keys(&serde_json::to_value(message).expect("JSON"))
}

fn full_node() -> Node {
    Node {
        knobs: Knobs::defaults(),
        kind: Some(types::ServiceKind::Plain),
        model: Some("m".into()),
        method: Some("GET".into()),
        path: Some("/x".into()),
        key_hashes: vec!["h".into()],
        out: Some(false),
    }
}

fn full_problem() -> Problem {
    let fault = Fault {
        path: "/".into(),
        problem: "".into(),
        expected: "".into(),
    };
    Problem::new(412, "conflict", "", "")
        .with_faults(vec![fault])
        .with_now(CurrentNode {
            version: Some(1),
            node: Some(full_node()),
        })
}

fn change() -> Change {
    Change {
        path: "/".into(),
        node: Some(full_node()),
        expected_version: None,
        operator: "".into(),
    }
}

/// The names of the fields of every message of the API, by the name of its schema.
fn messages() -> BTreeMap<&'static str, BTreeSet<String>> {
    let problem = full_problem();
    let status = Status {
        instance: "".into(),
        data_centre: "".into(),
        program: "".into(),
        ready: true,
        reason: None,
        config_version: None,
        out: Vec::new(),
        overrides: Vec::new(),
    };
    let view = OverrideView {
        data_centre: "".into(),
        who: "".into(),
        seconds_left: 0,
    };
    let override_outcome = OverrideOutcome {
        data_centre: "".into(),
        out: true,
        seconds_left: 0,
        accepted_by: Vec::new(),
        unanswered_by: Vec::new(),
    };
    let written = WrittenNode {
        path: "/".into(),
        version: None,
        node: full_node(),
    };
    let origin = Origin {
        knob: "class".into(),
        value: Value::Null,
        from: None,
    };
    let effective = EffectiveValues {
        path: "/".into(),
        version: 1,
        values: Vec::new(),
    };
    let document = Document {
        version: Some(1),
        nodes: BTreeMap::new(),
    };
    let entry = HistoryEntry {
        version: 1,
        at: std::time::SystemTime::UNIX_EPOCH,
        change: change(),
        id: "".into(),
    };
    let validation = ValidationResult {
        valid: true,
        faults: Vec::new(),
    };
    let ready = Ready {
        ready: true,
        reason: None,
    };
    BTreeMap::from([
        ("Accepted", field_names(&Accepted { version: 1 })),
        ("Change", field_names(&change())),
        ("Document", field_names(&document)),
        ("DocumentOutcome", field_names(&DocumentOutcome::default())),
        ("Entry", field_names(&entry)),
        ("Fault", field_names(&problem.faults[0])),
        ("InForceValues", field_names(&effective)),
        ("Knobs", field_names(&Knobs::defaults())),
        ("Node", field_names(&full_node())),
        ("Origin", field_names(&origin)),
        ("Overridden", field_names(&override_outcome)),
        ("OverrideAsk", field_names(&OverrideRequest { minutes: 1 })),
        ("OverrideView", field_names(&view)),
        ("Problem", field_names(&problem)),
        ("Ready", field_names(&ready)),
        ("Status", field_names(&status)),
        ("Verdict", field_names(&validation)),
        ("Written", field_names(&written)),
    ])
}

#[test]
fn the_schemas_have_the_fields_of_the_messages() {
    let document = document();
    let schemas = &document["components"]["schemas"];
    let described: BTreeMap<String, BTreeSet<String>> = schemas
        .as_object()
        .expect("schemas")
        .iter()
        .map(|(name, schema)| (name.clone(), keys(&schema["properties"])))
        .collect();
    let sent = messages()
        .into_iter()
        .map(|(name, fields)| (name.to_owned(), fields))
        .collect();
    assert_eq!(described, sent);
}

#[test]
fn every_reference_of_the_description_resolves() {
    let document = document();
    let mut references = Vec::new();
    collect_references(&document, &mut references);
    assert!(!references.is_empty());
    for reference in references {
        let pointer = reference.strip_prefix('#').expect("a local reference");
        assert!(document.pointer(pointer).is_some(), "{reference}");
    }
}

fn collect_references(value: &Value, references: &mut Vec<String>) {
    match value {
        Value::Object(map) => {
            for (name, inner) in map {
                match (name.as_str(), inner.as_str()) {
                    ("$ref", Some(text)) => references.push(text.to_owned()),
                    _ => collect_references(inner, references),
                }
            }
        }
        Value::Array(list) => list
            .iter()
            .for_each(|inner| collect_references(inner, references)),
        _ => {}
    }
}
