//! The encoding in which instances send each other the configuration.

use std::collections::BTreeMap;

use config::{HistoryEntry, Update};
use tree::{Knobs, Node, Snapshot};
use types::Class;

use crate::common::change;

/// A node that omits most values, among them some that precede the ones it sets.
fn sparse() -> Node {
    Node {
        knobs: Knobs {
            class: Some(Class::Urgent),
            max_output: Some(77),
            memory: Some(5),
            ..Knobs::default()
        },
        method: Some("POST".into()),
        out: Some(true),
        ..Node::default()
    }
}

// Messages between instances are encoded without field names, and a node omits the values that it
// does not set. Decoded by position, the limit of output tokens would become the deadline, on the
// receiving instance only.
#[test]
fn a_node_that_leaves_values_out_arrives_as_it_was_sent() {
    let entry = HistoryEntry {
        version: 3,
        at: std::time::SystemTime::UNIX_EPOCH,
        change: change("/services/s", Some(sparse()), Some(2)),
        id: "id".into(),
    };
    let nodes = BTreeMap::from([("/services/s".into(), sparse())]);
    let changed = BTreeMap::from([("/services/s".into(), 3)]);
    let tree = Update::Full(Snapshot { version: 3, nodes }, changed);
    for update in [Update::Changes(vec![entry]), tree] {
        let sent = rmp_serde::to_vec(&update).expect("it can be encoded");
        let arrived: Update = rmp_serde::from_slice(&sent).expect("it is well formed");
        let text = |update: &Update| serde_json::to_string(update).expect("it can be encoded");
        assert_eq!(text(&arrived), text(&update));
    }
}

#[test]
fn an_update_that_makes_no_sense_is_an_error() {
    for text in [
        "",
        "{}",
        "null",
        r#"{"Changes":[{}]}"#,
        r#"{"Whole":[{"version":-1,"nodes":{}},{}]}"#,
    ] {
        let sent = rmp_serde::to_vec(text).expect("it can be encoded");
        let read: Result<Update, _> = rmp_serde::from_slice(&sent);
        assert!(read.is_err(), "{text}");
    }
}
