//! Merges the deltas of a streamed chat message.

use serde_json::{Map, Value};

/// Text fields that a later delta replaces instead of extending.
const REPLACED_FIELDS: [&str; 3] = ["id", "role", "type"];

/// Merges a delta into a message. Texts are appended, list items are matched by their `index`, and
/// the replaced fields and all other values are overwritten.
pub fn merge(into: &mut Map<String, Value>, from: Map<String, Value>) {
    for (name, new) in from {
        if new.is_null() {
            continue;
        }
        let old = into.entry(name.as_str()).or_insert(Value::Null);
        match (old, new) {
            (Value::String(old), Value::String(new))
                if !REPLACED_FIELDS.contains(&name.as_str()) =>
            {
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
