//! Logging by settings.

use settings::{Log, LogFormat, LogLevel};

/// Sets up logging.
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
