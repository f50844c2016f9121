//! Initialises logging from the settings.

use settings::{Log, LogFormat, LogLevel};

/// Initialises logging to standard error with the level and format of the settings.
pub fn start(log: &Log) {
    let level = match log.level {
        LogLevel::Error => events::Level::Error,
        LogLevel::Warn => events::Level::Warn,
        LogLevel::Info => events::Level::Info,
        LogLevel::Debug => events::Level::Debug,
    };
    let format = match log.format {
        LogFormat::Text => events::Format::Text,
        LogFormat::Json => events::Format::Json,
    };
    events::init(level, format, events::Output::Stderr);
}
