//! The catalogue of events and the format of log lines.

use std::{fs, path::Path, sync::Arc};

use events::{Event, Format, Level, log};
use serde_json::{Value, json};
use spdlog::sink::{Sink, SinkPropAccess, WriteSink};

/// The lines that a logger writes for these events.
fn log_lines(level: Level, format: Format, events: &[Event]) -> Vec<String> {
    let sink = WriteSink::builder().target(Vec::new()).build_arc();
    let sink = sink.expect("a sink");
    sink.set_formatter(format.formatter());
    let logger = log::logger(level, Arc::clone(&sink) as Arc<dyn Sink>).expect("a logger");
    for event in events {
        log::emit_to(&logger, event);
    }
    let text = String::from_utf8(sink.clone_target()).expect("text");
    text.lines().map(str::to_owned).collect()
}

fn peer_silent() -> Event {
    Event::PeerSilent {
        peer: "entry-2".into(),
    }
}

#[test]
fn numbers_are_ascending_and_every_event_has_a_meaning_and_advice() {
    for pair in Event::CATALOGUE.windows(2) {
        assert!(pair[0].number < pair[1].number, "{}", pair[1].name);
    }
    for entry in Event::CATALOGUE {
        assert!((100..1000).contains(&entry.number), "{}", entry.name);
        assert!(entry.meaning.trim().ends_with('.'), "{}", entry.name);
        assert!(entry.action.ends_with('.'), "{}", entry.name);
    }
}

#[test]
fn the_catalogue_page_is_up_to_date() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/EVENTS.md");
    let page = fs::read_to_string(path).expect("the page");
    let message = "run: cargo run -- docs events > docs/EVENTS.md";
    assert!(page == events::catalogue::page(), "{message}");
}

#[test]
fn the_page_lists_every_event() {
    let page = events::catalogue::page();
    for entry in Event::CATALOGUE {
        let row = format!("| {} | `{}` | {} |", entry.number, entry.name, entry.level);
        assert!(page.contains(&row), "{row}");
    }
}

#[test]
fn a_text_line_begins_with_time_level_and_number() {
    let lines = log_lines(Level::Info, Format::Text, &[peer_silent()]);
    assert_eq!(lines.len(), 1);
    assert!(
        lines[0].ends_with(" warn E201 peer entry-2 is unresponsive"),
        "{}",
        lines[0]
    );
}

#[test]
fn a_json_line_has_number_name_message_and_fields() {
    let lines = log_lines(Level::Info, Format::Json, &[peer_silent(), Event::Stopped]);
    let first: Value = serde_json::from_str(&lines[0]).expect("JSON");
    assert_eq!(first["level"], "warn");
    assert_eq!(first["number"], 201);
    assert_eq!(first["event"], "PeerSilent");
    assert_eq!(first["message"], "E201 peer entry-2 is unresponsive");
    assert_eq!(first["fields"], json!({"peer": "entry-2"}));
    assert!(first["time_ms"].as_u64().is_some_and(|ms| ms > 0));
    let second: Value = serde_json::from_str(&lines[1]).expect("JSON");
    assert_eq!(second["fields"], Value::Null);
}

#[test]
fn events_below_the_level_are_not_written() {
    let lines = log_lines(Level::Warn, Format::Text, &[Event::Stopped, peer_silent()]);
    assert_eq!(lines.len(), 1);
}

// Guards against forged log lines: the reason of an event may come from outside and contain line
// breaks, so that its author could make up further events.
#[test]
fn line_breaks_in_a_reason_do_not_start_a_new_log_line() {
    let reason = "gone\n2026-01-01 00:00:00.000 error E100 made up";
    let event = Event::TableDown {
        reason: reason.into(),
    };
    for format in [Format::Text, Format::Json] {
        let lines = log_lines(Level::Info, format, std::slice::from_ref(&event));
        assert_eq!(lines.len(), 1, "{lines:?}");
    }
}
