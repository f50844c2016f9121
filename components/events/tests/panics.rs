//! Panics as events.

use std::thread;

use events::{Format, Level, Output};
use prometheus_client::{encoding::text::encode, registry::Registry};

/// Guards against a task that panics without a line in the log.
#[test]
fn a_panic_is_an_event() {
    events::start(Level::Error, Format::Json, Output::Stderr);
    let broken = thread::spawn(|| panic!("a broken part")).join();
    assert!(broken.is_err());
    let mut registry = Registry::default();
    registry.register("events", "Log events", events::counts());
    let mut page = String::new();
    encode(&mut page, &registry).expect("text");
    let counted = page
        .lines()
        .any(|line| line.contains("Panicked") && line.ends_with(" 1"));
    assert!(counted, "{page}");
}
