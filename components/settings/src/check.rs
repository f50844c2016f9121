//! The checking pass: gathers every fault of meaning in one go.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::{
    fault::Fault,
    keys::{self, Key, Kind, Presence, SECTIONS, Section},
    raw::{Place, Raw, RawEntry, RawValue},
};

/// Length of a SHA-256 hash in hexadecimal.
const HASH_DIGITS: usize = 64;
/// Longest name of an instance or a data centre.
const NAME_LIMIT: usize = 100;
/// Keys of `instance` that name an address to listen on.
const LISTENERS: [&str; 3] = ["listen", "admin", "peer"];

/// Lists everything that is wrong with a document, in the order of the file.
#[must_use]
pub fn check(document: &RawValue) -> Vec<Fault> {
    let mut faults = Vec::new();
    match &document.value {
        Raw::Map(entries) => check_sections(document.place, entries, &mut faults),
        other => faults.push(
            Fault::new(
                format!("the file holds {}", other.describe()),
                format!("write the sections {}", section_names()),
            )
            .with_place(document.place),
        ),
    }
    faults.sort_by_key(|fault| fault.place);
    faults
}

fn section_names() -> String {
    let names: Vec<&str> = SECTIONS.iter().map(|section| section.name).collect();
    names.join(", ")
}

fn check_sections(place: Place, entries: &[RawEntry], faults: &mut Vec<Fault>) {
    for entry in entries {
        match SECTIONS.iter().find(|section| section.name == entry.key) {
            Some(section) => check_section(section, entry, faults),
            None => faults.push(unknown(
                &entry.key,
                entry,
                SECTIONS.iter().map(|section| section.name),
            )),
        }
    }
    for section in SECTIONS {
        let written = entries.iter().any(|entry| entry.key == section.name);
        if section.required && !written {
            let fault = Fault::new("the section is missing", "write it")
                .with_path(section.name)
                .with_place(place);
            faults.push(fault);
        }
    }
}

fn check_section(section: &Section, entry: &RawEntry, faults: &mut Vec<Fault>) {
    let entries = match &entry.value.value {
        Raw::Map(entries) => entries.as_slice(),
        // `log:` with nothing below is an empty section.
        Raw::Null => &[],
        other => {
            let what = format!("this is {}", other.describe());
            let fault = Fault::new(what, "write keys and values, indented below it")
                .with_path(section.name)
                .with_place(entry.value.place);
            faults.push(fault);
            return;
        }
    };
    for inner in entries {
        let path = format!("{}.{}", section.name, inner.key);
        match keys::of_section(section.name).find(|key| key.name == inner.key) {
            Some(key) => check_value(&path, key, &inner.value, faults),
            None => {
                let known = keys::of_section(section.name).map(|key| key.name);
                faults.push(unknown(&path, inner, known));
            }
        }
    }
    check_missing(section, entry.place, entries, faults);
    if section.name == "instance" {
        check_listeners(entries, faults);
    }
}

fn check_missing(section: &Section, place: Place, entries: &[RawEntry], faults: &mut Vec<Fault>) {
    for key in keys::of_section(section.name) {
        let written = entries.iter().any(|entry| entry.key == key.name);
        if key.presence == Presence::Required && !written {
            let fault = Fault::new("the key is missing", key.kind.right())
                .with_path(&format!("{}.{}", section.name, key.name))
                .with_place(place);
            faults.push(fault);
        }
    }
}

/// Two listeners on one address: the second could not be bound, which would only show at start.
fn check_listeners(entries: &[RawEntry], faults: &mut Vec<Fault>) {
    let mut seen: BTreeMap<SocketAddr, &str> = BTreeMap::new();
    for entry in entries {
        let Raw::Text(text) = &entry.value.value else {
            continue;
        };
        let Ok(addr) = text.parse::<SocketAddr>() else {
            continue;
        };
        // Port 0 lets the system pick a free one each time.
        if !LISTENERS.contains(&entry.key.as_str()) || addr.port() == 0 {
            continue;
        }
        if let Some(other) = seen.insert(addr, &entry.key) {
            let what = format!("{addr} is the address of instance.{other} too");
            let fault = Fault::new(what, "give each its own port")
                .with_path(&format!("instance.{}", entry.key))
                .with_place(entry.value.place);
            faults.push(fault);
        }
    }
}

fn unknown(path: &str, entry: &RawEntry, known: impl Iterator<Item = &'static str>) -> Fault {
    let known: Vec<&str> = known.collect();
    let plain = entry.key.replace('_', "-").to_lowercase();
    let right = match known.iter().find(|name| **name == plain) {
        Some(name) => format!("write {name}"),
        None => format!("known here are {}", known.join(", ")),
    };
    Fault::new("there is no such key", right)
        .with_path(path)
        .with_place(entry.place)
}

fn check_value(path: &str, key: &Key, value: &RawValue, faults: &mut Vec<Fault>) {
    if let (Kind::Hashes, Raw::List(items)) = (key.kind, &value.value) {
        for (index, item) in items.iter().enumerate() {
            let path = format!("{path}[{index}]");
            let fault = what_is_wrong_with_hash(&item.value);
            faults.extend(fault.map(|what| wrong(&path, key, &what, item.place)));
        }
        return;
    }
    if let Some(what) = what_is_wrong(key.kind, &value.value) {
        faults.push(wrong(path, key, &what, value.place));
    }
}

fn what_is_wrong_with_hash(value: &Raw) -> Option<String> {
    match value {
        Raw::Text(text) if is_hash(text) => None,
        // Some hashes have digits only, or look like a power of ten.
        Raw::Int(_) | Raw::Float(_) => Some(unquoted(value)),
        _ => Some("this is not a SHA-256 hash".to_owned()),
    }
}

fn unquoted(value: &Raw) -> String {
    format!("this is {}, put quotes around it", value.describe())
}

fn wrong(path: &str, key: &Key, what: &str, place: Place) -> Fault {
    Fault::new(what, key.kind.right())
        .with_path(path)
        .with_place(place)
}

/// Tells what is wrong with a value, or nothing. Secret texts are not repeated: the fault may end
/// up in a log.
fn what_is_wrong(kind: Kind, value: &Raw) -> Option<String> {
    match (kind, value) {
        (Kind::Int(least, most), Raw::Int(number)) => {
            let fits = *number >= i128::from(least) && *number <= i128::from(most);
            (!fits).then(|| format!("{number} is out of range"))
        }
        (Kind::Name, Raw::Text(text)) => (!is_name(text)).then(|| format!("{text:?} is no name")),
        (Kind::Addr, Raw::Text(text)) => {
            let wrong = text.parse::<SocketAddr>().is_err();
            wrong.then(|| format!("{text:?} is no address to listen on"))
        }
        (Kind::Url, Raw::Text(text)) => {
            (!is_url(text)).then(|| format!("{text:?} is no address of a service"))
        }
        (Kind::Secret(least), Raw::Text(text)) => {
            let length = text.chars().count();
            (length < least).then(|| format!("the text has only {length} characters"))
        }
        (Kind::OneOf(words), Raw::Text(text)) => {
            let known = words.contains(&text.as_str());
            (!known).then(|| format!("{text:?} is not known"))
        }
        (Kind::Name | Kind::Secret(_), Raw::Int(_) | Raw::Float(_) | Raw::Bool(_)) => Some(
            format!("this is {}, put quotes around it", value.describe()),
        ),
        _ => Some(format!("this is {}", value.describe())),
    }
}

fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !text.is_empty() && text.len() <= NAME_LIMIT && text.chars().all(allowed)
}

/// Services are reached by IP number; a host name could not be resolved.
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
