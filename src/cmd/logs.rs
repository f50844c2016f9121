//! Lines of instances' logs, as commands read them.

use std::{
    fs::File,
    io::{BufRead, BufReader, Read, stdin},
    path::PathBuf,
};

use clap::ArgMatches;
use errors::Context;
use serde::Deserialize;
use serde_json::Value;

/// A line of a log, as far as it is used.
#[derive(Clone, Debug, Deserialize)]
pub struct Line {
    /// When it was written, in milliseconds since 1970.
    pub time_ms: u64,
    /// The event's number.
    pub number: u64,
    /// What it says to people.
    pub message: String,
    /// What it says to programs.
    #[serde(default)]
    pub fields: Value,
}

/// A line and the log that it stands in.
#[derive(Clone, Debug)]
pub struct Found {
    /// The log.
    pub log: String,
    /// The line.
    pub line: Line,
}

/// All lines of the logs that a command names, or of standard input, by their time.
///
/// # Errors
/// A log can't be read.
pub fn read(args: &ArgMatches) -> errors::Result<Vec<Found>> {
    let files: Vec<&PathBuf> = args.get_many("logs").unwrap_or_default().collect();
    let mut all = Vec::new();
    if files.is_empty() {
        all.extend(lines("-", stdin())?);
    }
    for file in files {
        let name = file.display().to_string();
        let log = File::open(file).context(format!("opening {name}"))?;
        all.extend(lines(&name, log)?);
    }
    all.sort_by_key(|found| found.line.time_ms);
    Ok(all)
}

/// The lines of a log; those that are none are passed over, for a log may be cut anywhere.
fn lines(name: &str, log: impl Read) -> errors::Result<Vec<Found>> {
    let mut all = Vec::new();
    for line in BufReader::new(log).lines() {
        let line = line.context(format!("reading {name}"))?;
        // Other programs may put words of their own before a line.
        let json = line.find('{').map_or("", |at| &line[at..]);
        if let Ok(line) = serde_json::from_str(json) {
            let log = name.to_owned();
            all.push(Found { log, line });
        }
    }
    Ok(all)
}
