//! A counter for each event, exported as metrics.

use std::sync::LazyLock;

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
};

use crate::event::Event;

/// Labels of an event's counter.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct EventLabels {
    number: u16,
    event: &'static str,
    level: &'static str,
}

/// The number of occurrences of each event.
pub type EventCounts = Family<EventLabels, Counter>;

static COUNTS: LazyLock<EventCounts> = LazyLock::new(EventCounts::default);

/// Returns the counters of this process; clones share the same values.
#[must_use]
pub fn counts() -> EventCounts {
    COUNTS.clone()
}

/// Counts an event, also if its level is not logged.
pub(crate) fn increment(event: &Event) {
    let labels = EventLabels {
        number: event.number(),
        event: event.name(),
        level: event.level().name(),
    };
    COUNTS.get_or_create(&labels).inc();
}
