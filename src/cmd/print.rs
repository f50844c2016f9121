//! Prints results of commands as text, JSON or YAML.

use clap::ArgMatches;
use errors::{Context, Result};
use serde::Serialize;

use crate::output;

/// Whether the command line asks for JSON.
#[must_use]
pub fn wants_json(args: &ArgMatches) -> bool {
    args.get_flag("json")
}

/// Prints the content as indented JSON.
///
/// # Errors
/// The content can't be encoded as JSON, or standard output can't be written.
pub fn json(content: &impl Serialize) -> Result<()> {
    let text = serde_json::to_string_pretty(content).context("writing JSON")?;
    output::line(text)
}

/// Prints the content as YAML.
///
/// # Errors
/// The content can't be encoded as YAML, or standard output can't be written.
pub fn yaml(content: &impl Serialize) -> Result<()> {
    let text = serde_saphyr::to_string(content).context("writing YAML")?;
    output::text(&text)
}

/// Prints the content as JSON if the command line asks for it, otherwise the readable text `line`.
///
/// # Errors
/// As [`json`].
pub fn json_or_text(args: &ArgMatches, content: &impl Serialize, line: &str) -> Result<()> {
    if wants_json(args) {
        return json(content);
    }
    output::line(line)
}
