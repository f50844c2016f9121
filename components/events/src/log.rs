//! Logging of events through `spdlog`.

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
    count::increment,
    declare::Level,
    event::Event,
    format::Format,
    panics,
    queue::{Queue, QueueCounters},
};

/// Destination of log lines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Output {
    /// Standard output, for processes that write nothing else to it.
    Stdout,
    /// Standard error.
    Stderr,
}

/// How long [`flush`] waits for queued lines before the process exits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

static COUNTERS: OnceLock<Arc<QueueCounters>> = OnceLock::new();

/// Initializes logging with the minimum severity that is written, the format and the destination,
/// and installs a hook that logs panics. If this fails, the process runs without a log.
pub fn init(level: Level, format: Format, output: Output) {
    let queue = match output {
        Output::Stdout => Queue::start(io::stdout()),
        Output::Stderr => Queue::start(io::stderr()),
    };
    // The process can serve requests without a log.
    let Ok((queue, counters)) = queue else {
        return;
    };
    let Ok(sink) = WriteSink::builder().target(queue).build_arc() else {
        return;
    };
    sink.set_formatter(format.formatter());
    if let Some(logger) = logger(level, sink) {
        spdlog::set_default_logger(logger);
        // If logging is initialized twice, the first counters and the panic hook stay.
        if COUNTERS.set(counters).is_ok() {
            panics::install_hook();
        }
    }
}

/// Waits until all queued lines are written, at most for a short time. Called before the process
/// exits.
pub fn flush() {
    if let Some(counters) = COUNTERS.get() {
        counters.wait(FLUSH_TIMEOUT);
    }
}

/// Creates a logger that writes lines of at least this severity to a sink; `None` if it can't be
/// built.
#[must_use]
pub fn logger(level: Level, sink: Arc<dyn Sink>) -> Option<Arc<Logger>> {
    Logger::builder()
        .level_filter(LevelFilter::MoreSevereEqual(level.into()))
        // Buffered lines would be lost if the process is killed, and the last lines show why.
        .flush_level_filter(LevelFilter::All)
        .sink(sink)
        .build_arc()
        .ok()
}

/// Logs and counts an event. If lines were dropped since the last call, logs that first.
pub fn emit(event: &Event) {
    let dropped = COUNTERS.get().map_or(0, |counters| counters.take_dropped());
    if dropped > 0 {
        write(&Event::LinesDropped { dropped });
    }
    write(event);
}

fn write(event: &Event) {
    increment(event);
    emit_to(&spdlog::default_logger(), event);
}

/// Logs an event to a logger, without counting it.
pub fn emit_to(logger: &Logger, event: &Event) {
    let level = event.level().into();
    if !logger.should_log(level) {
        return;
    }
    // A reason may come from outside and contain line breaks; without the replacement its author
    // could forge a log line.
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
