//! Writing events through `spdlog`.

use crate::event::{Event, Level};

/// Sets up logging: level and format by settings.
pub const fn start() {}

/// Logs an event.
pub fn emit(event: &Event) {
    let number = event.number();
    match event.level() {
        Level::Error => spdlog::error!("E{number} {event}"),
        Level::Warn => spdlog::warn!("E{number} {event}"),
        Level::Info => spdlog::info!("E{number} {event}"),
        Level::Debug => spdlog::debug!("E{number} {event}"),
    }
}
