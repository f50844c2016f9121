//! Output for people and for machines.

use clap::ArgMatches;
use errors::{Context, Result};
use serde::Serialize;

use crate::output;

/// Whether the command line asks for JSON.
#[must_use]
pub fn wants_json(args: &ArgMatches) -> bool {
    args.get_flag("json")
}

/// Prints JSON.
///
/// # Errors
/// The content can't be written as JSON.
pub fn json(content: &impl Serialize) -> Result<()> {
    let text = serde_json::to_string_pretty(content).context("writing JSON")?;
    output::line(text)
}

/// Prints YAML.
///
/// # Errors
/// The content can't be written as YAML.
pub fn yaml(content: &impl Serialize) -> Result<()> {
    let text = serde_saphyr::to_string(content).context("writing YAML")?;
    output::text(&text)
}

/// Prints JSON if the command line asks for it, otherwise a line for people.
///
/// # Errors
/// The content can't be written as JSON.
pub fn either(args: &ArgMatches, content: &impl Serialize, line: &str) -> Result<()> {
    if wants_json(args) {
        return json(content);
    }
    output::line(line)
}
