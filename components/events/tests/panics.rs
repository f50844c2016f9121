//! Logging of panics.

use std::thread;

use events::{Format, Level, Output};
use prometheus_client::{encoding::text::encode, registry::Registry};

/// Guards against a task that panics without leaving an event: the executor drops it silently.
#[test]
fn a_panic_is_counted_as_an_event() {
    events::init(Level::Error, Format::Json, Output::Stderr);
    let outcome = thread::spawn(|| panic!("a test panic")).join();
    assert!(outcome.is_err());
    let mut registry = Registry::default();
    registry.register("events", "Log events", events::counts());
    let mut page = String::new();
    encode(&mut page, &registry).expect("text");
    let counted = page
        .lines()
        .any(|line| line.contains("Panicked") && line.ends_with(" 1"));
    assert!(counted, "{page}");
}
