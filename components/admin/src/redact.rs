//! Redaction of secrets from state dumps.

use serde_json::Value;

/// Substrings of the names of fields that may hold a secret or a customer's text.
const SECRET_SUBSTRINGS: [&str; 7] = [
    "authorization",
    "body",
    "hash",
    "password",
    "prompt-text",
    "secret",
    "token-text",
];
/// Names of fields that hold a secret.
const SECRET_NAMES: [&str; 3] = ["key", "keys", "token"];
/// Replacement for a secret value.
const REDACTED: &str = "(hidden)";

/// Replaces the values of all fields whose names suggest a secret.
///
/// Dumps are attached to tickets and chats. Components must not put secrets into their state; this
/// filter catches one that does, which would otherwise go unnoticed until a secret is misused.
pub fn redact(value: &mut Value) {
    match value {
        Value::Object(map) => {
            for (name, inner) in map.iter_mut() {
                if is_secret(name) {
                    *inner = Value::from(REDACTED);
                } else {
                    redact(inner);
                }
            }
        }
        Value::Array(list) => list.iter_mut().for_each(redact),
        _ => {}
    }
}

fn is_secret(name: &str) -> bool {
    let name = name.to_lowercase().replace('_', "-");
    let by_substring = SECRET_SUBSTRINGS.iter().any(|part| name.contains(part));
    by_substring || SECRET_NAMES.contains(&name.as_str())
}
