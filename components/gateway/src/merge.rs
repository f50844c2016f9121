//! Putting the changes of a streamed chat message together.

use serde_json::{Map, Value};

/// Fields that name something: a repeat of one replaces it.
const NAMES: [&str; 3] = ["id", "role", "type"];

/// Adds what one event says about a message to what the ones before said. Texts go on, lists
/// grow by the `index` of their parts, names and numbers are replaced.
pub fn merge(into: &mut Map<String, Value>, from: Map<String, Value>) {
    for (name, new) in from {
        if new.is_null() {
            continue;
        }
        let old = into.entry(name.as_str()).or_insert(Value::Null);
        match (old, new) {
            (Value::String(old), Value::String(new)) if !NAMES.contains(&name.as_str()) => {
                old.push_str(&new);
            }
            (Value::Object(old), Value::Object(new)) => merge(old, new),
            (Value::Array(old), Value::Array(new)) => merge_list(old, new),
            (old, new) => *old = new,
        }
    }
}

fn merge_list(into: &mut Vec<Value>, from: Vec<Value>) {
    for new in from {
        let index = new.get("index").cloned();
        let same = |old: &&mut Value| index.is_some() && old.get("index") == index.as_ref();
        match (into.iter_mut().find(same), new) {
            (Some(Value::Object(old)), Value::Object(new)) => merge(old, new),
            (_, new) => into.push(new),
        }
    }
}
