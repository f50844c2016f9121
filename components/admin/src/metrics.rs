//! The metrics page: the metrics of the process's components, and those of the instance's state.

use std::fmt;

use events::counts;
use prometheus_client::{
    encoding::text::{encode_eof, encode_registry},
    metrics::gauge::Gauge,
    registry::Registry,
};

use crate::parts::AdminParts;

/// Returns all metrics in the OpenMetrics text format.
///
/// # Errors
/// A metric can't be encoded.
pub fn text(parts: &AdminParts) -> Result<String, fmt::Error> {
    let mut text = String::new();
    encode_registry(&mut text, &parts.registry)?;
    encode_registry(&mut text, &instance_metrics(parts))?;
    encode_eof(&mut text)?;
    Ok(text)
}

/// The metrics that are computed when the page is read.
fn instance_metrics(parts: &AdminParts) -> Registry {
    let mut registry = Registry::default();
    registry.register(
        "ready",
        "1 if the instance takes new work, otherwise 0",
        gauge(i64::from(parts.readiness.ready().is_ok())),
    );
    let current = parts.config.current();
    let version = current.as_ref().map_or(0, |c| c.snapshot.version);
    registry.register(
        "config_version",
        "Version of the configuration in force, 0 before the first",
        gauge(i64::try_from(version).unwrap_or(i64::MAX)),
    );
    let out = current.map_or(0, |c| c.effective.data_centres_out().len());
    registry.register(
        "data_centres_out",
        "Data centres that operators have taken out",
        gauge(i64::try_from(out).unwrap_or(i64::MAX)),
    );
    registry.register("events", "Events by number, see EVENTS.md", counts());
    registry
}

fn gauge(value: i64) -> Gauge {
    let gauge = Gauge::default();
    gauge.set(value);
    gauge
}
