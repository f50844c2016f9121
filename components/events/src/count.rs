//! How often each event came, for monitoring.

use std::sync::LazyLock;

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
};

use crate::event::Event;

/// Labels of one event.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct EventLabels {
    number: u16,
    event: &'static str,
    level: &'static str,
}

/// Counts by event.
pub type EventCounts = Family<EventLabels, Counter>;

static COUNTS: LazyLock<EventCounts> = LazyLock::new(EventCounts::default);

/// The counts of this process. Clones share them.
#[must_use]
pub fn counts() -> EventCounts {
    COUNTS.clone()
}

/// Counts an event, whether its level is logged or not.
pub(crate) fn count(event: &Event) {
    let labels = EventLabels {
        number: event.number(),
        event: event.name(),
        level: event.level().name(),
    };
    COUNTS.get_or_create(&labels).inc();
}
