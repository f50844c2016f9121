//! Validation of a parsed document against the table of keys. All faults are collected in one
//! pass, so that an operator can fix them together.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::{
    fault::Fault,
    keys::{self, Key, Presence, SECTIONS, Section, ValueKind},
    yaml::{Position, YamlEntry, YamlNode, YamlValue},
};

/// Length of a SHA-256 hash in hexadecimal digits.
const HASH_DIGITS: usize = 64;
/// Maximum length of the name of an instance or a data centre, in bytes.
const MAX_NAME_LEN: usize = 100;
/// Keys of the section `instance` whose value is a listen address.
const LISTEN_KEYS: [&str; 3] = ["listen", "admin", "peer"];

/// Returns all faults of a document in the order of the file.
#[must_use]
pub fn check(document: &YamlNode) -> Vec<Fault> {
    let mut faults = Vec::new();
    match &document.value {
        YamlValue::Map(entries) => check_sections(document.position, entries, &mut faults),
        other => faults.push(
            Fault::new(
                format!("the file holds {}", other.describe()),
                format!("write the sections {}", section_names()),
            )
            .with_position(document.position),
        ),
    }
    faults.sort_by_key(|fault| fault.position);
    faults
}

fn section_names() -> String {
    let names: Vec<&str> = SECTIONS.iter().map(|section| section.name).collect();
    names.join(", ")
}

fn check_sections(position: Position, entries: &[YamlEntry], faults: &mut Vec<Fault>) {
    for entry in entries {
        match SECTIONS.iter().find(|section| section.name == entry.key) {
            Some(section) => check_section(section, entry, faults),
            None => faults.push(unknown_key(
                &entry.key,
                entry,
                SECTIONS.iter().map(|section| section.name),
            )),
        }
    }
    for section in SECTIONS {
        let is_set = entries.iter().any(|entry| entry.key == section.name);
        if section.required && !is_set {
            let fault = Fault::new("the section is missing", "write it")
                .with_path(section.name)
                .with_position(position);
            faults.push(fault);
        }
    }
}

fn check_section(section: &Section, entry: &YamlEntry, faults: &mut Vec<Fault>) {
    let entries = match &entry.value.value {
        YamlValue::Map(entries) => entries.as_slice(),
        // `log:` with nothing below is an empty section.
        YamlValue::Null => &[],
        other => {
            let problem = format!("this is {}", other.describe());
            let fault = Fault::new(problem, "write keys and values, indented below it")
                .with_path(section.name)
                .with_position(entry.value.position);
            faults.push(fault);
            return;
        }
    };
    for inner in entries {
        let path = format!("{}.{}", section.name, inner.key);
        match keys::in_section(section.name).find(|key| key.name == inner.key) {
            Some(key) => check_value(&path, key, &inner.value, faults),
            None => {
                let known = keys::in_section(section.name).map(|key| key.name);
                faults.push(unknown_key(&path, inner, known));
            }
        }
    }
    check_required_keys(section, entry.position, entries, faults);
    if section.name == "instance" {
        check_listen_addresses(entries, faults);
    }
}

fn check_required_keys(
    section: &Section,
    position: Position,
    entries: &[YamlEntry],
    faults: &mut Vec<Fault>,
) {
    for key in keys::in_section(section.name) {
        let is_set = entries.iter().any(|entry| entry.key == key.name);
        if key.presence == Presence::Required && !is_set {
            let fault = Fault::new("the key is missing", key.kind.expected())
                .with_path(&format!("{}.{}", section.name, key.name))
                .with_position(position);
            faults.push(fault);
        }
    }
}

/// Reports listen addresses that are used twice: the second could not be bound, which would only
/// show when the instance starts.
fn check_listen_addresses(entries: &[YamlEntry], faults: &mut Vec<Fault>) {
    let mut seen: BTreeMap<SocketAddr, &str> = BTreeMap::new();
    for entry in entries {
        let YamlValue::Text(text) = &entry.value.value else {
            continue;
        };
        let Ok(addr) = text.parse::<SocketAddr>() else {
            continue;
        };
        // With port 0 the system assigns each listener a free port.
        if !LISTEN_KEYS.contains(&entry.key.as_str()) || addr.port() == 0 {
            continue;
        }
        if let Some(other) = seen.insert(addr, &entry.key) {
            let problem = format!("{addr} is the address of instance.{other} too");
            let fault = Fault::new(problem, "give each its own port")
                .with_path(&format!("instance.{}", entry.key))
                .with_position(entry.value.position);
            faults.push(fault);
        }
    }
}

