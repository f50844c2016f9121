//! Reads instances' logs in JSON for the commands that analyse them.

use std::{
    fs::File,
    io::{BufRead, BufReader, Read, stdin},
    path::PathBuf,
};

use clap::ArgMatches;
use errors::Context;
use serde::Deserialize;
use serde_json::Value;

/// An entry of a log; fields that no command uses are ignored.
#[derive(Clone, Debug, Deserialize)]
pub struct LogEntry {
    /// Time of the event, in milliseconds since 1970.
    pub time_ms: u64,
    /// The event's number.
    pub number: u64,
    /// The readable message.
    pub message: String,
    /// The event's fields by name.
    #[serde(default)]
    pub fields: Value,
}

/// An entry and the log that it was read from.
#[derive(Clone, Debug)]
pub struct SourcedEntry {
    /// The log's file name, or `-` for standard input.
    pub log: String,
    /// The entry.
    pub entry: LogEntry,
}

/// Returns all entries of the logs that the command line names, or of standard input if it names
/// none, in the order of their times.
///
/// # Errors
/// A log can't be read.
pub fn read(args: &ArgMatches) -> errors::Result<Vec<SourcedEntry>> {
    let files: Vec<&PathBuf> = args.get_many("logs").unwrap_or_default().collect();
    let mut all = Vec::new();
    if files.is_empty() {
        all.extend(read_entries("-", stdin())?);
    }
    for file in files {
        let name = file.display().to_string();
        let log = File::open(file).context(format!("opening {name}"))?;
        all.extend(read_entries(&name, log)?);
    }
    all.sort_by_key(|sourced| sourced.entry.time_ms);
    Ok(all)
}

/// Returns the entries of a log. Lines that can't be decoded are skipped, because a log may have
/// been truncated at any point.
fn read_entries(name: &str, log: impl Read) -> errors::Result<Vec<SourcedEntry>> {
    let mut all = Vec::new();
    for line in BufReader::new(log).lines() {
        let line = line.context(format!("reading {name}"))?;
        // Log collectors may put a prefix before the JSON.
        let json = line.find('{').map_or("", |at| &line[at..]);
        if let Ok(entry) = serde_json::from_str(json) {
            let log = name.to_owned();
            all.push(SourcedEntry { log, entry });
        }
    }
    Ok(all)
}
