//! Reading settings: what is accepted, and what is told about the rest.

use std::{fs, path::Path};

use proptest::{prelude::*, test_runner::RngSeed};
use settings::{
    Fault, LogFormat, Settings, Strategy,
    keys::{KEYS, Kind, Presence},
    load, parse,
};

const HASH: &str = "2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824";

fn least() -> String {
    format!(
        "instance:
  id: entry-1
  data-centre: north
  listen: 10.0.0.1:8080
  admin: 10.0.0.1:9090
  peer: 10.0.0.1:7070
platform:
  table: http://10.0.0.5:8000
  objects: http://10.0.0.6:9000
  directory: http://10.0.0.7:8001
peers:
  key: sixteen-letters!
admin:
  key-hashes: [{HASH}]
"
    )
}

fn faults(text: &str) -> Vec<Fault> {
    parse(text).expect_err("the text has faults")
}

/// Line and path of each fault.
fn places(faults: &[Fault]) -> Vec<(u32, &str)> {
    let line = |fault: &Fault| fault.place.map_or(0, |place| place.line);
    faults.iter().map(|f| (line(f), &*f.path)).collect()
}

#[test]
fn the_least_settings_get_the_defaults() {
    let settings = parse(&least()).expect("valid settings");
    assert_eq!(&*settings.instance.id, "entry-1");
    assert_eq!(settings.instance.strategy, Strategy::Owner);
    assert_eq!(settings.peers.heartbeat().as_millis(), 200);
    assert_eq!(settings.log.format, LogFormat::Text);
    assert_eq!(&*settings.admin.key_hashes[0], HASH);
}

// An operator starts an instance with a file that has several mistakes. Told of one at a time,
// they would restart it once for each.
#[test]
fn every_fault_is_listed_at_once_with_its_line() {
    let text = format!(
        "instance:
  id: 7
  data_centre: north
  listen: 10.0.0.1:8080
  admin: 10.0.0.1:8080
  strategy: best
  workers: 0
platform: 3
peers: {{key: short, heartbeat-ms: fast}}
admin:
  key-hashes: [{HASH}, abc, 5]
log:
  level: [info]
logs:
"
    );
    let faults = faults(&text);
    let expected = [
        (1, "instance.data-centre"),
        (1, "instance.peer"),
        (2, "instance.id"),
        (3, "instance.data_centre"),
        (5, "instance.admin"),
        (6, "instance.strategy"),
        (7, "instance.workers"),
        (8, "platform"),
        (9, "peers.key"),
        (9, "peers.heartbeat-ms"),
        (11, "admin.key-hashes[1]"),
        (11, "admin.key-hashes[2]"),
        (13, "log.level"),
        (14, "logs"),
    ];
    assert_eq!(places(&faults), expected);
    let all: Vec<String> = faults.iter().map(ToString::to_string).collect();
    let all = all.join("\n");
    for told in [
        "line 3, column 3: instance.data_centre: there is no such key; write data-centre",
        "is the address of instance.listen too",
        "one of owner, oracle, round-robin, least-loaded, fixed-share",
        "write a whole number from 1 to 256",
    ] {
        assert!(all.contains(told), "{told:?} in\n{all}");
    }
}

#[test]
fn a_syntax_fault_tells_line_and_column() {
    let faults = faults("instance:\n  id: [1, 2\npeers:\n");
    assert_eq!(faults.len(), 1);
    assert!(faults[0].place.is_some_and(|place| place.line >= 2));
}

// The output of a failed start goes into logs and tickets. A key that is too short for the check
// may still be the key of another deployment.
#[test]
fn a_fault_never_repeats_a_secret() {
    let text = least().replace("sixteen-letters!", "hush-hush");
    let told = faults(&text)[0].to_string();
    assert!(told.starts_with("line 12, column 8: peers.key"), "{told}");
    assert!(!told.contains("hush"), "{told}");
}

#[test]
fn empty_and_odd_documents_are_faults() {
    for text in [
        "",
        "5",
        "- a\n- b",
        "null",
        "instance",
        "a: 1\na: 2",
        "? [a]\n: b",
    ] {
        assert!(!faults(text).is_empty(), "{text:?}");
    }
}

