//! Loading of settings: what is accepted, and which faults are reported for everything else.

use std::{fs, path::Path};

use proptest::{prelude::*, test_runner::RngSeed};
use settings::{
    Fault, LogFormat, Settings, Strategy,
    keys::{KEYS, Presence, ValueKind},
    load, parse,
};

const HASH: &str = "2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824";

fn minimal_settings() -> String {
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
fn lines_and_paths(faults: &[Fault]) -> Vec<(u32, &str)> {
    let line = |fault: &Fault| fault.position.map_or(0, |position| position.line);
    faults.iter().map(|f| (line(f), &*f.path)).collect()
}

#[test]
fn minimal_settings_get_the_defaults() {
    let settings = parse(&minimal_settings()).expect("valid settings");
    assert_eq!(&*settings.instance.id, "entry-1");
    assert_eq!(settings.instance.strategy, Strategy::Owner);
    assert_eq!(settings.peers.heartbeat().as_millis(), 200);
    assert_eq!(settings.log.format, LogFormat::Text);
    assert_eq!(&*settings.admin.key_hashes[0], HASH);
}

// Guards against reporting only the first of several faults: the operator would have to restart
// the instance once for each.
#[test]
fn all_faults_are_reported_together_with_their_lines() {
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
    assert_eq!(lines_and_paths(&faults), expected);
    let all: Vec<String> = faults.iter().map(ToString::to_string).collect();
    let all = all.join("\n");
    for expected in [
        "line 3, column 3: instance.data_centre: there is no such key; write data-centre",
        "is the address of instance.listen too",
        "one of owner, oracle, round-robin, least-loaded, fixed-share",
        "write a whole number from 1 to 256",
    ] {
        assert!(all.contains(expected), "{expected:?} in\n{all}");
    }
}

#[test]
fn a_syntax_fault_has_a_position() {
    let faults = faults("instance:\n  id: [1, 2\npeers:\n");
    assert_eq!(faults.len(), 1);
    assert!(
        faults[0]
            .position
            .is_some_and(|position| position.line >= 2)
    );
}

// The output of a failed start goes into logs and tickets. A key that is too short to be accepted
// may still be the key of another deployment, so a fault must not contain it.
#[test]
fn faults_contain_no_secrets() {
    let text = minimal_settings().replace("sixteen-letters!", "hush-hush");
    let message = faults(&text)[0].to_string();
    assert!(
        message.starts_with("line 12, column 8: peers.key"),
        "{message}"
    );
    assert!(!message.contains("hush"), "{message}");
}

#[test]
fn empty_and_malformed_documents_are_rejected() {
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
fn a_host_name_is_not_a_service_address() {
    let text = minimal_settings().replace("http://10.0.0.5:8000", "http://table.local:8000");
    let faults = faults(&text);
    assert_eq!(lines_and_paths(&faults), [(8, "platform.table")]);
}

#[test]
fn a_missing_file_is_a_fault() {
    let faults = load(Path::new("/nowhere/settings.yml")).expect_err("no such file");
    assert!(faults[0].to_string().contains("can't be read"));
}

/// The path, as `section.key`, and the value of every key of a document.
fn leaves(settings: &Settings) -> Vec<(String, String)> {
    let text = serde_saphyr::to_string(settings).expect("YAML");
    let document: settings::yaml::YamlNode = serde_saphyr::from_str(&text).expect("YAML");
    let mut all = Vec::new();
    for section in entries(&document) {
        for entry in entries(&section.value) {
            let value = match &entry.value.value {
                settings::yaml::YamlValue::Text(text) => text.clone(),
                settings::yaml::YamlValue::Int(number) => number.to_string(),
                other => other.describe().to_owned(),
            };
            all.push((format!("{}.{}", section.key, entry.key), value));
        }
    }
    all
}

fn entries(value: &settings::yaml::YamlNode) -> &[settings::yaml::YamlEntry] {
    match &value.value {
        settings::yaml::YamlValue::Map(entries) => entries,
        other => panic!("expected a section, found {}", other.describe()),
    }
}

// Guards against a mismatch of the types and the table of keys. A field that is missing in the
// table could never be set, since the checker rejects it as unknown; a key without a field would
// be accepted and ignored.
#[test]
fn the_table_of_keys_matches_the_settings_and_their_defaults() {
    let settings = parse(&minimal_settings()).expect("valid settings");
    let leaves = leaves(&settings);
    let fields: Vec<&str> = leaves.iter().map(|(path, _)| path.as_str()).collect();
    let listed: Vec<String> = KEYS
        .iter()
        .map(|key| format!("{}.{}", key.section, key.name))
        .collect();
    assert_eq!(fields, listed);
    for (key, (path, value)) in KEYS.iter().zip(&leaves) {
        let has_literal_default = matches!(key.kind, ValueKind::Int(..) | ValueKind::OneOf(_));
        if let (true, Presence::Default(default)) =
            (has_literal_default && value != "nothing", key.presence)
        {
            assert_eq!(default, value, "{path}");
        }
    }
}

#[test]
fn the_reference_page_is_up_to_date() {
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
    fn parsing_random_text_never_panics(text in "[a-z:{}\\[\\]&*!|>'\"%@`#, \n\t0-9.-]{0,120}") {
        prop_assert!(parse(&text).is_err());
    }

    #[test]
    fn an_invalid_value_is_reported_at_its_key(index in 0..KEYS.len(), value in "[!?%]{1,8}") {
        let key = KEYS[index];
        // Any text is a valid token.
        prop_assume!(!matches!(key.kind, ValueKind::Secret(1)));
        let text = with_value(key.section, key.name, &format!("'{value}'"));
        let faults = faults(&text);
        let path = format!("{}.{}", key.section, key.name);
        prop_assert!(faults.iter().any(|fault| *fault.path == *path), "{:?}", faults);
    }
}

/// The minimal settings with one value replaced or added.
fn with_value(section: &str, name: &str, value: &str) -> String {
    let mut text = String::new();
    let mut in_section = false;
    let mut section_found = false;
    for line in minimal_settings().lines() {
        let replaced = in_section && line.trim_start().starts_with(&format!("{name}:"));
        if !replaced {
            text.push_str(&format!("{line}\n"));
        }
        if !line.starts_with(' ') {
            in_section = line == format!("{section}:");
        }
        if in_section && !line.starts_with(' ') {
            section_found = true;
            text.push_str(&format!("  {name}: {value}\n"));
        }
    }
    if !section_found {
        text.push_str(&format!("{section}:\n  {name}: {value}\n"));
    }
    text
}
