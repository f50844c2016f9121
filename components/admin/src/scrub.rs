//! The last guard of a dump against secrets.

use serde_json::Value;

/// Parts of field names that may hold a secret or somebody's text.
const SECRET_NAMES: [&str; 7] = [
    "authorization",
    "body",
    "hash",
    "password",
    "prompt-text",
    "secret",
    "token-text",
];
/// Field names that hold a secret.
const SECRET_FIELDS: [&str; 3] = ["key", "keys", "token"];
/// What stands in place of a secret.
const HIDDEN: &str = "(hidden)";

/// Takes the values of fields out that by their names may hold secrets.
///
/// A dump goes into tickets and chats. A part that adds a field with a key to its state would put
/// it there, and nobody would notice before it is misused. So the names are looked at once more
/// on the way out, whatever the parts do.
pub fn scrub(value: &mut Value) {
    match value {
        Value::Object(map) => {
            for (name, inner) in map.iter_mut() {
                if is_secret(name) {
                    *inner = Value::from(HIDDEN);
                } else {
                    scrub(inner);
                }
            }
        }
        Value::Array(list) => list.iter_mut().for_each(scrub),
        _ => {}
    }
}

fn is_secret(name: &str) -> bool {
    let name = name.to_lowercase().replace('_', "-");
    let by_part = SECRET_NAMES.iter().any(|part| name.contains(part));
    by_part || SECRET_FIELDS.contains(&name.as_str())
}
