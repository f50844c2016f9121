//! Writing events through `spdlog`.

use std::{
    io,
    sync::{Arc, OnceLock},
    time::Duration,
};

use spdlog::{
    LevelFilter, Logger,
    sink::{Sink, SinkPropAccess, WriteSink},
};

use crate::{
    count::count,
    declare::Level,
    event::Event,
    format::Format,
    panics,
    queue::{Counts, Queue},
};

/// Where log lines go.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Output {
    /// Standard output, where a process has nothing else to write there.
    Stdout,
    /// Standard error.
    Stderr,
}

/// Time for the last lines to be written when the process ends.
const LAST_LINES: Duration = Duration::from_millis(300);

static COUNTS: OnceLock<Arc<Counts>> = OnceLock::new();

/// Sets up logging: the least severe level that is written, the form, and where lines go.
pub fn start(level: Level, format: Format, output: Output) {
    let queue = match output {
        Output::Stdout => Queue::start(io::stdout()),
        Output::Stderr => Queue::start(io::stderr()),
    };
    // Without a log the process can still serve.
    let Ok((queue, counts)) = queue else {
        return;
    };
    let Ok(sink) = WriteSink::builder().target(queue).build_arc() else {
        return;
    };
    sink.set_formatter(format.formatter());
    if let Some(logger) = logger(level, sink) {
        spdlog::set_default_logger(logger);
        // Logging is set up once; a second time the first counts stay.
        if COUNTS.set(counts).is_ok() {
            panics::tell();
        }
    }
}

/// Waits a little for the last lines to be written, before the process ends.
pub fn finish() {
    if let Some(counts) = COUNTS.get() {
        counts.wait(LAST_LINES);
    }
}

/// A logger that writes to a sink.
#[must_use]
pub fn logger(level: Level, sink: Arc<dyn Sink>) -> Option<Arc<Logger>> {
    Logger::builder()
        .level_filter(LevelFilter::MoreSevereEqual(level.into()))
        // A line that waits in a buffer is lost when the process is killed, and it is the last
        // lines that tell why.
        .flush_level_filter(LevelFilter::All)
        .sink(sink)
        .build_arc()
        .ok()
}

/// Logs and counts an event.
pub fn emit(event: &Event) {
    let dropped = COUNTS.get().map_or(0, |counts| counts.take_dropped());
    if dropped > 0 {
        write(&Event::LinesDropped { dropped });
    }
    write(event);
}

fn write(event: &Event) {
    count(event);
    emit_to(&spdlog::default_logger(), event);
}

/// Logs an event to a logger.
pub fn emit_to(logger: &Logger, event: &Event) {
    let level = event.level().into();
    if !logger.should_log(level) {
        return;
    }
    // A reason may come from outside and hold line ends; a line cut in two would pass for two
    // events, the second one made up.
    let text = event.to_string().replace(['\n', '\r'], " ");
    let number = event.number();
    let name = event.name();
    let fields = serde_json::to_string(event).unwrap_or_default();
    let fields = fields.as_str();
    spdlog::log!(logger: logger, level, "E{number} {text}", kv: {
        number = u64::from(number),
        event = name,
        fields = fields,
    });
}

impl From<Level> for spdlog::Level {
    fn from(level: Level) -> Self {
        match level {
            Level::Error => Self::Error,
            Level::Warn => Self::Warn,
            Level::Info => Self::Info,
            Level::Debug => Self::Debug,
        }
    }
}