fn unknown_key(path: &str, entry: &YamlEntry, known: impl Iterator<Item = &'static str>) -> Fault {
    let known: Vec<&str> = known.collect();
    let normalized = entry.key.replace('_', "-").to_lowercase();
    let expected = match known.iter().find(|name| **name == normalized) {
        Some(name) => format!("write {name}"),
        None => format!("known here are {}", known.join(", ")),
    };
    Fault::new("there is no such key", expected)
        .with_path(path)
        .with_position(entry.position)
}

fn check_value(path: &str, key: &Key, value: &YamlNode, faults: &mut Vec<Fault>) {
    if let (ValueKind::Hashes, YamlValue::List(items)) = (key.kind, &value.value) {
        for (index, item) in items.iter().enumerate() {
            let path = format!("{path}[{index}]");
            let problem = hash_problem(&item.value);
            faults.extend(problem.map(|problem| value_fault(&path, key, &problem, item.position)));
        }
        return;
    }
    if let Some(problem) = value_problem(key.kind, &value.value) {
        faults.push(value_fault(path, key, &problem, value.position));
    }
}

fn hash_problem(value: &YamlValue) -> Option<String> {
    match value {
        YamlValue::Text(text) if is_hash(text) => None,
        // YAML reads a hash that has digits only, or digits and one `e`, as a number.
        YamlValue::Int(_) | YamlValue::Float(_) => Some(missing_quotes(value)),
        _ => Some("this is not a SHA-256 hash".to_owned()),
    }
}

fn missing_quotes(value: &YamlValue) -> String {
    format!("this is {}, put quotes around it", value.describe())
}

fn value_fault(path: &str, key: &Key, problem: &str, position: Position) -> Fault {
    Fault::new(problem, key.kind.expected())
        .with_path(path)
        .with_position(position)
}

/// Returns what is wrong with a value, or `None` if it is valid. Secrets are not repeated, because
/// the fault may end up in a log.
fn value_problem(kind: ValueKind, value: &YamlValue) -> Option<String> {
    match (kind, value) {
        (ValueKind::Int(min, max), YamlValue::Int(number)) => {
            let fits = *number >= i128::from(min) && *number <= i128::from(max);
            (!fits).then(|| format!("{number} is out of range"))
        }
        (ValueKind::Name, YamlValue::Text(text)) => {
            (!is_name(text)).then(|| format!("{text:?} is not a valid name"))
        }
        (ValueKind::Addr, YamlValue::Text(text)) => {
            let invalid = text.parse::<SocketAddr>().is_err();
            invalid.then(|| format!("{text:?} is not a valid listen address"))
        }
        (ValueKind::Url, YamlValue::Text(text)) => {
            (!is_url(text)).then(|| format!("{text:?} is not a valid service address"))
        }
        (ValueKind::Secret(min), YamlValue::Text(text)) => {
            let length = text.chars().count();
            (length < min).then(|| format!("the text has only {length} characters"))
        }
        (ValueKind::OneOf(words), YamlValue::Text(text)) => {
            let known = words.contains(&text.as_str());
            (!known).then(|| format!("{text:?} is not a known value"))
        }
        (
            ValueKind::Name | ValueKind::Secret(_),
            YamlValue::Int(_) | YamlValue::Float(_) | YamlValue::Bool(_),
        ) => Some(format!(
            "this is {}, put quotes around it",
            value.describe()
        )),
        _ => Some(format!("this is {}", value.describe())),
    }
}

fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !text.is_empty() && text.len() <= MAX_NAME_LEN && text.chars().all(allowed)
}

/// Whether a text is `http://IP:PORT`. Host names are rejected, because they are never resolved.
fn is_url(text: &str) -> bool {
    let Some(rest) = text.strip_prefix("http://") else {
        return false;
    };
    let addr = rest.trim_end_matches('/');
    addr.parse::<SocketAddr>().is_ok()
}

fn is_hash(text: &str) -> bool {
    text.len() == HASH_DIGITS && text.chars().all(|c| c.is_ascii_hexdigit())
}