#[test]
fn a_host_name_is_told_apart_from_an_address() {
    let text = least().replace("http://10.0.0.5:8000", "http://table.local:8000");
    let faults = faults(&text);
    assert_eq!(places(&faults), [(8, "platform.table")]);
}

#[test]
fn a_file_that_is_not_there_is_a_fault() {
    let faults = load(Path::new("/nowhere/settings.yml")).expect_err("no such file");
    assert!(faults[0].to_string().contains("can't be read"));
}

/// All leaves of a document, as `section.key`.
fn leaves(settings: &Settings) -> Vec<(String, String)> {
    let text = serde_saphyr::to_string(settings).expect("YAML");
    let document: settings::raw::RawValue = serde_saphyr::from_str(&text).expect("YAML");
    let mut all = Vec::new();
    for section in entries(&document) {
        for entry in entries(&section.value) {
            let value = match &entry.value.value {
                settings::raw::Raw::Text(text) => text.clone(),
                settings::raw::Raw::Int(number) => number.to_string(),
                other => other.describe().to_owned(),
            };
            all.push((format!("{}.{}", section.key, entry.key), value));
        }
    }
    all
}

fn entries(value: &settings::raw::RawValue) -> &[settings::raw::RawEntry] {
    match &value.value {
        settings::raw::Raw::Map(entries) => entries,
        other => panic!("a section in place of {}", other.describe()),
    }
}

// A field that is added to the settings but not to the list of keys could never be written: the
// checker would call it unknown. The other way round the checker would accept what is not read.
#[test]
fn the_list_of_keys_is_that_of_the_settings_with_the_same_defaults() {
    let settings = parse(&least()).expect("valid settings");
    let leaves = leaves(&settings);
    let written: Vec<&str> = leaves.iter().map(|(path, _)| path.as_str()).collect();
    let listed: Vec<String> = KEYS
        .iter()
        .map(|key| format!("{}.{}", key.section, key.name))
        .collect();
    assert_eq!(written, listed);
    for (key, (path, value)) in KEYS.iter().zip(&leaves) {
        let plain = matches!(key.kind, Kind::Int(..) | Kind::OneOf(_));
        if let (true, Presence::Default(default)) = (plain && value != "nothing", key.presence) {
            assert_eq!(default, value, "{path}");
        }
    }
}

#[test]
fn the_reference_page_is_the_one_of_this_code() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/SETTINGS.md");
    let page = fs::read_to_string(path).expect("the page");
    let message = "run: cargo run -- docs settings > docs/SETTINGS.md";
    assert!(page == settings::reference::page(), "{message}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_text_makes_it_panic(text in "[a-z:{}\\[\\]&*!|>'\"%@`#, \n\t0-9.-]{0,120}") {
        prop_assert!(parse(&text).is_err());
    }

    #[test]
    fn a_wrong_value_is_told_at_its_key(index in 0..KEYS.len(), value in "[!?%]{1,8}") {
        let key = KEYS[index];
        // Any text will do as a token, and as a key if it is long enough.
        prop_assume!(!matches!(key.kind, Kind::Secret(1)));
        let text = with_value(key.section, key.name, &format!("'{value}'"));
        let faults = faults(&text);
        let path = format!("{}.{}", key.section, key.name);
        prop_assert!(faults.iter().any(|fault| *fault.path == *path), "{:?}", faults);
    }
}

/// The least settings with one value replaced or added.
fn with_value(section: &str, name: &str, value: &str) -> String {
    let mut text = String::new();
    let mut inside = false;
    let mut seen = false;
    for line in least().lines() {
        let replaced = inside && line.trim_start().starts_with(&format!("{name}:"));
        if !replaced {
            text.push_str(&format!("{line}\n"));
        }
        if !line.starts_with(' ') {
            inside = line == format!("{section}:");
        }
        if inside && !line.starts_with(' ') {
            seen = true;
            text.push_str(&format!("  {name}: {value}\n"));
        }
    }
    if !seen {
        text.push_str(&format!("{section}:\n  {name}: {value}\n"));
    }
    text
}
