//! `docs/admin-api.yml` against the code.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::Path,
};

use admin::{
    message::{
        Accepted, Document, DocumentOutcome, InForceValues, Overridden, OverrideAsk, OverrideView,
        Ready, Status, Verdict, Written,
    },
    problem::{Now, Problem},
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

fn described() -> BTreeSet<(String, String)> {
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
fn the_file_describes_the_routes_and_no_others() {
    let served = ROUTES
        .iter()
        .map(|(method, path)| ((*method).to_owned(), (*path).to_owned()))
        .collect();
    assert_eq!(described(), served);
}

#[test]
fn each_listed_route_is_served_and_its_other_methods_are_not() {
    let listed: BTreeSet<(&str, &str)> = ROUTES.iter().copied().collect();
    for (_, path) in ROUTES {
        for method in METHODS {
            let real = path
                .replace("{path}", "services/drafts")
                .replace("{id}", "north");
            let verb = Method::from_bytes(method.to_uppercase().as_bytes()).expect("a method");
            let found = Route::find(&verb, &real);
            assert_eq!(
                found.is_ok(),
                listed.contains(&(method, path)),
                "{method} {path}"
            );
        }
    }
}

#[test]
fn the_file_says_which_routes_need_no_key() {
    let document = document();
    for (method, path) in ROUTES {
        let verb = Method::from_bytes(method.to_uppercase().as_bytes()).expect("a method");
        let open = Route::find(&verb, path).expect("a route").is_open();
        let written = &document["paths"][path][method]["security"];
        assert_eq!(
            written.as_array().is_some_and(Vec::is_empty),
            open,
            "{path}"
        );
    }
}

/// Names of a message's fields as they are sent.
fn fields(message: &impl Serialize) -> BTreeSet<String> {
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
        .with_now(Now {
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

/// The fields of every message of the API, by the name of its schema.
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
    let overridden = Overridden {
        data_centre: "".into(),
        out: true,
        seconds_left: 0,
        taken: Vec::new(),
        missed: Vec::new(),
    };
    let written = Written {
        path: "/".into(),
        version: None,
        node: full_node(),
    };
    let origin = Origin {
        knob: "class".into(),
        value: Value::Null,
        from: None,
    };
    let in_force = InForceValues {
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
    let verdict = Verdict {
        valid: true,
        faults: Vec::new(),
    };
    let ready = Ready {
        ready: true,
        reason: None,
    };
    BTreeMap::from([
        ("Accepted", fields(&Accepted { version: 1 })),
        ("Change", fields(&change())),
        ("Document", fields(&document)),
        ("DocumentOutcome", fields(&DocumentOutcome::default())),
        ("Entry", fields(&entry)),
        ("Fault", fields(&problem.faults[0])),
        ("InForceValues", fields(&in_force)),
        ("Knobs", fields(&Knobs::defaults())),
        ("Node", fields(&full_node())),
        ("Origin", fields(&origin)),
        ("Overridden", fields(&overridden)),
        ("OverrideAsk", fields(&OverrideAsk { minutes: 1 })),
        ("OverrideView", fields(&view)),
        ("Problem", fields(&problem)),
        ("Ready", fields(&ready)),
        ("Status", fields(&status)),
        ("Verdict", fields(&verdict)),
        ("Written", fields(&written)),
    ])
}

#[test]
fn the_schemas_have_the_fields_of_the_messages() {
    let document = document();
    let schemas = &document["components"]["schemas"];
    let written: BTreeMap<String, BTreeSet<String>> = schemas
        .as_object()
        .expect("schemas")
        .iter()
        .map(|(name, schema)| (name.clone(), keys(&schema["properties"])))
        .collect();
    let sent = messages()
        .into_iter()
        .map(|(name, fields)| (name.to_owned(), fields))
        .collect();
    assert_eq!(written, sent);
}

#[test]
fn every_reference_in_the_file_leads_somewhere() {
    let document = document();
    let mut references = Vec::new();
    gather(&document, &mut references);
    assert!(!references.is_empty());
    for reference in references {
        let pointer = reference.strip_prefix('#').expect("a local reference");
        assert!(document.pointer(pointer).is_some(), "{reference}");
    }
}

fn gather(value: &Value, references: &mut Vec<String>) {
    match value {
        Value::Object(map) => {
            for (name, inner) in map {
                match (name.as_str(), inner.as_str()) {
                    ("$ref", Some(text)) => references.push(text.to_owned()),
                    _ => gather(inner, references),
                }
            }
        }
        Value::Array(list) => list.iter().for_each(|inner| gather(inner, references)),
        _ => {}
    }
}
