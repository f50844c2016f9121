//! Formats of log lines.

use std::{
    fmt::{self, Write},
    time::SystemTime,
};

use serde::Serialize;
use serde_json::Value;
use spdlog::{
    Error, Record, StringBuf,
    formatter::{Formatter, FormatterContext, PatternFormatter, pattern},
};

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Format {
    /// Plain text.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

impl Format {
    /// Creates the formatter for this format.
    #[must_use]
    pub fn formatter(self) -> Box<dyn Formatter> {
        match self {
            Self::Text => Box::new(PatternFormatter::new(pattern!(
                "{date} {time}.{millisecond} {level} {payload}{eol}"
            ))),
            Self::Json => Box::new(JsonFormatter),
        }
    }
}

/// A log line in JSON.
#[derive(Serialize)]
struct JsonLine<'a> {
    time_ms: u64,
    level: &'a str,
    number: u64,
    event: &'a str,
    message: &'a str,
    fields: Value,
}

#[derive(Clone, Copy)]
struct JsonFormatter;

impl Formatter for JsonFormatter {
    fn format(
        &self,
        record: &Record,
        dest: &mut StringBuf,
        _cx: &mut FormatterContext,
    ) -> spdlog::Result<()> {
        let mut line = JsonLine {
            time_ms: unix_millis(record.time()),
            level: record.level().as_str(),
            number: 0,
            event: "",
            message: record.payload(),
            fields: Value::Null,
        };
        for (key, value) in record.key_values() {
            match key.as_str() {
                "number" => line.number = value.to_u64().unwrap_or_default(),
                "event" => line.event = value.to_borrowed_str().unwrap_or_default(),
                "fields" => line.fields = parse_fields(value.to_borrowed_str().unwrap_or_default()),
                _ => {}
            }
        }
        let text = serde_json::to_string(&line).map_err(|_| Error::FormatRecord(fmt::Error))?;
        writeln!(dest, "{text}").map_err(Error::FormatRecord)
    }
}

fn parse_fields(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_default()
}

fn unix_millis(time: SystemTime) -> u64 {
    let since_epoch = time
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
